#include "objectvalues.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Filbertmount;

namespace {

using Json = nlohmann::json;

const std::string SecretKey = "secret-key-of-acme";

Json configuration()
{
    Json object = Json::parse(R"({"metadata":{"name":"main","revision":9},"spec":{"version":"0000000c",
        "routes":{"columns":["name","host","path_prefix","kind","timeout_s","service","auth_exempt","allowed_regions"],
                  "rows":[["r1","h","/a/","safe",1,"x",null,null],["r2","h","/b/","download",1,"x",true,["north"]],
                          ["r3","h","/c/","order",1,"x",false,[]]]},
        "services":{"columns":["name"],"rows":[["x"]]},
        "tenants":{"columns":["name","api_keys","priority","rate_per_s","burst","allowed_regions"],
                   "rows":[["acme",["","second"],1,2.5,10,["north","south"]],["small",[],null,null,null,null]]}}})");
    object["spec"]["tenants"]["rows"][0][1][0] = SecretKey;
    return object;
}

} // namespace

TEST_CASE("configuration: accounts and the fields of routes that concern them are read")
{
    const StateValue value = Platform::parseRouteSet(configuration());
    REQUIRE(std::holds_alternative<RouteSet>(value));
    const auto &routes = std::get<RouteSet>(value);
    CHECK(routes.requiresKey);
    REQUIRE(routes.accounts.size() == 2);
    CHECK(routes.accounts[0]
          == ClientAccount{.name = AccountName("acme"),
                           .keyDigests = {sha256(SecretKey), sha256("second")},
                           .rank = 1,
                           .rate = 2.5,
                           .burst = 10,
                           .allowedRegions = {Region("north"), Region("south")}});
    CHECK(routes.accounts[1] == ClientAccount{.name = AccountName("small")});
    CHECK_FALSE(routes.routes[0].isKeyExempt);
    CHECK(routes.routes[1].isKeyExempt);
    CHECK(routes.routes[1].allowedRegions == std::vector{Region("north")});
    CHECK(routes.routes[0].isRepeatable);
    CHECK(routes.routes[1].isRepeatable);
    CHECK_FALSE(routes.routes[2].isRepeatable);
}

TEST_CASE("configuration: without a table of accounts, no key is required; an empty table requires one")
{
    Json without = configuration();
    without["spec"].erase("tenants");
    CHECK_FALSE(std::get<RouteSet>(Platform::parseRouteSet(without)).requiresKey);
    without["spec"]["tenants"] = {{"columns", {"name", "api_keys"}}, {"rows", Json::array()}};
    CHECK(std::get<RouteSet>(Platform::parseRouteSet(without)).requiresKey);
}

// Guards against a faulty version that locks callers out or admits one as another, and against keys in the log.
TEST_CASE("configuration: a version with an invalid account is rejected with the field, and the reason contains no key")
{
    constexpr std::size_t name = 0;
    constexpr std::size_t keys = 1;
    constexpr std::size_t priority = 2;
    constexpr std::size_t rate = 3;
    constexpr std::size_t burst = 4;
    constexpr std::size_t regions = 5;
    struct Row {
        std::size_t column;
        Json value;
        std::string field;
    };
    const Row rows[] = {
        {name, nullptr, "name"},
        {name, "", "name"},
        {name, 7, "name"},
        {name, "acme", "name"},
        {name, "a\r\nb", "name"},
        {name, " a", "name"},
        {name, "caf\xc3\xa9", "name"},
        {name, std::string(257, 'n'), "name"},
        {keys, nullptr, "api_keys"},
        {keys, "secret-text", "api_keys"},
        {keys, Json::array({""}), "api_keys"},
        {keys, Json::array({"fine", 7}), "api_keys"},
        {keys, Json::array({"secret\tkey"}), "api_keys"},
        {keys, Json::array({"secret "}), "api_keys"},
        {keys, Json::array({"secret-\xc3\xa9"}), "api_keys"},
        {keys, Json::array({"secret" + std::string(251, 'k')}), "api_keys"},
        {keys, Json::array({SecretKey}), "api_keys"},
        {priority, -1, "priority"},
        {priority, 1.5, "priority"},
        {priority, "0", "priority"},
        {rate, -0.1, "rate_per_s"},
        {rate, 1e7, "rate_per_s"},
        {rate, "5", "rate_per_s"},
        {burst, -1, "burst"},
        {burst, 1e300, "burst"},
        {regions, "north", "allowed_regions"},
        {regions, Json::array({""}), "allowed_regions"},
        {regions, Json::array({3}), "allowed_regions"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.column);
        CAPTURE(row.field);
        Json object = configuration();
        object["spec"]["tenants"]["rows"][1][row.column] = row.value;
        const StateValue value = Platform::parseRouteSet(object);
        REQUIRE(std::holds_alternative<MalformedObject>(value));
        const std::string &reason = std::get<MalformedObject>(value).reason;
        CAPTURE(reason);
        CHECK(reason.find("tenants, row 2: " + row.field) == 0);
        CHECK(reason.find("secret") == std::string::npos);
    }
    for (const Json &broken : {Json("text"), Json(true), Json::object(), Json::array()}) {
        Json object = configuration();
        object["spec"]["tenants"] = broken;
        CHECK(std::holds_alternative<MalformedObject>(Platform::parseRouteSet(object)));
    }
    Json object = configuration();
    object["spec"]["routes"]["rows"][0][6] = "yes";
    CHECK(std::holds_alternative<MalformedObject>(Platform::parseRouteSet(object)));
}

TEST_CASE("configuration: a key that an account lists twice is kept once")
{
    Json object = configuration();
    object["spec"]["tenants"]["rows"][1][1] = {"twice", "twice"};
    const StateValue value = Platform::parseRouteSet(object);
    REQUIRE(std::holds_alternative<RouteSet>(value));
    CHECK(std::get<RouteSet>(value).accounts[1].keyDigests.size() == 1);
}
