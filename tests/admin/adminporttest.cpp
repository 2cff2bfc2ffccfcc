#include "store/curlclient.h"
#include "support/platform.h"
#include "support/testadminport.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <thread>

using namespace Filbertmount;

namespace {

const std::string Document = "service = \"shopfront\"\nteam = \"riga-shop\"\n[upstreams]\nlist = \"shopfront\"\n";

/** HTTP client of one administration port, with the token of one team. */
class ApiClient
{
public:
    explicit ApiClient(std::string address, std::string token = TestAdminPort::ShopToken)
        : m_address(std::move(address))
        , m_token(std::move(token))
    {
    }

    HttpResponse
    call(const std::string &method, const std::string &path, const std::string &body = "", const std::string &condition = "")
    {
        std::vector<std::string> headers{"Authorization: Bearer " + m_token};
        if (!condition.empty()) {
            headers.push_back(condition);
        }
        return m_client.perform({.method = method,
                                 .url = "http://" + m_address + path,
                                 .headers = headers,
                                 .body = body,
                                 .timeout = std::chrono::seconds(20)});
    }

    nlohmann::json json(const std::string &path)
    {
        return nlohmann::json::parse(call("GET", path).body);
    }

private:
    CurlClient m_client;
    std::string m_address;
    std::string m_token;
};

const std::string ShopPath = "/v1/services/shopfront";
const std::string Create = "If-None-Match: *";

} // namespace

TEST_CASE("a document is created, read, changed and deleted through the administration API")
{
    RunningPlatform platform;
    TestAdminPort entry(platform->address());
    ApiClient client(entry.address());
    CHECK(client.call("GET", ShopPath).status == 404);
    const HttpResponse created = client.call("PUT", ShopPath, Document, Create);
    REQUIRE(created.status == 200);
    CHECK(created.etag == "\"1\"");
    CHECK(entry.accepted == 1);
    const HttpResponse read = client.call("GET", ShopPath);
    CHECK(read.etag == "\"1\"");
    CHECK(read.source == "store");
    CHECK(nlohmann::json::parse(read.body).at("document") == Document);
    CHECK(client.call("PUT", ShopPath, Document + "slots = 3\n", "If-Match: \"1\"").etag == "\"2\"");
    const nlohmann::json changes = client.json(ShopPath + "/history").at("changes");
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].at("revision") == 1);
    CHECK(changes[1].at("document") == Document + "slots = 3\n");
    CHECK(client.call("DELETE", ShopPath, "", "If-Match: \"2\"").status == 200);
    CHECK(client.call("GET", ShopPath).status == 404);
}

struct RefusedRequest {
    const char *name;
    const char *method;
    std::string path;
    std::string body;
    std::string condition;
    int status;
    const char *detail;
};

