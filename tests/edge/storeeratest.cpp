#include <filbertmount/edge/knownera.h>
#include <filbertmount/edge/statemirror.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Returned{Duration(100s)};
constexpr StoreEra Before{4};
constexpr StoreEra After{5};

StateObject entryOf(const std::string &id, Revision revision, bool isDraining = false)
{
    return {.name = id,
            .revision = revision,
            .value = UpstreamRecord{.id = UpstreamId(id), .service = ServiceName("s"), .isDraining = isDraining}};
}

StateObject routesOf(std::uint64_t version, Revision revision, const std::string &key = "key")
{
    const RouteSet set{.version = RouteSetVersion(version),
                       .requiresKey = true,
                       .accounts = {{.name = AccountName("a"), .keyDigests = {sha256(key)}}}};
    return {.name = "main", .revision = revision, .value = set};
}

/** A mirror with the upstreams a and b and, since revision 95 of the era before the return, c. */
StateMirror mirrorBefore()
{
    StateMirror mirror;
    const std::vector<StateObject> objects{entryOf("a", Revision(10, Before)), entryOf("b", Revision(11, Before))};
    mirror.applyListing(StateKind::Upstreams, objects, Revision(90, Before), Returned - 10s);
    mirror.applyChanges(StateKind::Upstreams,
                        {.changes = {{.object = entryOf("c", Revision(95, Before))}}, .storeRevision = Revision(95, Before)},
                        Returned - 5s);
    // The store is reachable all the time, so that no deletion is taken for an expiry.
    for (Duration ago = 10s; ago >= 0s; ago -= 100ms) {
        mirror.recordStoreCall(true, Returned - ago);
    }
    return mirror;
}

} // namespace

TEST_CASE("store era: a position of a later era is later, whatever its number")
{
    CHECK(Revision(3, After) > Revision(1000, Before));
    CHECK(Revision(3, After) != Revision(3, Before));
    CHECK(Revision(4, After) > Revision(3, After));
}

TEST_CASE("store era: only a higher era than a known one is a return")
{
    KnownEra known;
    known.record(Before);
    known.record(Before);
    CHECK(known.returns() == 0);
    known.record(After);
    // A late response from before the return.
    known.record(Before);
    CHECK(known.returns() == 1);
    CHECK(known.latest() == After);
    CHECK(known.first() == Before);
}

// The listing of the returned store was dropped because its revision was lower than the known one.
TEST_CASE("store era: the listing after a return replaces the state, and messages from before cannot undo it")
{
    StateMirror mirror = mirrorBefore();
    mirror.applyListing(StateKind::Upstreams,
                        {entryOf("a", Revision(10, After)), entryOf("b", Revision(11, After)), entryOf("d", Revision(85, After))},
                        Revision(85, After),
                        Returned);
    CHECK(mirror.revision(StateKind::Upstreams) == Revision(85, After));
    CHECK(mirror.upstreams().size() == 4);
    const std::vector<StateObject> old{entryOf("a", Revision(10, Before))};
    mirror.applyListing(StateKind::Upstreams, old, Revision(2000, Before), Returned);
    mirror.applyChanges(StateKind::Upstreams,
                        {.changes = {{.object = {.name = "d", .revision = Revision(2001, Before), .value = MalformedObject()},
                                      .isDeleted = true}},
                         .storeRevision = Revision(2001, Before)},
                        Returned);
    CHECK(mirror.revision(StateKind::Upstreams) == Revision(85, After));
    CHECK(mirror.upstreams().size() == 4);
    // Changes between the eras are not known one by one.
    CHECK_FALSE(mirror.upstreamChangesSince(Revision(95, Before), Returned).has_value());
}

// An upstream that registered after the copy was made is alive; it writes its entry again within two seconds.
TEST_CASE("store era: an upstream that the copy lacks is kept for a grace time, unless it is reported as deleted or was draining")
{
    const struct {
        const char *name;
        bool isDraining;
        bool returnsToStore;
        bool isReportedDeleted;
        bool isKeptAtFirst;
        bool isKeptAfterGrace;
    } rows[] = {
        {"it writes its entry again", false, true, false, true, true},
        {"it has ended", false, false, false, true, false},
        {"it was draining", true, false, false, false, false},
        {"another instance reports that it was deleted", false, false, true, false, false},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        StateMirror mirror = mirrorBefore();
        if (row.isDraining) {
            const StateObject draining = entryOf("c", Revision(96, Before), true);
            mirror.applyChanges(
                StateKind::Upstreams, {.changes = {{.object = draining}}, .storeRevision = Revision(96, Before)}, Returned);
        }
        const std::vector<StateObject> copy{entryOf("a", Revision(10, After)), entryOf("b", Revision(11, After))};
        mirror.applyListing(StateKind::Upstreams, copy, Revision(85, After), Returned);
        if (row.isReportedDeleted) {
            const StateObject deleted{.name = "c", .revision = Revision(86, After), .value = MalformedObject()};
            mirror.applyChanges(StateKind::Upstreams,
                                {.changes = {{.object = deleted, .isDeleted = true}}, .storeRevision = Revision(86, After)},
                                Returned,
                                StateSource::Instance);
        }
        mirror.tick(Returned + 100ms);
        CHECK(mirror.upstreams().size() == (row.isKeptAtFirst ? 3 : 2));
        if (row.returnsToStore) {
            mirror.applyChanges(
                StateKind::Upstreams,
                {.changes = {{.object = entryOf("c", Revision(87, After))}}, .storeRevision = Revision(87, After)},
                Returned + 1s);
        }
        mirror.tick(Returned + StateMirrorOptions().lostEntryGrace + 1ms);
        CHECK(mirror.upstreams().size() == (row.isKeptAfterGrace ? 3 : 2));
    }
}

