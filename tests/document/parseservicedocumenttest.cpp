#include <filbertmount/document/configissue.h>
#include <filbertmount/document/parseservicedocument.h>

#include "support/results.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace Filbertmount;

namespace {

constexpr const char *Minimal = R"(service = "shopfront"
team = "riga-shop"
[upstreams]
addresses = ["10.0.0.1:80", "10.0.0.2:80"]
)";

ConfigIssues issuesOf(const std::string &text)
{
    return requireError<ConfigIssues>([&]() {
        return parseServiceDocument(text, "shop.toml");
    });
}

ServiceDocument parsed(const std::string &text)
{
    return requireValue([&]() {
        return parseServiceDocument(text, "shop.toml");
    });
}

struct BrokenDocument {
    const char *name;
    std::string text;
    std::uint32_t line;
    const char *key;
    const char *problem;
};

std::string withLine(const char *line)
{
    return std::string(Minimal) + line;
}

// Appends a route: its header is line 5 and the given line is line 7.
std::string withRoute(const char *line)
{
    return std::string(Minimal) + "[[routes]]\npath = \"/a\"\n" + line + "\n";
}

std::vector<BrokenDocument> brokenDocuments()
{
    const std::string head = "service = \"shopfront\"\nteam = \"riga-shop\"\n";
    return {
        {"not TOML", "service = \nteam = 1", 1, "service", "not valid TOML"},
        {"empty", "", 1, "service", "missing"},
        {"duplicate key", head + "team = \"other\"\n", 3, "team", "not valid TOML"},
        {"wrong type", "service = 7\nteam = \"a\"\n[upstreams]\nlist = \"a\"", 1, "service", "expected a string, found integer"},
        {"bad name", "service = \"Shop Front\"\nteam = \"a\"\n[upstreams]\nlist = \"a\"", 1, "service", "a name of 1 to 63"},
        {"reserved name", "service = \"filbertmount\"\nteam = \"a\"\n[upstreams]\nlist = \"a\"", 1, "service", "reserved"},
        {"no team", "service = \"a\"\n[upstreams]\nlist = \"a\"", 1, "team", "missing"},
        {"no upstreams", head, 1, "upstreams", "missing"},
        {"upstreams no table", head + "upstreams = 3\n", 3, "upstreams", "expected a table, found integer"},
        {"neither list nor addresses", head + "[upstreams]\nslots = 2\n", 3, "upstreams.list", "exactly one of"},
        {"both list and addresses", withLine("list = \"shopfront\"\n"), 5, "upstreams.list", "exactly one of"},
        {"no addresses", head + "[upstreams]\naddresses = []\n", 4, "upstreams.addresses", "1 to 1000"},
        {"host name", head + "[upstreams]\naddresses = [\"db.local:80\"]\n", 4, "upstreams.addresses[1]", "not a host name"},
        {"port 0", head + "[upstreams]\naddresses = [\"10.0.0.1:0\"]\n", 4, "upstreams.addresses[1]", "IP:port"},
        {"port too large", head + "[upstreams]\naddresses = [\"10.0.0.1:70000\"]\n", 4, "upstreams.addresses[1]", "IP:port"},
        {"address twice",
         head + "[upstreams]\naddresses = [\"10.0.0.1:80\",\n\"10.0.0.1:80\"]\n",
         4,
         "upstreams.addresses",
         "twice"},
        {"address on its own line",
         head + "[upstreams]\naddresses = [\"10.0.0.1:80\",\n8]\n",
         5,
         "upstreams.addresses[2]",
         "IP:port"},
        {"unknown key in address",
         head + "[upstreams]\naddresses = [{address = \"10.0.0.1:80\", rack = \"r\"}]\n",
         4,
         "upstreams.addresses[1].rack",
         "unknown key"},
        {"slots 0", withLine("slots = 0\n"), 5, "upstreams.slots", "an integer from 1 to 1000, found 0"},
        {"slots as text", withLine("slots = \"2\"\n"), 5, "upstreams.slots", "found string"},
        {"slots as float", withLine("slots = 2.0\n"), 5, "upstreams.slots", "found floating-point"},
        {"more slots than connections", withLine("slots = 9\nconnections = 8\n"), 5, "upstreams.slots", "as many slots"},
        {"duration as number", withLine("cold_start = 5\n"), 5, "upstreams.cold_start", "a duration such as"},
        {"duration without unit", withLine("cold_start = \"5\"\n"), 5, "upstreams.cold_start", "a duration such as"},
        {"duration too long", withLine("cold_start = \"11m\"\n"), 5, "upstreams.cold_start", "to \"10m\""},
        {"duration overflow", withLine("cold_start = \"9999999999999h\"\n"), 5, "upstreams.cold_start", "a duration"},
        {"negative duration", withLine("cold_start = \"-5s\"\n"), 5, "upstreams.cold_start", "a duration"},
        {"unknown key", withLine("[upstream]\nslots = 2\n"), 5, "upstream", "unknown key, expected one of: claims, hedging"},
        {"unknown nested key", withLine("slot = 2\n"), 5, "upstreams.slot", "unknown key"},
        {"empty hosts", "hosts = []\n" + std::string(Minimal), 1, "hosts", "at least one host"},
        {"host with port", "hosts = [\"a.example:80\"]\n" + std::string(Minimal), 1, "hosts[1]", "without a port"},
        {"host twice", "hosts = [\"a\", \"a\"]\n" + std::string(Minimal), 1, "hosts", "twice"},
        {"route without path", withLine("[[routes]]\nmethod = \"GET\"\n"), 5, "routes[1].path", "missing"},
        {"routes as table", withLine("[routes]\npath = \"/\"\n"), 5, "routes", "expected an array"},
        {"lower-case method", withRoute("method = \"get\""), 7, "routes[1].method", "upper-case"},
        {"CONNECT", withRoute("method = \"CONNECT\""), 7, "routes[1].method", "other than CONNECT"},
        {"deadline 0", withRoute("deadline = \"0s\""), 7, "routes[1].deadline", "from \"1ms\" to \"1h\""},
        {"repeatable as text", withRoute("repeatable = \"no\""), 7, "routes[1].repeatable", "true or false"},
        {"priority", withRoute("priority = \"high\""), 7, "routes[1].priority", "\"interactive\" or \"patient\""},
        {"relative path", withLine("[[routes]]\npath = \"orders\"\n"), 6, "routes[1].path", "a path pattern"},
        {"wildcard in segment", withLine("[[routes]]\npath = \"/a*\"\n"), 6, "routes[1].path", "whole segment"},
        {"** in the middle", withLine("[[routes]]\npath = \"/**/a\"\n"), 6, "routes[1].path", "last segment"},
        {"percent in pattern", withLine("[[routes]]\npath = \"/%61\"\n"), 6, "routes[1].path", "percent encoding"},
        {"unreachable route", withRoute("[[routes]]\npath = \"/a\"\nmethod = \"GET\""), 8, "routes[2].path", "routes[1] matches"},
        {"measuring budget", withLine("[measuring]\nbudget_percent = 26\n"), 6, "measuring.budget_percent", "from 0 to 25"},
        {"NaN budget", withLine("[measuring]\nbudget_percent = nan\n"), 6, "measuring.budget_percent", "from 0 to 25"},
        {"probe path", withLine("[measuring]\nprobe_path = \"health\"\n"), 6, "measuring.probe_path", "a request path"},
        {"attempts", withLine("[retries]\nattempts = 4\n"), 6, "retries.attempts", "from 1 to 3"},
        {"attempts without budget",
         withLine("[retries]\nattempts = 2\nbudget_percent = 0\n"),
         6,
         "retries.attempts",
         "1 attempt"},
        {"hedging, none repeatable",
         withLine("[hedging]\nbudget_percent = 2\n"),
         6,
         "hedging.budget_percent",
         "no route is repeatable"},
        {"hedging, one attempt",
         withRoute("repeatable = true\n[retries]\nattempts = 1\n[hedging]\nbudget_percent = 2"),
         11,
         "hedging.budget_percent",
         "a hedge is a second attempt"},
        {"queue", withLine("[limits]\nqueue = -1\n"), 6, "limits.queue", "from 0"},
        {"weights", withLine("[weights]\ntail_latency = 1.5\n"), 6, "weights.tail_latency", "from 0 to 1"},
        {"retention too short", withLine("[claims]\nretention = \"30s\"\n"), 6, "claims.retention", "from \"1m\""},
        {"retention under the deadline",
         withRoute("deadline = \"5m\"\n[claims]\nretention = \"1m\""),
         9,
         "claims.retention",
         "at least the deadline 5m"},
    };
}

} // namespace

