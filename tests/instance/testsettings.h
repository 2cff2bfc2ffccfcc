#pragma once

#include <filbertmount/settings/instancesettings.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

namespace Filbertmount::Testing {

/** Settings of one entry instance on free loopback ports. */
inline InstanceSettings loopbackSettings()
{
    InstanceSettings settings;
    settings.identity.id = InstanceId("entry-1");
    settings.identity.region = Region("riga");
    settings.addresses.callers = {.ip = "127.0.0.1"};
    settings.addresses.administration = {.ip = "127.0.0.1"};
    settings.addresses.peers = {.ip = "127.0.0.1"};
    return settings;
}

/** A temporary document file, removed by the destructor. */
class DocumentFile
{
public:
    explicit DocumentFile(const std::string &text)
        : m_path((std::filesystem::temp_directory_path() / ("filbertmount-test-" + std::to_string(getpid()) + ".toml")).string())
    {
        std::ofstream(m_path) << text;
    }
    ~DocumentFile()
    {
        std::filesystem::remove(m_path);
    }
    DocumentFile(const DocumentFile &) = delete;
    DocumentFile &operator=(const DocumentFile &) = delete;
    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace Filbertmount::Testing
