// Guards the rules that keep a token from being spent twice or too late, one message at a time.
#include <doctest/doctest.h>

#include <filbertmount/accounts/quotaclient.h>

using namespace Filbertmount;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const InstanceId Owner("owner");

struct Fixture {
    QuotaClient client{{}, 1};
    Instant now = Instant() + seconds(100);
    PeerOutbox outbox;
    std::vector<QuotaDecision> decisions;

    Fixture()
    {
        client.setOwners(QuotaOwnerList(1, {Owner}), now);
        // A change of owners is no longer recent, so requests wait only briefly.
        now += seconds(3);
    }

    QuotaDecision acquire(Duration deadline = seconds(2))
    {
        const QuotaDecision decision = client.acquire(
            {.account = "a", .limit = {.ratePerSecond = 10, .burst = 5}, .version = 1, .deadline = now + deadline}, now);
        client.flush(now, outbox);
        return decision;
    }
    void tick()
    {
        client.tick(now, outbox, decisions);
    }
    [[nodiscard]] const Wire::QuotaRequest &lastRequest() const
    {
        return outbox.back().envelope.bodies(0).quota_request();
    }
    void reply(std::uint64_t request, std::uint32_t tokens, std::uint64_t retryAfterUs = 0, bool mayWait = false)
    {
        Wire::QuotaReply reply;
        reply.set_request(request);
        Wire::QuotaGrant &grant = *reply.add_grants();
        grant.set_account("a");
        grant.set_tokens(tokens);
        grant.set_retry_after_us(retryAfterUs);
        grant.set_may_wait(mayWait);
        client.onReply(Owner, reply, now, decisions);
    }
};

} // namespace

TEST_CASE("a lease ends 250 ms after its request was sent, however late the reply arrives")
{
    Fixture fixture;
    REQUIRE(fixture.acquire().outcome == QuotaOutcome::Waiting);
    fixture.now += milliseconds(200);
    fixture.reply(fixture.lastRequest().request(), 3);
    REQUIRE(fixture.decisions.size() == 1);
    CHECK(fixture.decisions[0].outcome == QuotaOutcome::Granted);
    fixture.now += milliseconds(49);
    CHECK(fixture.acquire().outcome == QuotaOutcome::Granted);
    fixture.now += milliseconds(1);
    CHECK(fixture.acquire().outcome == QuotaOutcome::Waiting);
}

TEST_CASE("a repeated reply and one to an earlier request add no tokens")
{
    Fixture fixture;
    fixture.acquire();
    const std::uint64_t first = fixture.lastRequest().request();
    fixture.reply(first, 1);
    fixture.reply(first, 1);
    CHECK(fixture.acquire().outcome == QuotaOutcome::Waiting);
    fixture.reply(first, 1);
    CHECK(fixture.decisions.size() == 1);
}

TEST_CASE("an unanswered request is repeated with the same number while its lease could still be used")
{
    Fixture fixture;
    fixture.acquire();
    const std::uint64_t first = fixture.lastRequest().request();
    fixture.now += milliseconds(60);
    fixture.tick();
    REQUIRE(fixture.outbox.size() == 2);
    CHECK(fixture.lastRequest().request() == first);
    fixture.now += milliseconds(190);
    fixture.tick();
    CHECK(fixture.lastRequest().request() > first);
    CHECK(fixture.lastRequest().demands(0).waiting() == 1);
}

TEST_CASE("an exhausted account is refused without a message, and asks again afterwards")
{
    Fixture fixture;
    fixture.acquire();
    fixture.reply(fixture.lastRequest().request(), 0, 200'000);
    REQUIRE(fixture.decisions.size() == 1);
    CHECK(fixture.decisions[0].outcome == QuotaOutcome::OverQuota);
    const std::size_t messages = fixture.outbox.size();
    const QuotaDecision refused = fixture.acquire();
    CHECK(refused.outcome == QuotaOutcome::OverQuota);
    CHECK(refused.retryAfter >= milliseconds(200));
    CHECK(refused.retryAfter <= milliseconds(700));
    CHECK(fixture.outbox.size() == messages);
    fixture.now += milliseconds(200);
    CHECK(fixture.acquire().outcome == QuotaOutcome::Waiting);
    CHECK(fixture.outbox.size() == messages + 1);
}

TEST_CASE("a waiting request leaves when its deadline passes or its caller does")
{
    Fixture fixture;
    fixture.acquire(milliseconds(30));
    const std::uint64_t abandoned = fixture.acquire().waiter;
    fixture.client.cancel(abandoned);
    CHECK(fixture.client.waiting() == 1);
    fixture.now += milliseconds(30);
    fixture.tick();
    REQUIRE(fixture.decisions.size() == 1);
    CHECK(fixture.decisions[0].outcome == QuotaOutcome::Unavailable);
    CHECK(fixture.client.waiting() == 0);
    // The tokens of both are unused and are returned when the lease ends.
    fixture.reply(fixture.lastRequest().request(), 2);
    CHECK(fixture.decisions.size() == 1);
    fixture.now += milliseconds(250);
    fixture.tick();
    fixture.now += milliseconds(30);
    fixture.tick();
    const Wire::QuotaReturn &returned = fixture.outbox.back().envelope.bodies(0).quota_return();
    REQUIRE(returned.returned_size() == 1);
    CHECK(returned.returned(0).tokens() == 2);
}

TEST_CASE("a request waits up to 100 ms for the next token of an account below its rate")
{
    for (const auto &[nextToken, isRefused] : {std::pair(milliseconds(60), false), std::pair(milliseconds(150), true)}) {
        Fixture fixture;
        fixture.acquire();
        const std::uint64_t retryAfterUs = static_cast<std::uint64_t>(nextToken.count()) * 1000;
        fixture.reply(fixture.lastRequest().request(), 0, retryAfterUs, true);
        CHECK(fixture.decisions.empty() != isRefused);
        fixture.now += nextToken;
        fixture.tick();
        CHECK(fixture.outbox.size() == (isRefused ? 1 : 2));
    }
}

TEST_CASE("the token of a request that was not executed is used again or returned")
{
    Fixture fixture;
    fixture.acquire();
    fixture.reply(fixture.lastRequest().request(), 1);
    const QuotaToken token = fixture.decisions.at(0).token;
    fixture.client.release("a", token, fixture.now);
    const QuotaDecision again = fixture.acquire();
    CHECK(again.outcome == QuotaOutcome::Granted);
    fixture.now += milliseconds(300);
    fixture.tick();
    fixture.client.release("a", again.token, fixture.now);
    fixture.tick();
    fixture.now += milliseconds(30);
    fixture.tick();
    CHECK(fixture.outbox.back().envelope.bodies(0).quota_return().returned(0).request() == token.request);
}

TEST_CASE("tokens held before a suspension are not spent after it")
{
    Fixture fixture;
    fixture.acquire();
    fixture.reply(fixture.lastRequest().request(), 5);
    fixture.client.dropTokens();
    CHECK(fixture.acquire().outcome == QuotaOutcome::Waiting);
}
