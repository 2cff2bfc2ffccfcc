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

// A tenant with 257 keys, a key of 300 characters or a name outside of ASCII kept the whole version out of force for good, so
// that removed keys went on working.
TEST_CASE("configuration: what is odd in an account spoils that alone, and the reason contains no key")
{
    constexpr std::size_t name = 0;
    constexpr std::size_t keys = 1;
    constexpr std::size_t priority = 2;
    constexpr std::size_t rate = 3;
    constexpr std::size_t burst = 4;
    constexpr std::size_t regions = 5;
    const ClientAccount small{.name = AccountName("small")};
    const auto withKeys = [](std::vector<Sha256Digest> digests) {
        return ClientAccount{.name = AccountName("small"), .keyDigests = std::move(digests)};
    };
    const auto named = [](const std::string &text) {
        return ClientAccount{.name = AccountName(text)};
    };
    Json manyKeys = Json::array();
    std::vector<Sha256Digest> manyDigests;
    for (int number = 0; number < 5000; ++number) {
        manyKeys.push_back("k" + std::to_string(number));
        manyDigests.push_back(sha256("k" + std::to_string(number)));
    }
    struct Row {
        std::size_t column;
        Json value;
        /** The second account; nothing if it is left out. */
        std::optional<ClientAccount> account;
        /** Start of the reported reason; empty if the value is usable as it is. */
        std::string reason;
    };
    const Row rows[] = {
        {name, nullptr, std::nullopt, "name"},
        {name, "", std::nullopt, "name"},
        {name, 7, std::nullopt, "name"},
        {name, "a\r\nb", std::nullopt, "name"},
        {name, " a", std::nullopt, "name"},
        {name, "caf\xc3\xa9 du nord", named("caf\xc3\xa9 du nord"), ""},
        {name, std::string(300, 'n'), named(std::string(300, 'n')), ""},
        {keys, nullptr, small, "api_keys"},
        {keys, "secret-text", small, "api_keys"},
        {keys, Json::array({"", "fine"}), withKeys({sha256("fine")}), "api_keys"},
        {keys, Json::array({"fine", 7}), withKeys({sha256("fine")}), "api_keys"},
        {keys, Json::array({"secret " + std::string(300, 'k')}), withKeys({sha256("secret " + std::string(300, 'k'))}), ""},
        {keys, Json::array({"secret-\xc3\xa9"}), withKeys({sha256("secret-\xc3\xa9")}), ""},
        {keys, Json::array({SecretKey, "own"}), withKeys({sha256("own")}), "api_keys"},
        {keys, manyKeys, withKeys(manyDigests), ""},
        {priority, -1, ClientAccount{.name = AccountName("small"), .rank = 0}, ""},
        {priority, 1.0, ClientAccount{.name = AccountName("small"), .rank = 1}, ""},
        {priority, "0", small, "priority"},
        {rate, 2.25, ClientAccount{.name = AccountName("small"), .rate = 2.25}, ""},
        {rate, 1e7, ClientAccount{.name = AccountName("small"), .rate = 1e6}, ""},
        {rate, "5", small, "rate_per_s"},
        {burst, 1e300, ClientAccount{.name = AccountName("small"), .burst = 1e6}, ""},
        {regions, "north", ClientAccount{.name = AccountName("small"), .allowedRegions = {Region()}}, "allowed_regions"},
        {regions,
         Json::array({3, "n"}),
         ClientAccount{.name = AccountName("small"), .allowedRegions = {Region(), Region("n")}},
         "allowed_regions"},
    };
    const auto expected = std::get<RouteSet>(Platform::parseRouteSet(configuration()));
    for (const Row &row : rows) {
        CAPTURE(row.column);
        CAPTURE(row.reason);
        Json object = configuration();
        object["spec"]["tenants"]["rows"][1][row.column] = row.value;
        const StateValue value = Platform::parseRouteSet(object);
        REQUIRE(std::holds_alternative<RouteSet>(value));
        const auto &routes = std::get<RouteSet>(value);
        CHECK(routes.routes == expected.routes);
        REQUIRE(routes.accounts.size() == (row.account ? 2 : 1));
        CHECK(routes.accounts[0] == expected.accounts[0]);
        CHECK((!row.account || routes.accounts[1] == *row.account));
        REQUIRE(routes.defects.size() == (row.reason.empty() ? 0 : 1));
        if (!row.reason.empty()) {
            CAPTURE(routes.defects[0]);
            CHECK(routes.defects[0].find("tenants, row 2: " + row.reason) == 0);
            CHECK(routes.defects[0].find("secret") == std::string::npos);
        }
    }
}

// Without a readable table no key is known to be valid: none is admitted, also not those of the version before.
TEST_CASE("configuration: a table of accounts that cannot be read admits no key and leaves the routes valid")
{
    for (const Json &broken : {Json("text"), Json(true), Json::object(), Json::array()}) {
        Json object = configuration();
        object["spec"]["tenants"] = broken;
        const StateValue value = Platform::parseRouteSet(object);
        REQUIRE(std::holds_alternative<RouteSet>(value));
        const auto &routes = std::get<RouteSet>(value);
        CHECK(routes.requiresKey);
        CHECK(routes.accounts.empty());
        CHECK(routes.routes.size() == 3);
        CHECK(routes.defects.size() == 1);
    }
}

TEST_CASE("configuration: two rows of one account share their keys")
{
    Json object = configuration();
    object["spec"]["tenants"]["rows"][1] = {"acme", {"third"}, 5, 7, 7, nullptr};
    const auto routes = std::get<RouteSet>(Platform::parseRouteSet(object));
    REQUIRE(routes.accounts.size() == 1);
    CHECK(routes.accounts[0].keyDigests == std::vector{sha256(SecretKey), sha256("second"), sha256("third")});
    CHECK(routes.accounts[0].rate == 2.5);
}

TEST_CASE("configuration: a key that an account lists twice is kept once")
{
    Json object = configuration();
    object["spec"]["tenants"]["rows"][1][1] = {"twice", "twice"};
    const StateValue value = Platform::parseRouteSet(object);
    REQUIRE(std::holds_alternative<RouteSet>(value));
    CHECK(std::get<RouteSet>(value).accounts[1].keyDigests.size() == 1);
}
