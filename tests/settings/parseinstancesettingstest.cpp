#include <filbertmount/document/configissue.h>
#include <filbertmount/settings/parseinstancesettings.h>

#include "support/results.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

// Has six lines, so appended text starts at line 7.
constexpr const char *Minimal = R"([instance]
region = "riga"
zone = "riga-1"
[addresses]
administration = "10.0.0.1:7001"
peers = "10.0.0.1:7002"
)";

constexpr const char *Store = "[store]\naddress = \"10.0.0.9:9000\"\n";
constexpr const char *HashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
constexpr const char *HashB = "BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB";

std::string minimalWith(const std::string &lines)
{
    return Minimal + lines + Store;
}

std::string team(const std::string &name, const std::string &hash)
{
    return "[[teams]]\nname = \"" + name + "\"\ntokens_sha256 = [\"" + hash + "\"]\n";
}

InstanceSettings parsed(const std::string &text)
{
    return requireValue([&]() {
        return parseInstanceSettings(text, "instance.toml");
    });
}

struct InvalidSettings {
    const char *name;
    std::string text;
    std::uint32_t line;
    const char *key;
    const char *problem;
};

std::vector<InvalidSettings> invalidSettings()
{
    const std::string instance = "[instance]\nregion = \"riga\"\nzone = \"riga-1\"\n";
    return {
        {"not TOML", minimalWith("[limits]\nworkers = two\n"), 8, "workers", "not valid TOML"},
        {"no instance", std::string(Store), 1, "instance", "missing"},
        {"no zone", "[instance]\nregion = \"riga\"\n" + std::string(Store), 1, "instance.zone", "missing"},
        {"no administration address",
         instance + "[addresses]\npeers = \"10.0.0.1:1\"\n" + Store,
         4,
         "addresses.administration",
         "missing"},
        {"wildcard peers",
         instance + "[addresses]\nadministration = \"10.0.0.1:1\"\npeers = \"0.0.0.0:2\"\n" + Store,
         6,
         "addresses.peers",
         "under which other instances reach this one"},
        {"same port twice",
         instance + "[addresses]\nadministration = \"10.0.0.1:8080\"\npeers = \"10.0.0.1:2\"\n" + Store,
         5,
         "addresses.administration",
         "a port of its own"},
        {"host name",
         instance + "[addresses]\nadministration = \"localhost:1\"\npeers = \"10.0.0.1:2\"\n" + Store,
         5,
         "addresses.administration",
         "IP:port"},
        {"unknown key", minimalWith("[limit]\nworkers = 2\n"), 7, "limit", "unknown key"},
        {"unknown nested key", minimalWith("[limits]\nworker = 2\n"), 8, "limits.worker", "unknown key, expected one of"},
        {"wrong type", minimalWith("[limits]\nworkers = \"2\"\n"), 8, "limits.workers", "found string"},
        {"out of range", minimalWith("[limits]\nworkers = 0\n"), 8, "limits.workers", "from 1 to 256, found 0"},
        {"fewer connections than workers",
         minimalWith("[limits]\nworkers = 4\nconnections = 3\n"),
         9,
         "limits.connections",
         "4 workers"},
        {"duration", minimalWith("[limits]\nidle_timeout = \"1\"\n"), 8, "limits.idle_timeout", "a duration"},
        {"entry instances", minimalWith("[limits]\nentry_instances = 0\n"), 8, "limits.entry_instances", "from 1 to 10000"},
        {"peer port 0", minimalWith("[peers]\naddresses = [\"10.0.0.2:0\"]\n"), 8, "peers.addresses[1]", "port above 0"},
        {"store without address", Minimal + std::string("[store]\ntimeout = \"1s\"\n"), 7, "store.address", "missing"},
        {"store timeout", minimalWith("") + "timeout = \"1ms\"\n", 9, "store.timeout", "from \"10ms\""},
        {"no source of documents", Minimal, 1, "store", "missing"},
        {"list without store", Minimal + std::string("[peers]\ninstance_list = \"filbertmount\"\n"), 7, "peers", "no store"},
        {"documents and a store", "documents = [\"a.toml\"]\n" + minimalWith(""), 1, "documents", "come from the store"},
        {"empty document name", "documents = [\"\"]\n" + std::string(Minimal), 1, "documents[1]", "a file name"},
        {"log level", "log_level = \"loud\"\n" + minimalWith(""), 1, "log_level", "\"debug\" or \"info\""},
        {"drain grace", "drain_grace = 10\n" + minimalWith(""), 1, "drain_grace", "a duration"},
        {"team without token", minimalWith("[[teams]]\nname = \"kaya\"\n"), 7, "teams[1].tokens_sha256", "missing"},
        {"no hashes", minimalWith("[[teams]]\nname = \"kaya\"\ntokens_sha256 = []\n"), 9, "teams[1].tokens_sha256", "1 to 4"},
        {"token instead of hash",
         minimalWith(team("kaya", "secret-token")),
         9,
         "teams[1].tokens_sha256[1]",
         "64 hexadecimal digits"},
        {"hash with a wrong digit",
         minimalWith(team("kaya", std::string(63, 'a') + "g")),
         9,
         "teams[1].tokens_sha256[1]",
         "64 hex"},
        {"team twice", minimalWith(team("kaya", HashA) + team("kaya", HashB)), 11, "teams[2].name", "twice"},
        {"token of another team",
         minimalWith(team("kaya", HashA) + team("riga", HashA)),
         12,
         "teams[2].tokens_sha256",
         "team \"kaya\""},
    };
}

} // namespace

