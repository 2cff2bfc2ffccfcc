#include <filbertmount/accounts/accountmetrics.h>
#include <filbertmount/accounts/authenticator.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

RouteIndex configuration(bool requiresKey)
{
    RouteSet routes{.version = RouteSetVersion(1),
                    .routes = {{.name = "closed", .host = "h", .pathPrefix = "/c/"},
                               {.name = "open", .host = "h", .pathPrefix = "/o/", .isKeyExempt = true}},
                    .requiresKey = requiresKey};
    if (requiresKey) {
        routes.accounts = {{.name = AccountName("one"), .keyDigests = {sha256("k1"), sha256("k2")}},
                           {.name = AccountName("two"), .keyDigests = {sha256("k3"), sha256(std::string(300, 'k'))}}};
    }
    return RouteIndex(routes);
}

} // namespace

TEST_CASE("account index: each key leads to its account, any other to none")
{
    std::vector<ClientAccount> accounts;
    for (int number = 0; number < 500; ++number) {
        ClientAccount account{.name = AccountName(std::to_string(number))};
        for (int key = 0; key < number % 5; ++key) {
            account.keyDigests.push_back(sha256(std::to_string(number) + "/" + std::to_string(key)));
        }
        // Equal first bytes, as by a collision.
        account.keyDigests.push_back({1, 2, 3, 4, 5, 6, 7, 8, static_cast<std::uint8_t>(number % 256), 0, 0, 1});
        account.keyDigests.back()[9] = static_cast<std::uint8_t>(number / 256);
        accounts.push_back(account);
    }
    const AccountIndex index(accounts);
    for (const ClientAccount &account : accounts) {
        for (const Sha256Digest &digest : account.keyDigests) {
            CHECK(index.find(accounts, digest) == &account);
            Sha256Digest other = digest;
            other.back() ^= 1U;
            CHECK(index.find(accounts, other) == nullptr);
        }
    }
    CHECK(AccountIndex().find({}, sha256("any")) == nullptr);
    CHECK(index.find(accounts, Sha256Digest{}) == nullptr);
}

TEST_CASE("account index: the hash of accounts covers each field and not their order")
{
    const ClientAccount account{
        .name = AccountName("a"), .keyDigests = {sha256("k")}, .rank = 1, .rate = 2, .burst = 3, .allowedRegions = {Region("r")}};
    const std::vector<ClientAccount> accounts{account, {.name = AccountName("b")}};
    CHECK(accountsHash(accounts) == accountsHash(std::vector<ClientAccount>{accounts[1], accounts[0]}));
    std::vector<ClientAccount> changed(6, account);
    changed[0].name = AccountName("c");
    changed[1].keyDigests = {sha256("l")};
    changed[2].rank.reset();
    changed[3].rate = 2.5;
    changed[4].burst = 4;
    changed[5].allowedRegions.clear();
    for (const ClientAccount &other : changed) {
        CHECK(accountsHash(std::vector<ClientAccount>{other}) != accountsHash(std::vector<ClientAccount>{account}));
    }
}

