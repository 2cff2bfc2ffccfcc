#include "edge/callerhandler.h"

#include "support/callfixture.h"

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

/** A handler with the routes /closed/ and /open/, the latter exempt, and one account. */
class AccountsFixture : public CallFixture
{
public:
    explicit AccountsFixture(bool hasAccounts = true)
        : CallFixture({{Good}})
        , handler(environment, 1)
    {
        environment.routesConfirmedAt = [this] {
            return confirmedAt;
        };
        apply(1, hasAccounts, {"k1"});
        handler.startForwarding();
    }

    /** Puts a version into force in which the account "acme" has @p keys. */
    void apply(std::uint64_t version, bool hasAccounts, const std::vector<std::string> &keys)
    {
        RouteSet routes{.version = RouteSetVersion(version), .requiresKey = hasAccounts};
        for (const bool isExempt : {true, false}) {
            routes.routes.push_back({.name = isExempt ? "open" : "closed",
                                     .host = "h",
                                     .pathPrefix = isExempt ? "/open/" : "/closed/",
                                     .timeout = 4s,
                                     .targets = {{.service = Shop, .weight = 1}},
                                     .isKeyExempt = isExempt});
        }
        if (hasAccounts) {
            routes.accounts.push_back({.name = AccountName("acme")});
            for (const std::string &key : keys) {
                routes.accounts[0].keyDigests.push_back(sha256(key));
            }
        }
        handler.setRoutes(std::make_shared<const RouteIndex>(routes));
        handler.retryPendingRequests();
    }

    std::shared_ptr<ActiveRequest> send(const std::string &target, Headers headers)
    {
        headers.insert(headers.begin(), {{"Host", "h"}, {"Attempt", "id-1"}});
        return handler.handle(
            {.method = "GET", .target = target, .headers = headers, .body = {}, .client = {}, .arrival = ProcessClock::now()},
            [this](ServerResponse given) {
                result = std::move(given);
                ++responses;
            });
    }

    int respond(const std::string &target, const Headers &headers)
    {
        const int before = responses;
        const auto active = send(target, headers);
        REQUIRE(runUntil(loop, [&] {
            return responses > before;
        }));
        return result->status;
    }

    CallerHandler handler;
    std::optional<Instant> confirmedAt = ProcessClock::now() + 1h;
    int responses = 0;
};

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

} // namespace

