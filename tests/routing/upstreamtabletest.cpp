#include <filbertmount/routing/admissioncontrol.h>
#include <filbertmount/routing/hedgepolicy.h>
#include <filbertmount/routing/retrybudget.h>
#include <filbertmount/routing/upstreamtable.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(1s)};

std::vector<RoutedUpstream> list(int count, Incarnation incarnation = {})
{
    std::vector<RoutedUpstream> upstreams;
    upstreams.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        upstreams.push_back({.id = UpstreamId("u" + std::to_string(index)), .slots = 4, .incarnation = incarnation});
    }
    return upstreams;
}

} // namespace

TEST_CASE("upstream table: ejects upstreams with consecutive failures, but never more than half")
{
    UpstreamTable table;
    table.update(list(4), Start);
    for (UpstreamIndex index = 0; index < 4; ++index) {
        for (int failure = 0; failure < 10; ++failure) {
            table.record(index, {AttemptOutcome::ServerError, 1ms}, Start);
        }
    }
    CHECK(table.usableCount() == 2);
    table.tick(Start + 1s);
    CHECK(table.usableCount() == 4);
}

TEST_CASE("upstream table: one refused connection ejects the upstream for a limited time")
{
    UpstreamTable table;
    table.update(list(3), Start);
    table.record(0, {AttemptOutcome::ConnectFailed}, Start);
    CHECK(table.limit(0) == 0);
    table.tick(Start + 300ms);
    CHECK(table.limit(0) == 4);
}

TEST_CASE("upstream table: draining lasts until the instance list contains a new incarnation, which starts cold")
{
    UpstreamTable table;
    table.update(list(2), Start);
    CHECK(table.limit(0) == 4);
    table.record(0, {AttemptOutcome::RefusedDraining}, Start);
    table.update(list(2), Start + 10s);
    CHECK(table.limit(0) == 0);
    table.update(list(2, Incarnation(1)), Start + 20s);
    CHECK(table.limit(0) == 1);
    table.tick(Start + 23s);
    CHECK(table.limit(0) == 3);
    table.tick(Start + 26s);
    CHECK(table.limit(0) == 4);
}

TEST_CASE("upstream table: upstreams that are all cold keep at least one slot each")
{
    UpstreamTable table;
    table.update(list(4), Start);
    table.update(list(4, Incarnation(1)), Start);
    CHECK(table.totalLimit() == 4);
}

TEST_CASE("upstream table: the limit falls once per burst of shedding refusals and rises with successes")
{
    UpstreamTable table;
    table.update(list(1), Start);
    table.record(0, {AttemptOutcome::Success, 100ms}, Start);
    for (int refusal = 0; refusal < 5; ++refusal) {
        table.record(0, {AttemptOutcome::RefusedShedding}, Start + 1s);
    }
    CHECK(table.limit(0) == 3);
    for (int success = 0; success < 20; ++success) {
        table.record(0, {AttemptOutcome::Success, 100ms}, Start + 2s);
    }
    CHECK(table.limit(0) == 4);
}

TEST_CASE("upstream table: a straggler is detected after a few responses, and its slowness decays without new ones")
{
    UpstreamTable table;
    table.update(list(4), Start);
    for (int sample = 0; sample < 40; ++sample) {
        table.record(static_cast<UpstreamIndex>(sample % 4), {AttemptOutcome::Success, 10ms}, Start);
    }
    for (int sample = 0; sample < 10; ++sample) {
        table.record(0, {AttemptOutcome::Success, 60ms}, Start);
    }
    CHECK(table.slowness(0) > UpstreamTable::StragglerSlowness);
    CHECK(table.nonStragglerLimit() == 12);
    table.tick(Start + 10s);
    CHECK(table.nonStragglerLimit() == 16);
}

TEST_CASE("retry budget: bounds extra attempts to a share of the first attempts")
{
    RetryBudget budget(10);
    int taken = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.recordFirstAttempt(Start);
        taken += budget.take() ? 1 : 0;
    }
    CHECK(taken <= 101);
    CHECK(taken >= 99);
    RetryBudget none(0);
    CHECK_FALSE(none.take());
}

TEST_CASE("hedge policy: the delay is the 95th percentile of recent service times")
{
    HedgePolicy policy;
    CHECK_FALSE(policy.delay().has_value());
    for (int sample = 1; sample <= 1000; ++sample) {
        policy.record(std::chrono::milliseconds(sample));
    }
    CHECK(*policy.delay() >= 950ms);
    CHECK(*policy.delay() <= 1100ms);
}