// Guards against refused requests that change a document all the same, and against refusals without a reason.
TEST_CASE("requests that are refused have no effect")
{
    RunningPlatform platform;
    TestAdminPort entry(platform->address());
    ApiClient client(entry.address());
    REQUIRE(client.call("PUT", ShopPath, Document, Create).status == 200);
    const std::string foreign = "service = \"shopfront\"\nteam = \"kaya\"\n[upstreams]\nlist = \"shopfront\"\n";
    const std::vector<RefusedRequest> cases{
        {"no condition", "PUT", ShopPath, Document, "", 428, "If-Match"},
        {"If-Match: *", "PUT", ShopPath, Document, "If-Match: *", 428, "If-Match"},
        {"unquoted revision", "PUT", ShopPath, Document, "If-Match: 1", 428, "If-Match"},
        {"stale revision", "PUT", ShopPath, Document, "If-Match: \"7\"", 412, "another revision"},
        {"already there", "PUT", ShopPath, Document, Create, 412, "another revision"},
        {"broken document",
         "PUT",
         ShopPath,
         Document + "slots = 0\n",
         "If-Match: \"1\"",
         422,
         "shopfront.toml:5: upstreams.slots"},
        {"other name", "PUT", "/v1/services/other", Document, Create, 403, "the document names service"},
        {"other team in the text", "PUT", ShopPath, foreign, "If-Match: \"1\"", 403, "the document names team"},
        {"too large", "PUT", ShopPath, std::string(40'000, '#'), "If-Match: \"1\"", 413, "too large"},
        {"delete of nothing", "DELETE", "/v1/services/other", "", "If-Match: \"1\"", 404, "no such document"},
        {"create by DELETE", "DELETE", ShopPath, "", Create, 428, "If-Match"},
        {"method", "POST", ShopPath, "", "", 405, "GET, PUT, DELETE"},
        {"change of the history", "PUT", ShopPath + "/history", "", "", 405, "GET"},
        {"unknown part", "GET", ShopPath + "/x", "", "", 404, "unknown path"},
        {"bad name", "GET", "/v1/services/..%2f..", "", "", 404, "unknown path"},
        {"unknown path", "GET", "/v2", "", "", 404, "unknown path"},
        {"status of an unknown service", "GET", "/v1/services/other/status", "", "", 404, "in force at this instance"},
        {"bad sequence", "GET", "/v1/timeline?after=x", "", "", 422, "a sequence number"},
    };
    for (const RefusedRequest &refused : cases) {
        CAPTURE(refused.name);
        const HttpResponse response = client.call(refused.method, refused.path, refused.body, refused.condition);
        CHECK(response.status == refused.status);
        CHECK(response.body.find(refused.detail) != std::string::npos);
    }
    CHECK(client.call("GET", ShopPath).etag == "\"1\"");
}

TEST_CASE("only the team of a document can change it, and only with its token")
{
    RunningPlatform platform;
    TestAdminPort entry(platform->address());
    ApiClient shop(entry.address());
    REQUIRE(shop.call("PUT", ShopPath, Document, Create).status == 200);
    ApiClient kaya(entry.address(), TestAdminPort::KayaToken);
    CHECK(kaya.call("GET", ShopPath).status == 200);
    CHECK(kaya.call("PUT", ShopPath, Document, "If-Match: \"1\"").status == 403);
    CHECK(kaya.call("DELETE", ShopPath, "", "If-Match: \"1\"").status == 403);
    for (const char *token : {"", "wrong", "shop-toke", "shop-tokenn"}) {
        CAPTURE(token);
        const HttpResponse response = ApiClient(entry.address(), token).call("GET", ShopPath);
        CHECK(response.status == 401);
        CHECK(response.body.find("shop-tok") == std::string::npos);
    }
    // After a reload the replaced token is no longer accepted.
    entry.port().setTeams({{TeamName("riga-shop"), {TestAdminPort::hashOf("new")}}});
    CHECK(shop.call("GET", ShopPath).status == 401);
    CHECK(ApiClient(entry.address(), "new").call("GET", ShopPath).status == 200);
}

// Guards against lost updates: the history must contain every accepted edit exactly once.
TEST_CASE("edits that race through two instances are serialised by the store")
{
    RunningPlatform platform;
    TestAdminPort first(platform->address());
    TestAdminPort second(platform->address());
    REQUIRE(ApiClient(first.address()).call("PUT", ShopPath, Document, Create).status == 200);
    std::array<int, 2> accepted{};
    const auto edit = [&](TestAdminPort &entry, int &count) {
        ApiClient client(entry.address());
        for (int round = 0; round < 8; ++round) {
            const std::string revision = client.call("GET", ShopPath).etag;
            const int status = client.call("PUT", ShopPath, Document, "If-Match: " + revision).status;
            count += status == 200 ? 1 : 0;
            if (status != 200 && status != 412) {
                count = -1000;
            }
        }
    };
    std::thread other([&]() {
        edit(second, accepted[1]);
    });
    edit(first, accepted[0]);
    other.join();
    const nlohmann::json changes = ApiClient(first.address()).json(ShopPath + "/history").at("changes");
    CHECK(changes.size() == static_cast<std::size_t>(1 + accepted[0] + accepted[1]));
    CHECK(changes.size() >= 9);
}

TEST_CASE("a lost response from the store is resolved, and a store that is down refuses edits")
{
    RunningPlatform platform;
    TestAdminPort entry(platform->address());
    entry.documents = {{ServiceName("shopfront"), TeamName("riga-shop"), Revision(1), Document}};
    ApiClient client(entry.address());
    platform->faults().set({.loseResponses = 1});
    CHECK(client.call("PUT", ShopPath, Document, Create).etag == "\"1\"");
    CHECK(client.json(ShopPath + "/history").at("changes").size() == 1);

    platform->faults().set({.down = true});
    const HttpResponse refused = client.call("PUT", ShopPath, Document, "If-Match: \"1\"");
    CHECK(refused.status == 503);
    CHECK(refused.body.find("had no effect: store-read: " + platform->address()) != std::string::npos);
    CHECK(client.call("GET", ShopPath).source == "cache");
    CHECK(client.call("GET", ShopPath + "/history").status == 503);

    platform->faults().set({});
    platform->objects().update("documents/other", "not JSON", std::nullopt);
    const HttpResponse damaged = client.call("GET", "/v1/services/other");
    CHECK(damaged.status == 502);
    CHECK(damaged.body.find("read-document: documents/other: not a document value") != std::string::npos);
}

TEST_CASE("an instance without a store serves its documents and rejects edits")
{
    TestAdminPort entry("");
    entry.documents = {{ServiceName("shopfront"), TeamName("riga-shop"), Revision(0), Document}};
    ApiClient client(entry.address());
    CHECK(client.call("GET", ShopPath).status == 200);
    CHECK(client.call("PUT", ShopPath, Document, Create).status == 503);
    CHECK(client.json("/v1/services").at("services").at(0).at("team") == "riga-shop");
}

TEST_CASE("reports of one instance")
{
    TestAdminPort entry("");
    entry.service.service = ServiceName("shopfront");
    entry.service.upstreams = {{.id = "u1", .address = "10.0.0.1:80", .zone = "riga-1", .state = "draining", .slots = 2}};
    entry.service.limits = {{"queue-full", 3}};
    entry.service.measuring = {.budgetPercent = 2, .allowedMs = 10, .spentMs = 5, .probes = 1};
    entry.members = {{InstanceId("entry-1"), "127.0.0.1:1", "riga-1", "riga", "alive"}};
    entry.events = {{.wallTimeUs = 1, .sequence = 1, .instance = "entry-1", .kind = "a", .service = "shopfront", .request = "r1"},
                    {.wallTimeUs = 2, .sequence = 2, .instance = "entry-1", .kind = "b", .service = "other"}};
    ApiClient client(entry.address());
    const nlohmann::json status = client.json(ShopPath + "/status");
    CHECK(status.at("upstreams").at(0).at("state") == "draining");
    CHECK(status.at("limits").at("queue-full") == 3);
    CHECK(status.at("measuring").at("spent_ms") == 5);
    CHECK(status.at("members").at(0).at("admin_address") == "127.0.0.1:1");
    CHECK(client.json("/v1/timeline").at("events").size() == 2);
    CHECK(client.json("/v1/timeline?service=shopfront&request=r1").at("events").size() == 1);
    CHECK(client.call("POST", "/v1/validate", Document).status == 200);
    const HttpResponse invalid = client.call("POST", "/v1/validate?file=a.toml", "service = 1");
    CHECK(invalid.status == 422);
    CHECK(nlohmann::json::parse(invalid.body).at("issues").at(0).at("file") == "a.toml");
}

TEST_CASE("health, readiness and metrics need no token")
{
    TestAdminPort entry("");
    ApiClient client(entry.address(), "");
    CHECK(client.call("GET", "/healthz").status == 200);
    CHECK(client.call("GET", "/readyz").status == 200);
    CHECK(client.call("GET", "/metrics").body == "filbertmount_members 1\n");
    entry.ready = false;
    const HttpResponse draining = client.call("GET", "/readyz");
    CHECK(draining.status == 503);
    CHECK(draining.body.find("draining") != std::string::npos);
}
