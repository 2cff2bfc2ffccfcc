#include <filbertmount/routing/slotdispatcher.h>
#include <filbertmount/routing/warmuplimiter.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(100s)};
constexpr Incarnation First{1};
constexpr Incarnation Second{2};

WarmupOptions options(double rate = 5)
{
    return {.duration = 10s, .rate = rate};
}

/** A warm upstream with the index 0 that runs in its first incarnation. */
WarmupLimiter knownUpstream()
{
    WarmupLimiter limiter(options());
    limiter.setRole(true, 1, Start);
    limiter.recordEntry(0, First, 0s, Start);
    return limiter;
}

using Evidence = std::function<void(WarmupLimiter &)>;

Evidence entry(Incarnation incarnation, Duration left)
{
    return [=](WarmupLimiter &limiter) {
        limiter.recordEntry(0, incarnation, left, Start);
    };
}

Evidence attempt(AttemptOutcome outcome, std::optional<Duration> warmup = {})
{
    return [=](WarmupLimiter &limiter) {
        limiter.recordAttempt(0, {.outcome = outcome, .signals = {.warmup = warmup}}, Start);
    };
}

Evidence healthResponse(std::optional<Duration> warmup = {})
{
    return [=](WarmupLimiter &limiter) {
        limiter.recordSignals(0, {.warmup = warmup, .isHealthReport = true}, Start);
    };
}

} // namespace

TEST_CASE("warm-up limiter: each kind of evidence makes an upstream cold or warm at once, for the right time")
{
    using Outcome = AttemptOutcome;
    struct Case {
        const char *name;
        std::vector<Evidence> evidence;
        Duration left;
        bool isUnexpected;
    };
    const std::vector<Case> rows{
        {"entry without a time", {entry(First, 0s)}, 0s, false},
        {"entry with a time", {entry(First, 4s)}, 4s, false},
        {"new process with a time", {entry(Second, 4s)}, 4s, false},
        {"new process without a time", {entry(Second, 0s)}, 10s, true},
        {"older entry", {entry(Incarnation(0), 0s)}, 0s, false},
        {"refused connection", {attempt(Outcome::ConnectFailed)}, 10s, true},
        {"broken connection", {attempt(Outcome::Broken)}, 10s, true},
        {"time-out", {attempt(Outcome::TimedOut)}, 0s, false},
        {"response with a time", {attempt(Outcome::Success, 3s)}, 3s, true},
        {"health response with a time", {healthResponse(3s)}, 3s, true},
        {"unlimited time", {entry(First, 24h)}, 10min, false},
        {"broken connection, then a new process", {attempt(Outcome::Broken), entry(Second, 4s)}, 4s, true},
        {"suspected restart that did not take place", {attempt(Outcome::Broken), healthResponse()}, 0s, true},
        {"health response without a time after an entry", {entry(First, 4s), healthResponse()}, 4s, false},
        {"early end", {entry(First, 4s), healthResponse(0s)}, 0s, true},
        {"late response with a shorter time", {entry(First, 4s), attempt(Outcome::Success, 1s)}, 4s, false},
    };
    for (const Case &row : rows) {
        CAPTURE(row.name);
        WarmupLimiter limiter = knownUpstream();
        for (const Evidence &evidence : row.evidence) {
            evidence(limiter);
        }
        CHECK(limiter.timeLeft(0, Start) == row.left);
        CHECK(limiter.isCold(0) == (row.left > 0s));
        const std::vector<WarmupChange> changes = limiter.takeChanges();
        CHECK(std::any_of(changes.begin(),
                          changes.end(),
                          [](const WarmupChange &change) {
                              return change.isUnexpected();
                          })
              == row.isUnexpected);
        limiter.update(Start + row.left);
        CHECK_FALSE(limiter.isCold(0));
    }
}

TEST_CASE("warm-up limiter: applying the same list again does not extend a cold time, a renewed entry does")
{
    WarmupLimiter limiter = knownUpstream();
    limiter.recordEntry(0, Second, 4s, Start);
    limiter.recordEntry(0, Second, 4s, Start + 3s);
    CHECK(limiter.timeLeft(0, Start + 3s) == 1s);
    limiter.recordEntry(0, Second, 3s, Start + 3s);
    CHECK(limiter.timeLeft(0, Start + 3s) == 3s);
}

TEST_CASE("warm-up limiter: without a warm-up rate no upstream is cold")
{
    WarmupLimiter limiter(options(0));
    limiter.recordEntry(0, First, 4s, Start);
    attempt(AttemptOutcome::ConnectFailed)(limiter);
    limiter.update(Start + 5ms);
    CHECK_FALSE(limiter.isCold(0));
    CHECK(limiter.takeChanges().empty());
    limiter.setOptions(options());
    CHECK(limiter.isCold(0));
}

