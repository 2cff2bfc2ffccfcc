#include "edge/evacuationeffects.h"

#include <filbertmount/edge/evacuationstart.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(100s)};

} // namespace

// An instance that forwards before it knows the evacuations sends its first requests to upstreams of an evacuated zone.
TEST_CASE("evacuation start: an instance waits for the evacuations, but not for ever, and not at all if they are disabled")
{
    const struct {
        const char *name;
        bool isEnabled;
        bool isKnown;
        Duration sinceTargets;
        bool mayForward;
    } rows[] = {
        {"disabled", false, false, 0s, true},
        {"known", true, true, 0s, true},
        {"not known yet", true, false, EvacuationStart::MaxWait - 1ms, false},
        {"outage of the store at the start", true, false, EvacuationStart::MaxWait, true},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        EvacuationStart start(row.isEnabled);
        start.recordTargets(Start);
        start.recordTargets(Start + 1s);
        CHECK(start.mayForward(row.isKnown, Start + row.sinceTargets) == row.mayForward);
    }
    // The wait does not begin before the rest of the state is known: a store that comes back then tells both within a second.
    CHECK_FALSE(EvacuationStart(true).mayForward(false, Start + 1h));
}

// A zone may have been evacuated while the instance was suspended.
TEST_CASE("evacuation start: after a suspension, an instance waits for the evacuations again")
{
    EvacuationStart start(true);
    start.restart(Start);
    CHECK_FALSE(start.mayForward(false, Start + 1h));
    start.recordTargets(Start);
    start.restart(Start + 1h);
    CHECK_FALSE(start.mayForward(false, Start + 1h));
    CHECK(start.mayForward(true, Start + 1h));
    CHECK(start.mayForward(false, Start + 1h + EvacuationStart::MaxWait));
}

// 135 instances that start together must not list the evacuations three times each.
TEST_CASE("first listings: none when the state arrives from another instance, few during an outage")
{
    const auto listings = [](Duration knownAfter) {
        FirstListings first;
        first.start(Start);
        int count = 0;
        for (Duration elapsed = 0s; elapsed < 1min; elapsed += 40ms) {
            count += first.isDue(elapsed >= knownAfter, Start + elapsed) ? 1 : 0;
        }
        return count;
    };
    CHECK(listings(500ms) == 0);
    CHECK(listings(1s) == 1);
    CHECK(listings(1min) == FirstListings::MaxListings);
}

TEST_CASE("evacuation effects: upstreams of evacuated zones are marked, and the metric shows each zone, also an unknown one")
{
    Metrics metrics;
    EvacuationEffects effects(metrics);
    EvacuationTable evacuations;
    const auto update = [&] {
        effects.startUpdate(evacuations);
        effects.add(UpstreamId("u1"), AvailabilityZone("a"));
        effects.add(UpstreamId("u2"), AvailabilityZone("b"));
        effects.finishUpdate(Start);
    };
    const auto metric = [&](const std::string &zone) {
        return metrics.gauge(MetricNames::ZoneEvacuated, {{"zone", zone}}).Value();
    };
    evacuations.start("a", Revision(1));
    evacuations.start("no-such-zone", Revision(2));
    update();
    CHECK(effects.upstreams() == std::vector<UpstreamId>{UpstreamId("u1")});
    CHECK(metric("a") == 1);
    CHECK(metric("b") == 0);
    CHECK(metric("no-such-zone") == 1);
    evacuations.end("a", Revision(3));
    update();
    CHECK(effects.upstreams().empty());
    CHECK(metric("a") == 0);
}
