// Evacuations of zones in the mirror: late, repeated and reordered reports, restarts, and outages of the store.
#include "edge/statewire.h"

#include <filbertmount/edge/statemirror.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Now{Duration(100s)};

using Names = std::vector<std::string>;

/** One report on the zone "a". */
struct Report {
    std::uint64_t revision = 0;
    bool isEnd = false;
};

StateObject entry(const std::string &zone, std::uint64_t revision)
{
    return {.name = zone, .revision = Revision(revision), .value = ZoneEvacuation()};
}

StateChange deletion(const std::string &zone, std::uint64_t revision)
{
    return {.object = {.name = zone, .revision = Revision(revision), .value = MalformedObject()}, .isDeleted = true};
}

std::vector<StateChange> overTheWire(const std::vector<StateChange> &changes)
{
    std::vector<StateChange> received;
    received.reserve(changes.size());
    for (const StateChange &change : changes) {
        received.push_back(fromWire(toWire(change), StateKind::Evacuations).value());
    }
    return received;
}

} // namespace

// A report that is delayed by a relay or a slow link must neither start an ended evacuation again nor end a later one.
TEST_CASE("evacuation table: the report with the highest revision decides, in any order")
{
    const struct {
        const char *name;
        std::vector<Report> reports;
        bool isEvacuated;
        /** Reports that start or end the evacuation. */
        int effects;
    } rows[] = {
        {"start", {{10}}, true, 1},
        {"start and end", {{10}, {11, true}}, false, 2},
        {"end before its start, as after a reordering", {{11, true}, {10}}, false, 0},
        {"start repeated after the end", {{10}, {11, true}, {10}}, false, 2},
        {"end repeated after a second start", {{10}, {11, true}, {12}, {11, true}}, true, 3},
        {"entry written again before its deletion", {{10}, {15}, {11, true}}, true, 1},
        {"entry and deletion of the same revision", {{10}, {10, true}, {10}}, false, 2},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        EvacuationTable table;
        int effects = 0;
        for (const Report &report : row.reports) {
            const Revision revision(report.revision);
            effects += (report.isEnd ? table.end("a", revision) : table.start("a", revision)) ? 1 : 0;
        }
        CHECK(table.contains(AvailabilityZone("a")) == row.isEvacuated);
        CHECK(effects == row.effects);
        CHECK((table.hash() != 0) == row.isEvacuated);
    }
}

TEST_CASE("evacuation table: the number of remembered ends is bounded, and evacuations in force are never forgotten")
{
    EvacuationTable table;
    table.start("in-force", Revision(1));
    for (std::uint64_t number = 2; number < 2 + 2 * EvacuationTable::MaxRememberedEnds; ++number) {
        table.start("z" + std::to_string(number), Revision(number));
        table.end("z" + std::to_string(number), Revision(number));
    }
    CHECK(table.objects(Instant()).size() == EvacuationTable::MaxRememberedEnds + 1);
    CHECK(table.zones() == Names{"in-force"});
}

TEST_CASE("state mirror: an evacuation that starts and ends in one response of the store has no effect and is sent on")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Evacuations, {}, Revision(9), Now);
    const MirrorChanges changes = mirror.applyChanges(
        StateKind::Evacuations, {.changes = {{.object = entry("a", 10)}, deletion("a", 11)}, .storeRevision = Revision(11)}, Now);
    CHECK(mirror.evacuations().zones().empty());
    CHECK(changes.of(StateKind::Evacuations).size() == 2);
    CHECK(mirror.applyListing(StateKind::Evacuations, {entry("a", 10)}, Revision(10), Now).evacuations.empty());
}

TEST_CASE("state mirror: two zones in sequence, the first of which ends while this instance is partitioned")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Evacuations, {entry("a", 10)}, Revision(10), Now);
    // The listing after the partition or an outage of the store no longer has the first zone.
    const MirrorChanges changes = mirror.applyListing(StateKind::Evacuations, {entry("b", 14)}, Revision(15), Now);
    CHECK(changes.evacuations.size() == 2);
    CHECK(mirror.evacuations().zones() == Names{"b"});
    // A message from before the partition arrives late.
    mirror.applyChanges(StateKind::Evacuations,
                        {.changes = {{.object = entry("a", 10)}}, .storeRevision = Revision(10)},
                        Now,
                        StateSource::Instance);
    CHECK(mirror.evacuations().zones() == Names{"b"});
    CHECK(mirror.revision(StateKind::Evacuations) == Revision(15));
}

// Entries of upstreams expire during an outage, those of evacuations do not: a missing one was deleted by an operator.
TEST_CASE("state mirror: an outage of the store neither ends an evacuation nor delays the end that follows")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Evacuations, {entry("a", 10)}, Revision(10), Now);
    for (int second = 0; second < 60; ++second) {
        mirror.recordStoreCall(false, Now + second * 1s);
        mirror.tick(Now + second * 1s);
    }
    CHECK(mirror.evacuations().zones() == Names{"a"});
    mirror.recordStoreCall(true, Now + 61s);
    CHECK(mirror.applyListing(StateKind::Evacuations, {}, Revision(20), Now + 61s).evacuations.size() == 1);
    CHECK(mirror.evacuations().zones().empty());
}

// After a restart of all instances, one may still get messages of another one that has not learned of the end.
TEST_CASE("state mirror: a full state over the wire restores evacuations and keeps ended ones ended")
{
    StateMirror source;
    source.applyListing(StateKind::Evacuations, {entry("a", 10), entry("b", 11)}, Revision(11), Now);
    source.applyChanges(
        StateKind::Evacuations, {.changes = {deletion("a", 12)}, .storeRevision = Revision(12)}, Now, StateSource::Instance);
    const std::vector<StateChange> state = overTheWire(source.objects(StateKind::Evacuations, Now));

    StateMirror restarted;
    CHECK_FALSE(restarted.revision(StateKind::Evacuations).has_value());
    restarted.applyFullState(StateKind::Evacuations, state, Revision(12), Now);
    CHECK(restarted.evacuations().zones() == Names{"b"});
    CHECK(restarted.hash(StateKind::Evacuations) == source.hash(StateKind::Evacuations));
    restarted.applyChanges(StateKind::Evacuations,
                           {.changes = {{.object = entry("a", 10)}}, .storeRevision = Revision(12)},
                           Now,
                           StateSource::Instance);
    CHECK(restarted.evacuations().zones() == Names{"b"});

    // A newer evacuation that this instance received alone is not undone by an older full state.
    StateMirror ahead;
    ahead.applyListing(StateKind::Evacuations, {}, Revision(9), Now);
    ahead.applyChanges(StateKind::Evacuations,
                       {.changes = {{.object = entry("c", 20)}}, .storeRevision = Revision(9)},
                       Now,
                       StateSource::Instance);
    ahead.applyFullState(StateKind::Evacuations, state, Revision(12), Now);
    CHECK(ahead.evacuations().zones() == Names{"b", "c"});
}