// A kept upstream reaches the other instances as a possible expiry; contact with the store during the return does not end it.
TEST_CASE("store era: an upstream that the copy lacks is kept by the other instances too")
{
    StateMirror reader = mirrorBefore();
    StateMirror other = mirrorBefore();
    const std::vector<StateObject> copy{entryOf("a", Revision(10, After)), entryOf("b", Revision(11, After))};
    const MirrorChanges changes = reader.applyListing(StateKind::Upstreams, copy, Revision(85, After), Returned);
    other.applyChanges(StateKind::Upstreams,
                       {.changes = changes.upstreams, .storeRevision = Revision(85, After)},
                       Returned,
                       StateSource::Instance);
    other.tick(Returned + 100ms);
    CHECK(other.upstreams().size() == 3);
    CHECK(other.hash(StateKind::Upstreams) == reader.hash(StateKind::Upstreams));
}

// What callers were promised by a version holds while the operator's last write is missing in the copy.
TEST_CASE("store era: neither the version of the routes nor the accounts of a version go back with the copy")
{
    const struct {
        const char *name;
        std::uint64_t version;
        std::string key;
        std::uint64_t expectedVersion;
        bool isNewKey;
    } rows[] = {
        {"an older version", 6, "old", 7, false},
        {"the same version with other accounts", 7, "old", 7, false},
        {"a newer version", 8, "new", 8, true},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        StateMirror mirror;
        mirror.applyListing(StateKind::Routes, {routesOf(7, Revision(95, Before))}, Revision(95, Before), Returned);
        const StateObject copy = routesOf(row.version, Revision(80, After), row.key);
        mirror.applyListing(StateKind::Routes, {copy}, Revision(85, After), Returned);
        CHECK(mirror.routes()->version() == RouteSetVersion(row.expectedVersion));
        CHECK((mirror.routes()->findAccount(sha256("new")) != nullptr) == row.isNewKey);
        CHECK(mirror.routes()->findAccount(sha256("old")) == nullptr);
        // A key that is taken away after the return must be refused.
        const StateObject changed = routesOf(row.expectedVersion, Revision(88, After), "last");
        mirror.applyListing(StateKind::Routes, {changed}, Revision(88, After), Returned);
        CHECK(mirror.routes()->findAccount(sha256("last")) != nullptr);
        CHECK(mirror.routes()->findAccount(sha256("key")) == nullptr);
    }
}

TEST_CASE("store era: an evacuation that the copy lacks holds for a grace time, unless it is deleted or written again")
{
    const struct {
        const char *name;
        bool isWrittenAgain;
        bool isDeleted;
        bool holdsAtFirst;
        bool holdsAfterGrace;
    } rows[] = {
        {"lost for good", false, false, true, false},
        {"written again", true, false, true, true},
        {"deleted by the operator", false, true, false, false},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        StateMirror mirror;
        const StateObject entry{.name = "z", .revision = Revision(95, Before), .value = ZoneEvacuation()};
        mirror.applyListing(StateKind::Evacuations, {entry}, Revision(95, Before), Returned);
        mirror.applyListing(StateKind::Evacuations, {}, Revision(85, After), Returned);
        if (row.isDeleted || row.isWrittenAgain) {
            const StateObject event{.name = "z", .revision = Revision(86, After), .value = ZoneEvacuation()};
            mirror.applyChanges(
                StateKind::Evacuations,
                {.changes = {{.object = event, .isDeleted = row.isDeleted}}, .storeRevision = Revision(86, After)},
                Returned);
        }
        mirror.tick(Returned + 100ms);
        CHECK(mirror.evacuations().contains(AvailabilityZone("z")) == row.holdsAtFirst);
        mirror.tick(Returned + StateMirrorOptions().lostEntryGrace + 1ms);
        CHECK(mirror.evacuations().contains(AvailabilityZone("z")) == row.holdsAfterGrace);
    }
}

namespace {

const AvailabilityZone Zone("z");
const Instant AfterGrace = Returned + StateMirrorOptions().lostEntryGrace + 1ms;

StateObject evacuationOf(Revision revision)
{
    return {.name = Zone.value(), .revision = revision, .value = ZoneEvacuation()};
}

/** A mirror with an evacuation from before the return. */
StateMirror evacuatedMirror()
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Evacuations, {evacuationOf(Revision(95, Before))}, Revision(95, Before), Returned - 1s);
    return mirror;
}

} // namespace

