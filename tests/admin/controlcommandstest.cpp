#include "admin/controlcommands.h"
#include "admin/documentfile.h"
#include "support/platform.h"
#include "support/testadminport.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include <unistd.h>

using namespace Filbertmount;

namespace {

const std::string Document = "service = \"shopfront\"\nteam = \"riga-shop\"\n[upstreams]\nlist = \"shopfront\"\n";

/** A temporary file, removed by the destructor. */
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "filbertmount-XXXXXX").string();
        const int descriptor = mkstemp(pattern.data());
        REQUIRE(descriptor >= 0);
        close(descriptor);
        m_name = pattern;
        write(content);
    }
    ~TemporaryFile()
    {
        std::filesystem::remove(m_name);
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    void write(const std::string &content)
    {
        std::ofstream(m_name) << content;
    }

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
};

/** Runs commands against one instance and captures their output. */
class CommandRunner
{
public:
    explicit CommandRunner(const std::string &address, bool json = false, const std::string &token = TestAdminPort::ShopToken)
        : m_client({.address = address, .token = token, .timeout = std::chrono::seconds(20)})
        , m_commands(m_client, {.out = &m_out, .err = &m_err, .json = json})
    {
    }

    ControlCommands &commands()
    {
        return m_commands;
    }

    std::string takeOutput()
    {
        return std::exchange(m_out, std::ostringstream()).str();
    }