TEST_CASE("admission control: refuses patient requests first and reserves a share for each team")
{
    AdmissionControl admission({.capacity = 10});
    const TeamName large("large");
    const TeamName small("small");
    CHECK(admission.admit(small, Priority::Interactive));
    int held = 0;
    while (admission.admit(large, Priority::Interactive)) {
        ++held;
    }
    CHECK(held == 5);
    CHECK(admission.admit(small, Priority::Patient));
    CHECK(admission.admit(small, Priority::Patient));
    CHECK_FALSE(admission.admit(small, Priority::Patient));
    CHECK(admission.admit(small, Priority::Interactive));
    for (int request = 0; request < held; ++request) {
        admission.finish(large);
    }
    CHECK(admission.inProgress() == 4);
}

// Load pattern: other processes on the machines of some upstreams slow down all their requests for about 150 ms.
TEST_CASE("upstream table: a reported pace takes effect at once and only for a short time")
{
    UpstreamTable table;
    table.update(std::vector<RoutedUpstream>{{.id = UpstreamId("u0"), .slots = 2}, {.id = UpstreamId("u1"), .slots = 2}}, Start);
    table.recordPace(0, 5, Start);
    CHECK(table.slowness(0) == doctest::Approx(5));
    CHECK(table.slowness(1) == doctest::Approx(1));
    table.recordPace(0, 1, Start + 150ms);
    CHECK(table.slowness(0) == doctest::Approx(1));
    table.recordPace(0, 5, Start + 300ms);
    table.tick(Start + 900ms);
    CHECK(table.slowness(0) < 2);
}

// Load pattern: all upstreams of a service refuse half of the requests although they have free slots.
TEST_CASE("upstream table: refusals of upstreams with free slots raise their slowness for a while and keep their limits")
{
    UpstreamTable table;
    table.update(std::vector<RoutedUpstream>{{.id = UpstreamId("u0"), .slots = 4}, {.id = UpstreamId("u1"), .slots = 4}}, Start);
    Instant now = Start;
    for (int refusal = 0; refusal < 10; ++refusal) {
        now += 20ms;
        table.record(0, {.outcome = AttemptOutcome::RefusedWithRoom}, now);
    }
    CHECK(table.limit(0) == 4);
    CHECK(table.slowness(0) > 3 * table.slowness(1));
    table.tick(now + 10s);
    CHECK(table.slowness(0) < 1.5);
}

// Load pattern: responses are lost while requests are slow. Hedged attempts used up the budget that retries needed.
TEST_CASE("retry budget: hedged attempts leave most of the budget to retries")
{
    RetryBudget budget(100);
    budget.setMaxBurst(4);
    for (int attempt = 0; attempt < 10; ++attempt) {
        budget.recordFirstAttempt(Instant{Duration(1s)});
    }
    CHECK(budget.takeForHedge());
    CHECK(budget.takeForHedge());
    CHECK_FALSE(budget.takeForHedge());
    CHECK(budget.take());
    CHECK(budget.take());
    CHECK_FALSE(budget.take());
}

TEST_CASE("retry budget: tokens per second and burst stay within their bounds")
{
    RetryBudget budget(10);
    budget.setMaxBurst(2);
    budget.setTokensPerSecond(0.5);
    int taken = 0;
    constexpr int seconds = 10;
    for (int request = 0; request < 10 * seconds; ++request) {
        budget.recordFirstAttempt(Start + request * 100ms);
        taken += budget.take() ? 1 : 0;
        taken += budget.take() ? 1 : 0;
    }
    // One token at the start, 10% of 100 requests, and half a token per second.
    CHECK(taken <= 1 + 10 + 5);
    CHECK(taken >= 14);
}

TEST_CASE("upstream table: an upstream that states that it is draining accepts nothing until its next incarnation")
{
    struct Row {
        const char *name;
        /** Incarnation that stated it. */
        std::uint64_t stated;
        /** Whether the list lacks the upstream in between, as after a lapsed entry. */
        bool lapses;
        std::uint64_t listedAfter;
        bool accepts;
    };
    for (const Row &row : {Row{"the same process", 5, false, 5, false},
                           Row{"the same process, listed again after its entry lapsed", 5, true, 5, false},
                           Row{"the next process", 5, false, 6, true},
                           Row{"the next process after a gap", 5, true, 6, true},
                           Row{"a late response of the previous process", 4, false, 5, true}}) {
        CAPTURE(row.name);
        UpstreamTable table;
        const auto list = [&table](std::uint64_t incarnation) {
            const std::vector<RoutedUpstream> upstreams{
                {.id = UpstreamId("u"), .slots = 2, .incarnation = Incarnation(incarnation)}};
            table.update(upstreams, Start);
        };
        list(5);
        table.record(0,
                     {.outcome = AttemptOutcome::Success, .serviceTime = 10ms, .signals = {.draining = Incarnation(row.stated)}},
                     Start);
        if (row.lapses) {
            table.update({}, Start);
        }
        list(row.listedAfter);
        CHECK((table.limit(0) > 0) == row.accepts);
    }
}