TEST_CASE("warm-up limiter: the rate of grants depends on the role, the handover and the reachable instances")
{
    struct Case {
        const char *name;
        bool isDispatcher;
        std::size_t live;
        Duration sinceAssigned;
        double rate;
        double rateAfterSuspension;
    };
    // The bound leaves (1.5 - 1) * 100 + 8 / 2 = 54 requests per second for a predecessor's successor.
    for (const Case &row : {Case{"not the dispatcher", false, 10, 5s, 0, 0},
                            Case{"a predecessor may still grant", true, 10, 1s, 54, 54},
                            Case{"settled", true, 10, 5s, 100, 54},
                            Case{"half of the instances in a partition", true, 5, 5s, 50, 27},
                            Case{"more instances than known", true, 12, 5s, 100, 54}}) {
        CAPTURE(row.name);
        WarmupLimiter limiter({.duration = 10s, .rate = 100, .instances = 10});
        limiter.setRole(row.isDispatcher, row.live, Start);
        for (Instant now = Start; now <= Start + row.sinceAssigned; now += 100ms) {
            limiter.update(now);
        }
        CHECK(limiter.grantRate() == doctest::Approx(row.rate));
        // A suspended process may have lost its role meanwhile.
        limiter.update(Start + row.sinceAssigned + 2s);
        CHECK(limiter.grantRate() == doctest::Approx(row.rateAfterSuspension));
    }
}

namespace {

/** A dispatcher of cold upstreams that nobody has measured yet. */
struct ColdDispatcher {
    explicit ColdDispatcher(int count, double rate = 5)
        : table({.warmup = options(rate)})
        , dispatcher(table, {.queue = 100})
    {
        std::vector<RoutedUpstream> list;
        list.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            list.push_back({.id = UpstreamId("u" + std::to_string(index)), .slots = 16, .warmupLeft = 8s});
        }
        table.setRole(true, 1, Start);
        table.update(list, Start);
        dispatcher.start({}, Start);
    }

    void request(std::uint64_t number, Duration timeLeft, Priority priority = Priority::Interactive)
    {
        dispatcher.handle(
            1, SlotRequest{.request = number, .rank = static_cast<std::uint8_t>(priority), .timeLeft = timeLeft}, now, outbox);
    }

    void run(Duration duration)
    {
        for (const Instant end = now + duration; now < end;) {
            now += 5ms;
            table.tick(now);
            dispatcher.tick(now, outbox);
        }
    }

    template<class T>
    std::vector<T> take()
    {
        std::vector<T> found;
        for (const AddressedSlotMessage &addressed : outbox) {
            if (const T *message = std::get_if<T>(&addressed.message)) {
                found.push_back(*message);
            }
        }
        outbox.clear();
        return found;
    }

    UpstreamTable table;
    SlotDispatcher dispatcher;
    SlotOutbox outbox;
    Instant now = Start;
};

} // namespace

TEST_CASE("slot dispatcher: while all upstreams are cold, requests that cannot be granted in time are refused at once")
{
    ColdDispatcher fixture(2);
    // Ten grants per second for two upstreams: the tenth request waits for a second.
    for (std::uint64_t number = 1; number <= 20; ++number) {
        fixture.request(number, 1050ms);
    }
    CHECK(fixture.dispatcher.queued() == 10);
    const auto refusals = fixture.take<SlotRefusal>();
    REQUIRE(refusals.size() == 10);
    // Guards against a wait derived from the 32 free slots, which would be zero.
    CHECK(refusals.back().retryAfter > 1s);
    CHECK(refusals.back().retryAfter < 1200ms);

    fixture.run(1200ms);
    CHECK(fixture.take<SlotGrant>().size() >= 9);
    CHECK(fixture.dispatcher.queued() == 0);
}

TEST_CASE("slot dispatcher: cold upstreams are rationed by rank, and a request that was overtaken is refused before its deadline")
{
    ColdDispatcher fixture(1);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        fixture.request(number, 1s, Priority::Patient);
    }
    for (std::uint64_t number = 11; number <= 14; ++number) {
        fixture.request(number, 1s, Priority::Interactive);
    }
    fixture.run(50ms);
    const auto refusals = fixture.take<SlotRefusal>();
    REQUIRE(refusals.size() >= 3);
    CHECK(std::all_of(refusals.begin(), refusals.end(), [](const SlotRefusal &refusal) {
        return refusal.request <= 4;
    }));
    fixture.run(900ms);
    const auto grants = fixture.take<SlotGrant>();
    REQUIRE(grants.size() >= 4);
    CHECK(grants[0].request == 11);
    CHECK(grants[3].request == 14);
}

TEST_CASE("upstream table: an upstream that was slow while it was cold is no straggler afterwards")
{
    for (const Duration coldServiceTime : {40ms, 70ms}) {
        CAPTURE(coldServiceTime.count());
        UpstreamTable table({.warmup = options()});
        const std::vector<RoutedUpstream> list{{.id = UpstreamId("cold"), .warmupLeft = 1s}, {.id = UpstreamId("warm")}};
        table.update(list, Start);
        for (int sample = 0; sample < 20; ++sample) {
            table.record(0, {.outcome = AttemptOutcome::Success, .serviceTime = coldServiceTime}, Start + 900ms);
            table.record(1, {.outcome = AttemptOutcome::Success, .serviceTime = 20ms}, Start + 900ms);
        }
        CHECK(table.slowness(0) > table.slowness(1));
        table.tick(Start + 1s);
        CHECK(table.slowness(0) < 2 * table.slowness(1));
        CHECK(table.slowness(0) < UpstreamTable::StragglerSlowness);
    }
}
