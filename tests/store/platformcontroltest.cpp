#include "store/curlclient.h"
#include "support/platform.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Filbertmount;

namespace {

HttpResponse call(CurlClient &client, const std::string &method, const std::string &url, const std::string &body = "")
{
    return client.perform({.method = method, .url = "http://" + url, .body = body, .timeout = std::chrono::seconds(20)});
}

} // namespace

// Scripts inject faults through this endpoint and depend on its keys.
TEST_CASE("the platform stand-in is controlled over HTTP")
{
    RunningPlatform platform;
    CurlClient client;
    const std::string address = platform->address();
    const std::string faults = R"({"down":true,"slow_ms":0,"lose_answers":2,"drop_calls":0,"list_lag_ms":50})";
    const HttpResponse set = call(client, "PUT", address + "/faults", faults);
    CHECK(nlohmann::json::parse(set.body) == nlohmann::json::parse(faults));
    CHECK(call(client, "GET", address + "/objects/a").status == 503);
    CHECK(call(client, "PUT", address + "/faults", "{").status == 400);
    CHECK(call(client, "PUT", address + "/faults", "{}").status == 200);
    CHECK(call(client, "GET", address + "/objects/a").status == 404);
    CHECK(call(client, "GET", address + "/watch?after=x").status == 400);
    CHECK(call(client, "PUT", address + "/objects/a", std::string(1'000'001, 'x')).status == 413);
    CHECK(call(client, "PUT", address + "/instances?service=s", R"({"instances":[]})").status == 200);
    CHECK(call(client, "PUT", address + "/instances", "{}").status == 400);
    CHECK(nlohmann::json::parse(call(client, "GET", address + "/counters").body).at("read") == 2);
    CHECK(call(client, "DELETE", address + "/counters").body == "{}");
}