    std::string takeErrors()
    {
        return std::exchange(m_err, std::ostringstream()).str();
    }

private:
    std::ostringstream m_out;
    std::ostringstream m_err;
    AdminClient m_client;
    ControlCommands m_commands;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against an operator silently overwriting a change that another operator applied in the meantime.
TEST_CASE("an operator gets, changes and applies a document, and is told of a conflict")
{
    RunningPlatform platform;
    TestAdminPort entry(platform->address());
    CommandRunner first(entry.address());
    TemporaryFile file(Document);
    REQUIRE(first.commands().apply(file.name(), std::nullopt) == ExitCode::Done);
    CHECK(first.takeOutput() == "shopfront: accepted as revision 1\n");
    CHECK(first.commands().apply(file.name(), std::nullopt) == ExitCode::Conflict);
    first.takeErrors();

    REQUIRE(first.commands().get("shopfront") == ExitCode::Done);
    const std::string read = first.takeOutput();
    CHECK(read == "# filbertmount-revision: 1\n" + Document);
    file.write(read + "slots = 3\n");
    CHECK(first.commands().apply(file.name(), std::nullopt) == ExitCode::Done);
    // The second operator's file is based on the same revision.
    TemporaryFile stale(read + "slots = 4\n");
    CommandRunner second(entry.address());
    CHECK(second.commands().apply(stale.name(), std::nullopt) == ExitCode::Conflict);
    CHECK(contains(second.takeErrors(),
                   "your change is based on revision 1, the store has revision 2 by riga-shop. Nothing was changed."));
    CHECK(second.commands().apply(stale.name(), Revision(2)) == ExitCode::Done);
    second.takeOutput();
    CHECK(second.commands().history("shopfront") == ExitCode::Done);
    CHECK(contains(second.takeOutput(), "3         2"));
    CHECK(second.commands().remove("shopfront", Revision(2)) == ExitCode::Conflict);
    CHECK(second.commands().remove("shopfront", Revision(3)) == ExitCode::Done);
    CHECK(second.commands().get("shopfront") == ExitCode::NotFound);
}

TEST_CASE("failures have exit codes of their own and name step and peer")
{
    RunningPlatform platform;
    TestAdminPort entry(platform->address());
    CommandRunner shop(entry.address());
    TemporaryFile broken(Document + "slots = 0\n");
    CHECK(shop.commands().apply(broken.name(), std::nullopt) == ExitCode::InvalidDocument);
    CHECK(contains(shop.takeErrors(), broken.name() + ":5: upstreams.slots: expected an integer"));
    CHECK(shop.commands().apply("/nonexistent.toml", std::nullopt) == ExitCode::Usage);
    CHECK(shop.takeErrors() == "read-document: /nonexistent.toml: the file cannot be read\n");

    TemporaryFile file(Document);
    CommandRunner foreign(entry.address(), false, TestAdminPort::KayaToken);
    CHECK(foreign.commands().apply(file.name(), std::nullopt) == ExitCode::Forbidden);
    CHECK(contains(foreign.takeErrors(), "administration: " + entry.address() + ": the document names team"));
    CHECK(CommandRunner(entry.address(), false, "wrong").commands().list() == ExitCode::Forbidden);

    platform->faults().set({.down = true});
    CHECK(shop.commands().apply(file.name(), std::nullopt) == ExitCode::Unavailable);
    CHECK(contains(shop.takeErrors(), "had no effect: store-read: " + platform->address()));
    platform->faults().set({.loseResponses = 1, .dropCalls = 0});
    CHECK(shop.commands().apply(file.name(), std::nullopt) == ExitCode::Done);

    entry.port().stop();
    CommandRunner gone(entry.address());
    CHECK(gone.commands().apply(file.name(), std::nullopt) == ExitCode::Unavailable);
    CHECK(contains(gone.takeErrors(), "connect: " + entry.address()));
}

// Guards against a change being reported as without effect when the instance failed after it had received the request.
TEST_CASE("a change whose response is lost has an unknown outcome")
{
    BlockingServer server({}, [](const BlockingRequest & /*request*/) {
        return BlockingResponse{.closeConnection = true};
    });
    requireSuccess([&]() {
        return server.start();
    });
    CommandRunner runner("127.0.0.1:" + std::to_string(server.port()));
    TemporaryFile file(Document);
    CHECK(runner.commands().apply(file.name(), std::nullopt) == ExitCode::OutcomeUnknown);
    CHECK(contains(runner.takeErrors(), "The change may have taken effect."));
    CHECK(runner.commands().list() == ExitCode::Unavailable);
}

TEST_CASE("a response that does not belong to the administration API is an error")
{
    std::string body = "[]";
    BlockingServer server({}, [&](const BlockingRequest & /*request*/) {
        return BlockingResponse{.body = body};
    });
    requireSuccess([&]() {
        return server.start();
    });
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    CommandRunner runner(address);
    CHECK(runner.commands().list() == ExitCode::Unavailable);
    CHECK(contains(runner.takeErrors(), "administration: " + address + ": unexpected response"));
    body = R"({"services":[{}],"instance":"a","members":[]})";
    CHECK(runner.commands().list() == ExitCode::Unavailable);
    CHECK(contains(runner.takeErrors(), "administration: " + address + ": malformed response"));
    CHECK(runner.commands().timeline("", "") == ExitCode::Partial);
    CHECK(runner.commands().status("shopfront") == ExitCode::Done);
    CHECK(contains(runner.takeOutput(), "malformed status"));
}

TEST_CASE("status and timeline ask all members and say which did not respond")
{
    TestAdminPort first("", "entry-1");
    TestAdminPort second("", "entry-2");
    TestAdminPort third("", "entry-3");
    const std::string stoppedAddress = third.address();
    third.port().stop();
    for (TestAdminPort *entry : {&first, &second}) {
        entry->service.service = ServiceName("shopfront");
        entry->service.limits = {{"queue-full", 3}, {"unused", 0}};
        entry->service.measuring = {.budgetPercent = 2, .allowedMs = 10, .spentMs = 2.5, .probes = 1};
        entry->service.upstreams = {{.id = "u1", .address = "10.0.0.1:80", .state = "live"}};
    }
    first.service.revision = Revision(7);
    second.service.revision = Revision(6);
    second.service.upstreams[0].state = "draining";
    second.service.remarks = {"more members than the limit"};
    first.members = {{InstanceId("entry-1"), first.address(), "riga-1", "riga", "alive"},
                     {InstanceId("entry-2"), second.address(), "riga-2", "riga", "alive"},
                     {InstanceId("entry-3"), stoppedAddress, "riga-3", "riga", "suspect"}};
    first.events = {{.wallTimeUs = 2'000'000, .sequence = 1, .instance = "entry-1", .kind = "second.event"}};
    second.events = {{.wallTimeUs = 1'000'000, .sequence = 1, .instance = "entry-2", .kind = "first.event"},
                     {.wallTimeUs = 3'000'000, .sequence = 2, .instance = "entry-2", .kind = "third.event"}};

    CommandRunner runner(first.address());
    CHECK(runner.commands().status("shopfront") == ExitCode::Partial);
    const std::string status = runner.takeOutput();
    CAPTURE(status);
    CHECK(contains(status, "entry-1"));
    CHECK(contains(status, "live=1"));
    CHECK(contains(status, "queue-full=3"));
    CHECK(contains(status, "2.5/10.0"));
    CHECK(contains(status, "no status: connect: " + stoppedAddress));
    CHECK(contains(status, "2 different revisions"));
    CHECK(contains(status, "u1 10.0.0.1:80  draining at 1, live at 1"));
    CHECK(contains(status, "remark of entry-2: more members than the limit"));
    CHECK(runner.commands().status("unknown") == ExitCode::NotFound);
    runner.takeOutput();

    CHECK(runner.commands().timeline("", "") == ExitCode::Partial);
    const std::string line = runner.takeOutput();
    CHECK(line.find("first.event") < line.find("second.event"));
    CHECK(line.find("second.event") < line.find("third.event"));
    CHECK(contains(line, "1970-01-01T00:00:01.000000Z"));

    CommandRunner jsonRunner(first.address(), true);
    CHECK(jsonRunner.commands().status("shopfront") == ExitCode::Partial);
    const nlohmann::json members = nlohmann::json::parse(jsonRunner.takeOutput()).at("members");
    REQUIRE(members.size() == 3);
    CHECK(members[1].at("status").at("revision") == 6);
    CHECK(members[2].contains("error"));
}

TEST_CASE("documents are validated without an instance")
{
    std::ostringstream out;
    std::ostringstream err;
    TemporaryFile valid("# filbertmount-revision: 3\n" + Document);
    CHECK(validateFile(valid.name(), {.out = &out, .err = &err}) == ExitCode::Done);
    CHECK(contains(out.str(), "valid document of service shopfront"));
    TemporaryFile invalid("# filbertmount-revision: 3\n" + Document + "slots = 0\n");
    CHECK(validateFile(invalid.name(), {.out = &out, .err = &err}) == ExitCode::InvalidDocument);
    CHECK(contains(err.str(), invalid.name() + ":6: upstreams.slots"));
    CHECK(validateFile(invalid.name(), {.out = &out, .err = &err, .json = true}) == ExitCode::InvalidDocument);
    CHECK(contains(out.str(), "\"key\":\"upstreams.slots\""));
}

TEST_CASE("the revision line of a document file")
{
    CHECK(splitDocumentFile(joinDocumentFile("a = 1\n", Revision(12))).revision == Revision(12));
    CHECK(splitDocumentFile(joinDocumentFile("a = 1\n", Revision(12))).text == "a = 1\n");
    for (const char *text :
         {"", "a = 1", "# filbertmount-revision: x\na", "# filbertmount-revision: 0\na", "# filbertmount-revision: 7"}) {
        CAPTURE(text);
        CHECK_FALSE(splitDocumentFile(text).revision.has_value());
        CHECK(splitDocumentFile(text).text == text);
    }
}
