#include "storeprotocol.h"
#include "httpnames.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

const Platform::StoreProtocol Protocol;

std::string entry(const std::string &spec, const std::string &status)
{
    return R"({"metadata":{"name":"i-1","revision":7,"create_revision":2,"finalizers":[],"deleting":false},"spec":)" + spec
        + R"(,"status":)" + status + "}";
}

const std::string GoodSpec =
    R"({"address":"10.0.0.9:8080","born":1700,"info":{"service":"s","version":"v1","zone":"a","capacity_slots":2}})";
const std::string GoodStatus = R"({"state":"ready","sequence":4,"warmup_left_s":1.5})";

StatePage page(StateKind kind, const std::string &item)
{
    const auto result =
        Protocol.parsePage(kind, 200, R"({"items":[)" + item + R"(],"has_more":false,"store_revision":530,"new_field":1})");
    REQUIRE(std::holds_alternative<StatePage>(result));
    return std::get<StatePage>(result);
}

template<class T>
StoreProblem problemOf(const StoreResult<T> &result)
{
    REQUIRE(std::holds_alternative<StoreError>(result));
    return std::get<StoreError>(result).problem;
}

} // namespace

TEST_CASE("store protocol: the era is read from the header, and all positions of a response belong to it")
{
    const struct {
        const char *name;
        Headers headers;
        std::optional<StoreEra> expected;
    } rows[] = {
        {"stated", {{.name = "store-era", .value = "7"}}, StoreEra(7)},
        {"absent", {{.name = "Date", .value = "7"}}, std::nullopt},
        {"not a number", {{.name = "Store-Era", .value = "new"}}, std::nullopt},
        {"negative", {{.name = "Store-Era", .value = "-1"}}, std::nullopt},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        CHECK(Protocol.era(row.headers) == row.expected);
    }
    const std::string object = entry(GoodSpec, GoodStatus);
    const auto listed = Protocol.parsePage(
        StateKind::Upstreams, 200, absl::StrCat(R"({"items":[)", object, R"(],"store_revision":530})"), StoreEra(7));
    CHECK(std::get<StatePage>(listed).storeRevision == Revision(530, StoreEra(7)));
    CHECK(std::get<StatePage>(listed).objects.at(0).revision == Revision(7, StoreEra(7)));
}

TEST_CASE("store protocol: an upstream's entry is read into typed fields")
{
    const StatePage read = page(StateKind::Upstreams, entry(GoodSpec, GoodStatus));
    CHECK(read.storeRevision == Revision(530));
    REQUIRE(read.objects.size() == 1);
    CHECK(read.objects[0].revision == Revision(7));
    const auto &record = std::get<UpstreamRecord>(read.objects[0].value);
    CHECK(record.id == UpstreamId("i-1"));
    CHECK(record.service == ServiceName("s"));
    CHECK(record.address == "10.0.0.9:8080");
    CHECK(record.slots == 2);
    CHECK_FALSE(record.isDraining);
    CHECK(record.warmupLeft == 1500ms);
    CHECK(record.incarnation == Incarnation(1700));
}

TEST_CASE("store protocol: registrations and departures of instances are read as they were written")
{
    for (const bool isDeparture : {false, true}) {
        CAPTURE(isDeparture);
        const InstanceRecord record{.peerAddress = "10.0.0.1:7661", .isDeparture = isDeparture};
        std::string object = Protocol.createInstanceRequest("a", record).body;
        const std::string metadata = R"("metadata":{"name":"a")";
        REQUIRE(object.find(metadata) != std::string::npos);
        object.insert(object.find(metadata) + metadata.size(), R"(,"revision":7)");
        const StatePage read = page(StateKind::Instances, object);
        REQUIRE(read.objects.size() == 1);
        CHECK(std::get<InstanceRecord>(read.objects[0].value) == record);
    }
    const StoreRequest request = Protocol.deleteInstanceRequest("a/b?c", Revision(7));
    CHECK(request.method == "DELETE");
    CHECK(request.target == "/api/objects/filbertmount-instances/a%2Fb%3Fc?revision=7");
    CHECK(problemOf(Protocol.parseWriteResponse(404, "")) == StoreProblem::Missing);
    CHECK(problemOf(Protocol.parseWriteResponse(409, "")) == StoreProblem::Conflict);
}

