// Guards the lifetime of requests that wait for a token, and the return of tokens of requests that were not executed.
#include <doctest/doctest.h>

#include "edge/quotaadmission.h"

#include "support/callfixture.h"

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;

namespace {

class FakeGate : public QuotaGate
{
public:
    std::uint64_t acquire(const QuotaAsk &ask, QuotaHandler handler) override
    {
        accounts.emplace_back(ask.account);
        if (decision.outcome != QuotaOutcome::Waiting) {
            handler(decision);
            return 0;
        }
        waiting = std::move(handler);
        return 7;
    }
    void cancel(std::uint64_t waiter) override
    {
        cancelled.push_back(waiter);
    }
    void release(std::string_view account, const QuotaToken &token) override
    {
        released.emplace_back(std::string(account), token.request);
    }

    QuotaDecision decision;
    QuotaHandler waiting;
    std::vector<std::string> accounts;
    std::vector<std::uint64_t> cancelled;
    std::vector<std::pair<std::string, std::uint64_t>> released;
};

struct AdmissionFixture : CallFixture {
    using CallFixture::CallFixture;

    std::shared_ptr<ActiveRequest> admit()
    {
        environment.quotas = &gate;
        const ForwardRoute route{
            .name = "r", .host = "h", .pathPrefix = "/", .timeout = std::chrono::seconds(1), .targets = {{.service = Shop}}};
        auto routes = std::make_shared<const RouteIndex>(RouteSet{.version = RouteSetVersion(7), .routes = {route}});
        const Instant now = ProcessClock::now();
        RoutedRequest request{.request = {.method = "POST",
                                          .target = "/1",
                                          .headers = {{"Host", "h"}, {"Attempt", "id-1"}, {"Time-Left", "9000"}},
                                          .arrival = now},
                              .routes = routes,
                              .route = &routes->routes().routes[0],
                              .service = Shop,
                              .requestId = "id-1",
                              .deadline = now + std::chrono::seconds(1),
                              .objective = now + std::chrono::seconds(1)};
        return startWithQuota(
            environment,
            {.name = "kaya", .limit = {.ratePerSecond = 1, .burst = 1}},
            std::move(request),
            [this](ServerResponse given) {
                result = std::move(given);
            },
            [this](const ServerRequest & /*request*/, ResponseHandler &respond, ServerResponse given, const std::string &text) {
                reason = text;
                respond(std::move(given));
            });
    }

    void runToResult()
    {
        REQUIRE(runUntil(loop, [this] {
            return result.has_value();
        }));
    }

    FakeGate gate;
    std::string reason;
};

const QuotaDecision Granted{.outcome = QuotaOutcome::Granted, .token = {.request = 42}};

} // namespace

TEST_CASE("a request over quota gets 429 with Retry-After and reaches no upstream")
{
    AdmissionFixture fixture({{.text = Good}});
    fixture.gate.decision = {.outcome = QuotaOutcome::OverQuota,
                             .retryAfter = std::chrono::milliseconds(250),
                             .held = 0,
                             .answerAge = std::chrono::milliseconds(12)};
    CHECK(fixture.admit() == nullptr);
    REQUIRE(fixture.result.has_value());
    CHECK(fixture.result->status == 429);
    CHECK(*findHeader(fixture.result->headers, "Retry-After") == "0.250");
    CHECK(fixture.reason == "over quota: account kaya, 0 tokens held, owner's answer 12 ms old, limit of version 7");
    CHECK(fixture.received() == 0);
}

TEST_CASE("a waiting request is sent once it has a token, which is kept when the request was executed")
{
    AdmissionFixture fixture({{.text = Good}});
    const auto request = fixture.admit();
    REQUIRE(request != nullptr);
    CHECK(fixture.received() == 0);
    fixture.gate.waiting(Granted);
    fixture.runToResult();
    CHECK(fixture.result->status == 200);
    CHECK(fixture.gate.released.empty());
}

TEST_CASE("the token of a request that was answered as not run is returned once")
{
    AdmissionFixture fixture({{.text = NotRunResponse}});
    fixture.gate.decision = Granted;
    fixture.admit();
    fixture.runToResult();
    CHECK(fixture.result->status == 503);
    REQUIRE(fixture.gate.released.size() == 1);
    CHECK(fixture.gate.released[0] == std::pair<std::string, std::uint64_t>("kaya", 42));
}

TEST_CASE("a request whose caller has left is cancelled and never sent")
{
    AdmissionFixture fixture({{.text = Good}});
    const auto request = fixture.admit();
    request->abandon();
    CHECK(fixture.gate.cancelled == std::vector<std::uint64_t>{7});
    fixture.gate.waiting(Granted);
    fixture.loop.poll();
    CHECK(fixture.received() == 0);
    CHECK_FALSE(fixture.result.has_value());
    // The token that came too late is not lost.
    CHECK(fixture.gate.released.size() == 1);
}

TEST_CASE("a waiting request is refused as not run when the process ends")
{
    AdmissionFixture fixture({{.text = Good}});
    fixture.admit()->endIfWaiting();
    REQUIRE(fixture.result.has_value());
    CHECK(fixture.result->status == 503);
    CHECK(fixture.gate.cancelled.size() == 1);
}