// Several instances read the store while it is away. All but one stopped reading before the entry was written again, and ended
// the evacuation with a revision that made the new entry look old.
TEST_CASE("store era: an evacuation that is written again holds on instances that have found it missing and read no more")
{
    struct Row {
        const char *name;
        bool isPushReceived;
        bool isPulled;
    };
    for (const Row &row : {Row{"the push arrives", true, false}, Row{"the push is lost", false, true}}) {
        CAPTURE(row.name);
        StateMirror reader = evacuatedMirror();
        StateMirror other = evacuatedMirror();
        for (StateMirror *mirror : {&reader, &other}) {
            mirror->applyListing(StateKind::Evacuations, {}, Revision(85, After), Returned);
            CHECK(mirror->evacuations().contains(Zone));
        }
        CHECK(reader.hash(StateKind::Evacuations) == other.hash(StateKind::Evacuations));
        const StateChanges written{.changes = {{.object = evacuationOf(Revision(86, After))}},
                                   .storeRevision = Revision(86, After)};
        const MirrorChanges changes = reader.applyChanges(StateKind::Evacuations, written, Returned + 1s);
        // The reader pushes what has changed.
        REQUIRE(changes.evacuations.size() == 1);
        if (row.isPushReceived) {
            other.applyChanges(StateKind::Evacuations, written, Returned + 1s, StateSource::Instance);
        }
        CHECK((reader.hash(StateKind::Evacuations) == other.hash(StateKind::Evacuations)) == row.isPushReceived);
        other.advanceRevision(StateKind::Evacuations, Revision(86, After));
        if (row.isPulled) {
            // Also if the pull comes only after the grace time.
            other.tick(AfterGrace);
            other.applyFullState(
                StateKind::Evacuations, reader.objects(StateKind::Evacuations, AfterGrace), Revision(86, After), AfterGrace);
        }
        for (StateMirror *mirror : {&reader, &other}) {
            mirror->tick(AfterGrace);
            CHECK(mirror->evacuations().contains(Zone));
        }
        CHECK(reader.hash(StateKind::Evacuations) == other.hash(StateKind::Evacuations));
    }
}

TEST_CASE("store era: an evacuation that a reader has found missing is kept by the others for the same time")
{
    StateMirror reader = evacuatedMirror();
    reader.applyListing(StateKind::Evacuations, {}, Revision(85, After), Returned);
    StateMirror known = evacuatedMirror();
    StateMirror started;
    for (StateMirror *other : {&known, &started}) {
        other->applyFullState(
            StateKind::Evacuations, reader.objects(StateKind::Evacuations, Returned + 1s), Revision(85, After), Returned + 1s);
        CHECK(other->evacuations().contains(Zone));
        CHECK(other->hash(StateKind::Evacuations) == reader.hash(StateKind::Evacuations));
        // One that becomes the reader later finds nothing new.
        other->applyListing(StateKind::Evacuations, {}, Revision(87, After), Returned + 1500ms);
        CHECK(other->evacuations().contains(Zone));
        other->tick(AfterGrace);
        CHECK_FALSE(other->evacuations().contains(Zone));
    }
}

// A late message from before the return must not be taken for the entry that is written again.
TEST_CASE("store era: a message from before the return does not keep an evacuation that is missing since")
{
    StateMirror mirror = evacuatedMirror();
    mirror.applyListing(StateKind::Evacuations, {}, Revision(85, After), Returned);
    const StateChanges late{.changes = {{.object = evacuationOf(Revision(99, Before))}}, .storeRevision = Revision(99, Before)};
    mirror.applyChanges(StateKind::Evacuations, late, Returned + 1s, StateSource::Instance);
    mirror.tick(AfterGrace);
    CHECK_FALSE(mirror.evacuations().contains(Zone));
}

// Only readers gave their entries the new era. On all others, each later absence counted as a loss, and the removed upstream got
// requests for another 2.1 s.
TEST_CASE("store era: an instance that only confirmed the state after a return removes what is absent from a later listing")
{
    for (const bool isConfirmed : {false, true}) {
        CAPTURE(isConfirmed);
        StateMirror mirror = mirrorBefore();
        if (isConfirmed) {
            // The digest of a reader in the new era has the same hash.
            mirror.advanceRevision(StateKind::Upstreams, Revision(85, After));
        }
        mirror.applyListing(StateKind::Upstreams,
                            {entryOf("a", Revision(10, After)), entryOf("b", Revision(11, After))},
                            Revision(86, After),
                            Returned + 10s);
        CHECK(mirror.upstreams().size() == (isConfirmed ? 2 : 3));
    }
}

// The accounts of a version would have been those of before the return on all instances that did not read the store.
TEST_CASE("store era: accounts that change after a return are used by an instance that only confirmed the state")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Routes, {routesOf(7, Revision(50, Before))}, Revision(90, Before), Returned - 1s);
    mirror.advanceRevision(StateKind::Routes, Revision(60, After));
    mirror.applyListing(StateKind::Routes, {routesOf(7, Revision(61, After), "other")}, Revision(61, After), Returned);
    CHECK(mirror.routes()->findAccount(sha256("other")) != nullptr);
    CHECK(mirror.routes()->findAccount(sha256("key")) == nullptr);
}