TEST_CASE("authenticator: decisions on keys")
{
    using enum AuthenticationOutcome;
    struct Row {
        const char *name;
        bool requiresKey;
        std::string target;
        Headers headers;
        bool hasWaited;
        std::optional<Duration> age;
        AuthenticationOutcome expected;
        const char *account;
    };
    const Row rows[] = {
        {"no accounts", false, "/c/", {}, false, {}, NotRequired, ""},
        {"no accounts, two keys", false, "/c/", {{"Key", "a"}, {"Key", "b"}}, false, {}, NotRequired, ""},
        {"exempt route", true, "/o/", {{"Key", "wrong"}}, false, {}, Exempt, ""},
        {"known key", true, "/c/", {{"Key", "k3"}}, false, {}, Admitted, "two"},
        {"second key, header in another case", true, "/c/", {{"kEY", "k2"}}, false, {}, Admitted, "one"},
        {"known key, stale configuration", true, "/c/", {{"Key", "k1"}}, false, 1h, Admitted, "one"},
        {"unknown key, at first", true, "/c/", {{"Key", "k9"}}, false, 0s, NotYetKnown, ""},
        {"unknown key, after the wait", true, "/c/", {{"Key", "k9"}}, true, 1000ms, Refused, ""},
        {"unknown key, configuration may be outdated", true, "/c/", {{"Key", "k9"}}, true, 1001ms, NotYetKnown, ""},
        {"unknown key, never confirmed", true, "/c/", {{"Key", "k9"}}, true, {}, NotYetKnown, ""},
        {"no key, at first", true, "/c/", {}, false, 0s, NotYetKnown, ""},
        {"no key, after the wait", true, "/c/", {}, true, 0s, Refused, ""},
        {"key in quotes", true, "/c/", {{"Key", "\"k1\""}}, true, 0s, Refused, ""},
        {"key with a scheme", true, "/c/", {{"Key", "Bearer k1"}}, true, 0s, Refused, ""},
        {"key with a space", true, "/c/", {{"Key", "k1 "}}, true, 0s, Refused, ""},
        {"list of keys", true, "/c/", {{"Key", "k1,k1"}}, true, 0s, Refused, ""},
        {"empty key", true, "/c/", {{"Key", ""}}, false, {}, Refused, ""},
        {"known key of 300 characters", true, "/c/", {{"Key", std::string(300, 'k')}}, false, 0s, Admitted, "two"},
        {"unknown key of 301 characters", true, "/c/", {{"Key", std::string(301, 'k')}}, true, 0s, Refused, ""},
        {"the same key twice", true, "/c/", {{"Key", "k1"}, {"key", "k1"}}, false, {}, Refused, ""},
        {"known and unknown key", true, "/c/", {{"Key", "k1"}, {"Key", "x"}}, false, {}, Refused, ""},
    };
    const Authenticator authenticator({.keyHeader = "Key"});
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        const RouteIndex index = configuration(row.requiresKey);
        const Authentication decision = authenticator.authenticate({.configuration = index,
                                                                    .route = *index.find("h", row.target),
                                                                    .headers = row.headers,
                                                                    .confirmationAge = row.age,
                                                                    .hasWaited = row.hasWaited});
        CHECK(decision.outcome == row.expected);
        CHECK((decision.account != nullptr ? decision.account->name.value() : "") == row.account);
    }
}

TEST_CASE("authenticator: the wait is bounded by 300 ms and a quarter of the time left")
{
    const Authenticator authenticator({.keyHeader = "Key"});
    CHECK(authenticator.waitFor(10s) == 300ms);
    CHECK(authenticator.waitFor(400ms) == 100ms);
    CHECK(authenticator.waitFor(-1s) == 0ms);
}

// Guards against a flood of one wrong key whose callers send again after each 503.
TEST_CASE("authenticator: without a wait, a key is refused only if it was refused under the same configuration")
{
    using enum AuthenticationOutcome;
    Authenticator authenticator({.keyHeader = "Key"});
    CHECK(authenticator.decideWithoutWait(7, 0ms) == NotYetKnown);
    authenticator.recordRefusal(7);
    CHECK(authenticator.decideWithoutWait(7, 0ms) == Refused);
    CHECK(authenticator.decideWithoutWait(7, 2s) == NotYetKnown);
    CHECK(authenticator.decideWithoutWait(7 + 64, 0ms) == NotYetKnown);
    authenticator.forgetRefusals();
    CHECK(authenticator.decideWithoutWait(7, 0ms) == NotYetKnown);
}

TEST_CASE("account metrics: the largest accounts have their own series, and the number of series is bounded")
{
    Metrics metrics;
    AccountMetrics accounts(metrics);
    constexpr int requests = 20'000;
    for (int number = 0; number < requests; ++number) {
        accounts.count(AccountName("large"), AccountRequest::Admitted);
        accounts.count(AccountName("small-" + std::to_string(number % 10'000)), AccountRequest::Admitted);
        accounts.count({}, AccountRequest::UnknownKey);
    }
    const auto value = [&metrics](const std::string &account, const std::string &outcome) {
        return metrics.counter(MetricNames::AccountRequests, {{"account", account}, {"outcome", outcome}}).Value();
    };
    CHECK(value("large", "admitted") > 0.9 * requests);
    CHECK(value("large", "admitted") + value("other", "admitted") == 2 * requests);
    CHECK(value("", "unknown-key") == requests);
    const std::string text = metrics.exposition();
    CHECK(text.find("small-") == std::string::npos);
}