// Guards against a caller that passes itself off as another account, and against keys that reach upstreams.
TEST_CASE("caller authentication: upstreams get the account of the key, and never a key or a forged account")
{
    struct Row {
        const char *name;
        std::string target;
        Headers headers;
        std::size_t accounts;
    };
    const Row rows[] = {
        {"plain", "/closed/1", {{"Key", "k1"}}, 1},
        {"forged account", "/closed/1", {{"Key", "k1"}, {"Account", "forged"}}, 1},
        {"forged twice, other spellings", "/closed/1", {{"ACCOUNT", "forged"}, {"aCCount", "forged"}, {"kEY", "k1"}}, 1},
        {"named in Connection", "/closed/1", {{"Key", "k1"}, {"Account", "forged"}, {"Connection", "Account, Key"}}, 1},
        {"all in Connection", "/closed/1", {{"Key", "k1"}, {"connection", "attempt,TIME-LEFT ,Expected, account,close"}}, 1},
        {"two Connection fields", "/closed/1", {{"Connection", "Attempt"}, {"Key", "k1"}, {"Connection", "Expected"}}, 1},
        {"exempt route", "/open/1", {{"Key", "k1"}, {"Account", "forged"}}, 0},
        {"exempt route without a key", "/open/1", {{"Account", "forged"}}, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        AccountsFixture fixture;
        CHECK(fixture.respond(row.target, row.headers) == 200);
        REQUIRE(fixture.received() == 1);
        std::string request = fixture.requests[0];
        CAPTURE(request);
        CHECK(occurrences(request, "\r\nAccount: acme\r\n") == row.accounts);
        CHECK(occurrences(request, "\r\nAttempt: id-1\r\n") == 1);
        CHECK(occurrences(request, "\r\nTime-Left: ") == 1);
        CHECK(occurrences(request, "\r\nExpected: u") == 1);
        CHECK(request.find("k1") == std::string::npos);
        CHECK(request.find("forged") == std::string::npos);
        for (const std::string &line : fixture.capture.lines()) {
            CHECK(line.find("k1") == std::string::npos);
        }
    }
}

TEST_CASE("caller authentication: without accounts, requests are forwarded as before")
{
    AccountsFixture fixture(false);
    CHECK(fixture.respond("/closed/1", {{"Key", "any"}, {"Account", "own"}, {"X", "y"}}) == 200);
    const std::string &request = fixture.requests.at(0);
    CHECK(request.find("GET /closed/1 HTTP/1.1\r\nHost: h\r\nAttempt: id-1\r\nKey: any\r\nAccount: own\r\nX: y\r\nTime-Left: ")
          == 0);
    CHECK(fixture.respond("/unknown/1", {}) == 404);
    CHECK(fixture.metrics.exposition().find("account_requests") == std::string::npos);
}

// An instance that had missed an added route answered 404, which callers do not retry, on sites without accounts.
TEST_CASE("caller authentication: without accounts too, an unknown route gets 404 only by a configuration that is current")
{
    const struct {
        const char *name;
        Duration confirmationAge;
        bool isRouteAdded;
        int status;
    } rows[] = {
        {"current", 0s, false, 404},
        {"outdated", 5s, false, 503},
        {"outdated, and the route is in the next version", 5s, true, 200},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        AccountsFixture fixture(false);
        fixture.confirmedAt = ProcessClock::now() - row.confirmationAge;
        const auto active = fixture.send("/added/1", {});
        if (row.isRouteAdded) {
            RouteSet routes{.version = RouteSetVersion(2)};
            routes.routes.push_back({.name = "added",
                                     .host = "h",
                                     .pathPrefix = "/added/",
                                     .timeout = 4s,
                                     .targets = {{.service = Shop, .weight = 1}}});
            fixture.handler.setRoutes(std::make_shared<const RouteIndex>(routes));
            fixture.handler.retryPendingRequests();
        }
        REQUIRE(runUntil(fixture.loop, [&fixture] {
            return fixture.responses > 0;
        }));
        CHECK(fixture.result->status == row.status);
        CHECK((findHeader(fixture.result->headers, "Retry-After") != nullptr) == (row.status == 503));
    }
}

TEST_CASE("caller authentication: responses to requests without a valid key")
{
    struct Row {
        const char *name;
        std::string target;
        Headers headers;
        bool isConfirmed;
        int status;
    };
    const Row rows[] = {
        {"unknown key", "/closed/1", {{"Key", "k9"}}, true, 401},
        {"no key", "/closed/1", {}, true, 401},
        {"repeated key", "/closed/1", {{"Key", "k1"}, {"Key", "k1"}}, true, 401},
        {"unknown key, outdated configuration", "/closed/1", {{"Key", "k9"}}, false, 503},
        {"unknown route", "/unknown/1", {{"Key", "k1"}}, true, 404},
        {"unknown route, outdated configuration", "/unknown/1", {{"Key", "k1"}}, false, 503},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        AccountsFixture fixture;
        if (!row.isConfirmed) {
            fixture.confirmedAt = ProcessClock::now() - 5s;
        }
        const Instant start = ProcessClock::now();
        CHECK(fixture.respond(row.target, row.headers) == row.status);
        CHECK(ProcessClock::now() - start < 1s);
        CHECK(fixture.received() == 0);
        CHECK((findHeader(fixture.result->headers, "Retry-After") != nullptr) == (row.status == 503));
        CHECK((findHeader(fixture.result->headers, "WWW-Authenticate") != nullptr) == (row.status == 401));
        for (const std::string &line : fixture.capture.lines()) {
            CHECK(line.find("k9") == std::string::npos);
        }
    }
}

// A caller uses a new key as soon as the store has acknowledged it, before this instance has received the version.
TEST_CASE("caller authentication: a request with an unknown key waits for the version that contains the key")
{
    AccountsFixture fixture;
    const auto active = fixture.send("/closed/1", {{"Key", "k2"}});
    runUntil(fixture.loop, [end = ProcessClock::now() + 50ms] {
        return ProcessClock::now() >= end;
    });
    fixture.apply(2, true, {"k1"});
    CHECK(fixture.responses == 0);
    fixture.apply(3, true, {"k2"});
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.responses == 1;
    }));
    CHECK(fixture.result->status == 200);
    // A removed key is refused from then on.
    CHECK(fixture.respond("/closed/1", {{"Key", "k1"}}) == 401);
    CHECK(fixture.received() == 1);
}

TEST_CASE("caller authentication: a waiting request that is abandoned or ended by a shutdown is not forwarded")
{
    AccountsFixture fixture;
    const auto left = fixture.send("/closed/1", {{"Key", "k2"}});
    left->abandon();
    const auto waiting = fixture.send("/closed/1", {{"Key", "k2"}});
    waiting->endIfWaiting();
    CHECK(fixture.responses == 1);
    fixture.apply(2, true, {"k2"});
    CHECK(fixture.received() == 0);
    CHECK(fixture.responses == 1);
}

// Guards against a flood of wrong keys that takes the memory of a small machine, and against its effect on other keys.
TEST_CASE("caller authentication: few requests with an unknown key wait, and others are answered at once")
{
    AccountsFixture fixture;
    constexpr int flood = 1000;
    for (int number = 0; number < flood; ++number) {
        fixture.send("/closed/1", {{"Key", "wrong"}});
    }
    CHECK(fixture.responses == flood - 16);
    CHECK(fixture.result->status == 503);
    const auto other = fixture.send("/closed/1", {{"Key", "k2"}});
    CHECK(fixture.responses == flood - 16);
    fixture.apply(2, true, {"k2"});
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.received() == 1;
    }));
    // Once the key was refused after a wait, it is refused at once while others wait.
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.responses == flood + 1;
    }));
    for (int number = 0; number < flood; ++number) {
        fixture.send("/closed/1", {{"Key", "wrong"}});
    }
    CHECK(fixture.result->status == 401);
}

TEST_CASE("caller authentication: many different unknown keys take a bounded number of places")
{
    AccountsFixture fixture;
    constexpr int flood = 1000;
    for (int number = 0; number < flood; ++number) {
        fixture.send("/closed/1", {{"Key", "wrong-" + std::to_string(number)}});
    }
    CHECK(fixture.responses == flood - 128);
    CHECK(fixture.respond("/closed/1", {{"Key", "k1"}}) == 200);
}