// Guards against documents that are accepted although one of their keys is ignored, and against errors without a position.
TEST_CASE("each broken document is refused with file, line, key and expectation")
{
    for (const BrokenDocument &broken : brokenDocuments()) {
        CAPTURE(broken.name);
        const ConfigIssues issues = issuesOf(broken.text);
        REQUIRE_FALSE(issues.list.empty());
        CAPTURE(describe(issues));
        CHECK(issues.list.front().file == "shop.toml");
        CHECK(issues.list.front().line == broken.line);
        CHECK(issues.list.front().key == broken.key);
        CHECK(issues.list.front().problem.find(broken.problem) != std::string::npos);
    }
}

TEST_CASE("the Failure of a document lists the same errors as its ConfigIssues")
{
    const Failure failure = requireError<Failure>([]() {
        return parseServiceDocument(withLine("slots = 0\n"), "shop.toml");
    });
    CHECK(failure.step == Step::ReadDocument);
    CHECK(failure.reason == describe(issuesOf(withLine("slots = 0\n"))));
}

TEST_CASE("all errors of a document are reported at once")
{
    const ConfigIssues issues = issuesOf(withLine("slots = 0\ncold_start = 1\n[weights]\nx = 1\n"));
    CHECK(describe(issues).find("shop.toml:5: upstreams.slots: expected an integer") != std::string::npos);
    CHECK(issues.list.size() == 3);
}

