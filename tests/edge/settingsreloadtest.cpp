#include "edge/settingsreload.h"

#include "support/loopserver.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <fstream>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

std::string settingsText(double share)
{
    return R"([instance]
name = "edge-1"
zone = "riga-a"
region = "lv-riga"
ip = "10.0.0.1"
[listen]
callers = "10.0.0.1:8080"
readiness = "10.0.0.1:8081"
peer_port = 7000
metrics_port = 7001
[store]
address = "10.0.0.9:90"
[shutdown]
grace_s = 6
[retries]
share = )"
        + std::to_string(share) + "\nextra = 58\nwindow_s = 10\n";
}

/** A settings file that the destructor removes. */
class TemporaryFile
{
public:
    TemporaryFile()
        : path((std::filesystem::temp_directory_path() / ("settingsreload-" + std::to_string(getpid()))).string())
    {
    }
    ~TemporaryFile()
    {
        std::filesystem::remove(path);
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    /** Sets a later modification time at each write, even if the file system's clock has not advanced. */
    void write(const std::string &text)
    {
        std::ofstream(path) << text;
        m_time += 1s;
        std::filesystem::last_write_time(path, m_time);
    }

    const std::string path;

private:
    std::filesystem::file_time_type m_time = std::filesystem::file_time_type::clock::now();
};

} // namespace

TEST_CASE("settings reload: a valid change is applied without a signal, an invalid one is not")
{
    TemporaryFile file;
    file.write(settingsText(0.2));
    IoLoop loop;
    std::vector<double> shares;
    SettingsReload reload(
        loop,
        file.path,
        [&shares](const EdgeSettings &settings) {
            shares.push_back(settings.retries.share);
        },
        5ms);
    file.write(settingsText(0.1));
    REQUIRE(runUntil(loop, [&shares] {
        return shares.size() == 1;
    }));
    file.write("[instance]\n");
    file.write(settingsText(7));
    reload.reload();
    CHECK(shares == std::vector<double>{0.1});
    file.write(settingsText(0.3));
    reload.reload();
    CHECK(shares == std::vector<double>{0.1, 0.3});
}