TEST_CASE("store protocol: an invalid upstream entry is rejected and leaves the others valid")
{
    struct Row {
        std::string spec;
        std::string status;
    };
    const Row rows[] = {
        {R"({"info":{"service":"s","capacity_slots":2}})", GoodStatus},
        {R"({"address":7,"info":{"service":"s","capacity_slots":2}})", GoodStatus},
        {R"({"address":"shop.example:80","info":{"service":"s","capacity_slots":2}})", GoodStatus},
        {R"({"address":"10.0.0.9:8080","info":{"service":"","capacity_slots":2}})", GoodStatus},
        {R"({"address":"10.0.0.9:8080","info":{"service":"s","capacity_slots":"2"}})", GoodStatus},
        {R"({"address":"10.0.0.9:8080","info":{"service":"s","capacity_slots":-1}})", GoodStatus},
        {R"({"address":"10.0.0.9:8080","info":[]})", GoodStatus},
        {R"("text")", GoodStatus},
        {GoodSpec, R"({"state":"resting"})"},
        {GoodSpec, R"({"sequence":4})"},
        {GoodSpec, "null"},
        {GoodSpec, "[]"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.spec);
        CAPTURE(row.status);
        const StatePage read = page(StateKind::Upstreams, entry(row.spec, row.status) + "," + entry(GoodSpec, GoodStatus));
        REQUIRE(read.objects.size() == 2);
        CHECK(std::holds_alternative<MalformedObject>(read.objects[0].value));
        CHECK(std::holds_alternative<UpstreamRecord>(read.objects[1].value));
    }
}