// Guards against an instance that starts although it ignores a setting or cannot apply it.
TEST_CASE("each broken settings file is refused with line, key and expectation")
{
    for (const InvalidSettings &invalid : invalidSettings()) {
        CAPTURE(invalid.name);
        const auto issues = requireError<ConfigIssues>([&]() {
            return parseInstanceSettings(invalid.text, "instance.toml");
        });
        REQUIRE_FALSE(issues.list.empty());
        CAPTURE(describe(issues));
        CHECK(issues.list.front().line == invalid.line);
        CHECK(issues.list.front().key == invalid.key);
        CHECK(issues.list.front().problem.find(invalid.problem) != std::string::npos);
    }
}

// Guards against leaking a token into the log that was entered in place of its hash.
TEST_CASE("errors do not repeat what stands in place of a token's hash")
{
    const auto failure = requireError<Failure>([]() {
        return parseInstanceSettings(minimalWith(team("kaya", "secret-token")), "instance.toml");
    });
    CHECK(failure.step == Step::ReadSettings);
    CHECK(failure.reason.find("secret-token") == std::string::npos);
}

TEST_CASE("settings of one instance with every table")
{
    const InstanceSettings settings = parsed(R"(drain_grace = "20s"
log_level = "warning"
[instance]
id = "entry-7"
region = "riga"
zone = "riga-2"
cluster = "shops"
[addresses]
callers = "[::]:80"
administration = "10.0.0.1:7001"
peers = "10.0.0.1:0"
[peers]
addresses = ["10.0.0.2:7002"]
instance_list = "filbertmount"
[store]
address = "10.0.0.9:9000"
timeout = "250ms"
[limits]
entry_instances = 20
connect_timeout = "100ms"
)" + team("kaya", HashA) + team("riga-shop", HashB));
    CHECK(settings.identity.id == InstanceId("entry-7"));
    CHECK(settings.addresses.callers.text() == "[::]:80");
    CHECK(settings.peers.addresses.at(0).text() == "10.0.0.2:7002");
    CHECK(settings.store.address.value().port == 9000);
    CHECK(settings.store.timeout == std::chrono::milliseconds(250));
    CHECK(settings.limits.entryInstances == 20);
    CHECK(settings.reloadable.logLevel == LogLevel::Warning);
    CHECK(settings.reloadable.drainGrace == std::chrono::seconds(20));
    CHECK(settings.reloadable.teams.at(1).tokens.at(0)[31] == 0xbb);
}

// Guards against a restarted instance reusing its id, since membership could not tell the two runs apart.
TEST_CASE("an instance without an id draws one at random")
{
    const InstanceId first = parsed(minimalWith("")).identity.id;
    const InstanceId second = parsed(minimalWith("")).identity.id;
    CHECK(first != second);
    CHECK(first.value().size() == 22);
}

TEST_CASE("the example settings are valid")
{
    const std::string root = std::string(__FILE__).substr(0, std::string(__FILE__).rfind("/tests/"));
    const InstanceSettings settings = requireValue([&]() {
        return readInstanceSettings(root + "/examples/instance.toml");
    });
    CHECK(settings.reloadable.teams.at(0).name == TeamName("spieku-darbnica"));
}

TEST_CASE("a settings file that cannot be read is a failure that names it")
{
    const auto failure = requireError<Failure>([]() {
        return readInstanceSettings("/nonexistent/instance.toml");
    });
    CHECK(describe(failure) == "read-settings: /nonexistent/instance.toml: the file cannot be read");
}