TEST_CASE("a document beyond the size limit is refused before it is parsed")
{
    const ConfigIssues issues = issuesOf(std::string(MaxDocumentBytes + 1, '#'));
    REQUIRE(issues.list.size() == 1);
    CHECK(describe(issues) == "shop.toml: expected at most 32768 bytes");
}

TEST_CASE("a minimal document gets safe defaults")
{
    const ServiceDocument document = parsed(Minimal);
    CHECK(document.hosts == std::vector<std::string>{"shopfront"});
    CHECK(document.upstreams.addresses.size() == 2);
    REQUIRE(document.routes.size() == 1);
    CHECK_FALSE(document.routes.front().repeatable);
    CHECK(document.claims.retention == std::chrono::hours(24));
}

TEST_CASE("twelve lines are enough for a small shop")
{
    const std::string text = R"(service = "shopfront"
team = "riga-shop"
[upstreams]
list = "shopfront"
[[routes]]
method = "GET"
path = "/**"
repeatable = true
[[routes]]
path = "/**"
[weights]
tail_latency = 0.9
)";
    REQUIRE(std::count(text.begin(), text.end(), '\n') == 12);
    const ServiceDocument document = parsed(text);
    CHECK(document.routes.at(0).repeatable);
    CHECK_FALSE(document.routes.at(1).repeatable);
}

// The path of the examples is derived from __FILE__, so that the test runs in any working directory.
TEST_CASE("the example documents are valid and differ as the services do")
{
    const std::string folder = std::string(__FILE__).substr(0, std::string(__FILE__).rfind("/tests/")) + "/examples/";
    std::vector<ServiceDocument> documents;
    for (const char *name : {"shopfront", "workshop", "fitting-bench", "catalogue"}) {
        CAPTURE(name);
        std::ifstream file(folder + name + ".toml");
        REQUIRE(file.good());
        std::stringstream text;
        text << file.rdbuf();
        documents.push_back(parsed(text.str()));
        CHECK(documents.back().service == ServiceName(name));
        CHECK(documents.back().upstreams.connections == 200);
    }
    CHECK(documents[1].team == TeamName("spieku-darbnica"));
    CHECK(documents[3].team == TeamName("kaya"));
    CHECK(documents[0].upstreams.slots == 2);
    CHECK(documents[2].upstreams.slots == 4);
    CHECK(documents[3].routes.front().priority == Priority::Patient);
    CHECK(documents[3].weights.tailLatency < documents[0].weights.tailLatency);
}