// The pages set no limit on the slots, and a whole number may be written as a fraction.
TEST_CASE("store protocol: numbers of an upstream are read in any form and limited to what is usable")
{
    const std::string address =
        R"({"address":"10.0.0.9:8080","born":1796000000000.0,"info":{"service":"s","zone":"z","capacity_slots":)";
    const struct {
        const char *slots;
        int expected;
    } rows[] = {{"2.0", 2}, {"10001", 10'000}, {"4294967298", 10'000}, {"1e30", 10'000}};
    for (const auto &row : rows) {
        CAPTURE(row.slots);
        const StatePage read = page(StateKind::Upstreams, entry(address + row.slots + "}}", GoodStatus));
        REQUIRE(read.objects.size() == 1);
        const auto *record = std::get_if<UpstreamRecord>(&read.objects[0].value);
        REQUIRE(record != nullptr);
        CHECK(record->slots == row.expected);
        CHECK(record->incarnation == Incarnation(1796000000000));
    }
}

// Guards against one entry of another writer that makes the whole list unreadable or ends the process.
TEST_CASE("store protocol: one odd entry spoils neither the other entries of a listing nor those of a watch")
{
    constexpr int deepNesting = 300'000;
    const std::string deep = std::string(deepNesting, '[') + std::string(deepNesting, ']');
    const std::string named = R"({"metadata":{"name":"odd","revision":8},"spec":)";
    const std::string address = R"({"address":"10.0.0.9:8080","info":{"service":"s","capacity_slots":)";
    struct Row {
        const char *name;
        std::string item;
        /** The entry is reported as malformed; otherwise, it has no identity and is left out. */
        bool isNamed;
    };
    const Row rows[] = {
        {"number above the range of a double", named + R"({"x":1e400}})", true},
        {"text that is not UTF-8", named + "\"\xff\xfe\"}", true},
        {"an unfinished escape", named + R"("\ud800"})", true},
        {"deep nesting", named + deep + "}", true},
        {"deep nesting in the metadata", R"({"metadata":{"name":)" + deep + R"(,"revision":8},"spec":null})", false},
        {"a bare word", named + "hello}", true},
        {"port 0",
         named + R"({"address":"10.0.0.9:0","info":{"service":"s","capacity_slots":2}},"status":)" + GoodStatus + "}",
         true},
        {"port 99999",
         named + R"({"address":"10.0.0.9:99999","info":{"service":"s","capacity_slots":2}},"status":)" + GoodStatus + "}",
         true},
        {"born above 64 bits",
         named + R"({"address":"10.0.0.9:80","born":99999999999999999999,"info":{"service":"s","capacity_slots":2}},"status":)"
             + GoodStatus + "}",
         true},
        {"a name that would end a header",
         R"({"metadata":{"name":"a\r\nb","revision":8},"spec":)" + GoodSpec + R"(,"status":)" + GoodStatus + "}",
         true},
        {"a revision above 64 bits", R"({"metadata":{"name":"odd","revision":99999999999999999999},"spec":null})", false},
        {"two names", R"({"metadata":{"name":"odd","name":"even","revision":8},"spec":null})", false},
        {"an empty name", R"({"metadata":{"name":"","revision":8},"spec":null})", false},
        {"no metadata", "{}", false},
        {"a list", "[[],{}]", false},
        {"a text", R"("entry")", false},
        {"null", "null", false},
    };
    const std::string good = entry(GoodSpec, GoodStatus);
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const std::string items = absl::StrCat(good, ",", row.item, ",", good);
        const auto listed =
            Protocol.parsePage(StateKind::Upstreams, 200, absl::StrCat(R"({"items":[)", items, R"(],"store_revision":530})"));
        REQUIRE(std::holds_alternative<StatePage>(listed));
        const auto &objects = std::get<StatePage>(listed).objects;
        REQUIRE(objects.size() == (row.isNamed ? 3 : 2));
        CHECK(std::holds_alternative<UpstreamRecord>(objects.front().value));
        CHECK(std::holds_alternative<UpstreamRecord>(objects.back().value));
        CHECK(std::holds_alternative<MalformedObject>(objects[1].value) == row.isNamed);

        const std::string events = absl::StrCat(R"({"object":)",
                                                good,
                                                R"(},{"object":)",
                                                row.item,
                                                R"(},{"deleted":true},)",
                                                R"({"object":)",
                                                good,
                                                R"(,"deleted":true})");
        const auto changed = Protocol.parseChanges(
            StateKind::Upstreams, 200, absl::StrCat(R"({"events":[)", events, R"(],"store_revision":531})"));
        REQUIRE(std::holds_alternative<StateChanges>(changed));
        const auto &changes = std::get<StateChanges>(changed).changes;
        REQUIRE(changes.size() == (row.isNamed ? 3 : 2));
        CHECK(std::holds_alternative<UpstreamRecord>(changes.front().object.value));
        CHECK(changes.back().isDeleted);
    }
}

TEST_CASE("store protocol: a page of odd entries still states where the next one starts")
{
    const auto result = Protocol.parsePage(
        StateKind::Upstreams,
        200,
        R"({"items":[{"metadata":{"name":"a","revision":1},"spec":1e400},{}],"has_more":true,"store_revision":5})");
    REQUIRE(std::holds_alternative<StatePage>(result));
    CHECK(std::get<StatePage>(result).nextAfter == "a");
}

TEST_CASE("store protocol: the route set is read from its table")
{
    const std::string spec =
        R"({"version":"0000000c","routes":{"columns":["name","host","path_prefix","kind","timeout_s","target_latency_s","priority","traffic_split","max_attempts","service"],"rows":[["r1","Shop.Example","/a/","safe",0.5,0.2,2,[{"service":"x","weight":90},{"service":"y","weight":10}],2,null],["r2","shop.example","/b/","unsafe",0.6,0.25,1,null,1,"x"]]},"services":{"columns":["name","health_check_path","max_connections","protocol","tls"],"rows":[["x","/health",220,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}})";
    const StatePage read =
        page(StateKind::Routes, R"({"metadata":{"name":"main","revision":9},"spec":)" + spec + R"(,"status":null})");
    REQUIRE(read.objects.size() == 1);
    const auto &routes = std::get<RouteSet>(read.objects[0].value);
    CHECK(routes.version == RouteSetVersion(12));
    REQUIRE(routes.routes.size() == 2);
    CHECK(routes.routes[0].host == "shop.example");
    CHECK(routes.routes[0].isRepeatable);
    CHECK(routes.routes[0].targets.size() == 2);
    CHECK(routes.routes[0].timeout == 500ms);
    CHECK_FALSE(routes.routes[1].isRepeatable);
    CHECK(routes.routes[1].targets[0].service == ServiceName("x"));
    CHECK(routes.services[0].healthPath == "/health");
    CHECK(routes.limits.idleTimeout == 15s);
}

TEST_CASE("store protocol: a service states for how long and at which rate its cold upstreams are limited")
{
    struct Row {
        const char *columns;
        const char *values;
        std::pair<Duration, double> expected;
    };
    for (const Row &row : {Row{"", "", std::pair{Duration(0s), 0.0}},
                           Row{R"(,"warmup_s","warmup_per_s")", ",7.5,6", std::pair{Duration(7500ms), 6.0}},
                           Row{R"(,"warmup_s","warmup_per_s")", ",null,null", std::pair{Duration(0s), 0.0}},
                           Row{R"(,"warmup_s","warmup_per_s")", ",-1,6", std::pair{Duration(0s), 6.0}},
                           Row{R"(,"warmup_s","warmup_per_s")", ",7,-6", std::pair{Duration(7s), 0.0}},
                           Row{R"(,"warmup_s","warmup_per_s")", ",7,\"6\"", std::pair{Duration(7s), 0.0}}}) {
        CAPTURE(row.columns);
        CAPTURE(row.values);
        const std::string spec =
            std::string(R"({"version":"0000000c","routes":{"columns":[],"rows":[]},"services":{"columns":["name")") + row.columns
            + R"(],"rows":[["x")" + row.values + "]]}}";
        const StatePage read =
            page(StateKind::Routes, R"({"metadata":{"name":"main","revision":9},"spec":)" + spec + R"(,"status":null})");
        REQUIRE(read.objects.size() == 1);
        const auto *routes = std::get_if<RouteSet>(&read.objects[0].value);
        REQUIRE(routes != nullptr);
        CHECK(routes->services[0].warmup == row.expected.first);
        CHECK(routes->services[0].warmupRate == row.expected.second);
    }
}

TEST_CASE("store protocol: each failure is mapped to its problem")
{
    struct Row {
        int status;
        const char *body;
        StoreProblem expected;
    };
    for (const Row &row :
         {Row{503, "", StoreProblem::Unavailable},
          Row{500, "", StoreProblem::Unavailable},
          Row{429, "{}", StoreProblem::RateLimited},
          Row{410, "{}", StoreProblem::HistoryGone},
          Row{409, "{}", StoreProblem::Conflict},
          Row{200, "", StoreProblem::Malformed},
          Row{200, "{\"items\":", StoreProblem::Malformed},
          Row{200, "[]", StoreProblem::Malformed},
          Row{200, R"({"items":[],"events":[],"has_more":true,"store_revision":"x"})", StoreProblem::Malformed}}) {
        CAPTURE(row.status);
        CAPTURE(row.body);
        CHECK(problemOf(Protocol.parsePage(StateKind::Upstreams, row.status, row.body)) == row.expected);
        CHECK(problemOf(Protocol.parseChanges(StateKind::Upstreams, row.status, row.body)) == row.expected);
    }
    CHECK(problemOf(Protocol.parsePage(StateKind::Upstreams, 200, R"({"items":[],"has_more":true,"store_revision":5})"))
          == StoreProblem::Malformed);
}

TEST_CASE("store protocol: a page that is not the last states where the next one starts")
{
    const auto result = Protocol.parsePage(
        StateKind::Upstreams, 200, R"({"items":[)" + entry(GoodSpec, GoodStatus) + R"(],"has_more":true,"store_revision":5})");
    REQUIRE(std::holds_alternative<StatePage>(result));
    CHECK(std::get<StatePage>(result).nextAfter == "i-1");
}

TEST_CASE("store protocol: requests are built as the platform expects them")
{
    CHECK(Protocol.listRequest(StateKind::Upstreams, "", false).target == "/api/objects/servers");
    CHECK(Protocol.listRequest(StateKind::Upstreams, "i-1", true).target == "/api/objects/servers?after=i-1&stale_ok=1");
    CHECK(Protocol.listRequest(StateKind::Upstreams, "a/b c&d", false).target == "/api/objects/servers?after=a%2Fb%20c%26d");
    CHECK(Protocol.watchRequest(StateKind::Routes, Revision(530), 700ms).target == "/api/objects/config?watch=530&wait_ms=700");
}

TEST_CASE("load header: running, waiting, slots and the pace in percent")
{
    struct Row {
        const char *text;
        bool isRead;
        double pace;
    };
    for (const Row &row : {Row{"3,0,8,250", true, 2.5},
                           Row{"3,0,8", true, 0},
                           Row{"3,0", false, 0},
                           Row{"", false, 0},
                           Row{"a,b,c", false, 0},
                           Row{"3,-1,8,100", false, 0},
                           Row{"3,0,8,0", true, 0},
                           Row{"4294967299,4294967295,2147483648,9223372036854775807", true, 10'000}}) {
        CAPTURE(row.text);
        const std::optional<UpstreamLoad> load = Platform::parseLoad(row.text);
        CHECK(load.has_value() == row.isRead);
        if (load) {
            CHECK(load->pace.value_or(0) == row.pace);
            // A number beyond an int must not become a small or negative one.
            CHECK((load->running == 3 || load->running == 1'000'000));
            CHECK(load->waiting >= 0);
            CHECK(load->slots >= 8);
        }
    }
}

// An operator who evacuates a zone in an emergency may write anything as the content.
TEST_CASE("store protocol: an evacuation is named by its object, whatever its content")
{
    for (const std::string spec : {R"({})", R"(null)", R"({"reason":"fire"})", R"([1e999])", R"("zone-2")"}) {
        CAPTURE(spec);
        const StatePage read =
            page(StateKind::Evacuations, R"({"metadata":{"name":"zone-1","revision":9},"spec":)" + spec + R"(,"status":null})");
        REQUIRE(read.objects.size() == 1);
        CHECK(read.objects[0].name == "zone-1");
        CHECK(std::holds_alternative<ZoneEvacuation>(read.objects[0].value));
    }
    CHECK(Protocol.listRequest(StateKind::Evacuations, "", false).target == "/api/objects/evacuations");
    CHECK(Protocol.watchRequest(StateKind::Evacuations, Revision(5), 700ms).target
          == "/api/objects/evacuations?watch=5&wait_ms=700");
}
