#include <filbertmount/edge/statemirror.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(100s)};

StateObject upstream(const std::string &id, std::uint64_t revision, bool isDraining = false, std::uint64_t incarnation = 1)
{
    return {.name = id,
            .revision = Revision(revision),
            .value = UpstreamRecord{.id = UpstreamId(id),
                                    .service = ServiceName("s"),
                                    .address = "10.0.0.1:80",
                                    .isDraining = isDraining,
                                    .incarnation = Incarnation(incarnation)}};
}

StateObject routes(std::uint64_t version, std::uint64_t revision)
{
    return {.name = "main", .revision = Revision(revision), .value = RouteSet{.version = RouteSetVersion(version)}};
}

StateChanges removal(const std::string &id, std::uint64_t revision)
{
    return {.changes = {{.object = {.name = id, .revision = Revision(revision), .value = MalformedObject()}, .isDeleted = true}},
            .storeRevision = Revision(revision)};
}

std::size_t count(const StateMirror &mirror)
{
    return mirror.upstreams().size();
}

} // namespace

TEST_CASE("state mirror: routes never go back to an older version")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Routes, {routes(7, 20)}, Revision(20), Start);
    CHECK(mirror.applyListing(StateKind::Routes, {routes(5, 21)}, Revision(21), Start).routes.empty());
    CHECK(mirror.routes()->version() == RouteSetVersion(7));
    CHECK(mirror.applyListing(StateKind::Routes, {routes(9, 18)}, Revision(18), Start).routes.empty());
    mirror.applyChanges(StateKind::Routes, {.changes = {{.object = routes(9, 30)}}, .storeRevision = Revision(30)}, Start);
    CHECK(mirror.routes()->version() == RouteSetVersion(9));
}

// Guards against a removed key that is accepted again, and against accounts that a mixed fleet loses or never agrees on.
TEST_CASE("state mirror: accounts change only with a later version, a later revision or when they were missing")
{
    struct Row {
        const char *name;
        std::uint64_t version;
        std::uint64_t revision;
        bool hasAccounts;
        std::string key;
        bool replaces;
    };
    const auto object = [](std::uint64_t version, std::uint64_t revision, bool hasAccounts, const std::string &key) {
        RouteSet set{.version = RouteSetVersion(version), .requiresKey = hasAccounts};
        if (hasAccounts) {
            set.accounts = {{.name = AccountName("a"), .keyDigests = {sha256(key)}}};
        }
        return StateObject{.name = "main", .revision = Revision(revision), .value = set};
    };
    for (const bool knowsAccounts : {true, false}) {
        const Row rows[] = {
            {"older version", 6, 30, true, "new", false},
            {"same version and revision, other key", 7, 20, true, "new", !knowsAccounts},
            {"same version and revision without accounts", 7, 20, false, "", false},
            {"same version, later revision, other key", 7, 21, true, "new", true},
            {"same version, later revision, no change", 7, 21, knowsAccounts, "old", false},
            {"same version, earlier revision", 7, 19, true, "new", false},
            {"later version", 8, 21, true, "new", true},
        };
        for (const Row &row : rows) {
            CAPTURE(std::string(row.name));
            CAPTURE(knowsAccounts);
            StateMirror mirror;
            mirror.applyListing(StateKind::Routes, {object(7, 20, knowsAccounts, "old")}, Revision(20), Start);
            const std::uint64_t hash = mirror.hash(StateKind::Routes);
            CHECK((hash == 7) == !knowsAccounts);
            const StateChange change{.object = object(row.version, row.revision, row.hasAccounts, row.key)};
            const MirrorChanges changes = mirror.applyChanges(
                StateKind::Routes, {.changes = {change}, .storeRevision = Revision(row.revision)}, Start, StateSource::Instance);
            CHECK(changes.routes.empty() != row.replaces);
            CHECK((mirror.hash(StateKind::Routes) != hash) == row.replaces);
            CHECK((mirror.routes()->findAccount(sha256("old")) != nullptr) == (knowsAccounts && !row.replaces));
        }
    }
}

TEST_CASE("state mirror: a malformed object is rejected with its reason and the earlier version stays")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Upstreams, {upstream("u1", 5)}, Revision(5), Start);
    const StateObject broken{.name = "u1", .revision = Revision(6), .value = MalformedObject{"state is missing"}};
    const MirrorChanges changes =
        mirror.applyChanges(StateKind::Upstreams, {.changes = {{.object = broken}}, .storeRevision = Revision(6)}, Start);
    REQUIRE(changes.rejected.size() == 1);
    CHECK(changes.rejected[0].second == "state is missing");
    CHECK(count(mirror) == 1);
    // The same revision is reported once, a later one again.
    CHECK(mirror.applyListing(StateKind::Upstreams, {broken}, Revision(7), Start).rejected.empty());
    const StateObject later{.name = "u1", .revision = Revision(8), .value = MalformedObject{"state is missing"}};
    CHECK(mirror.applyListing(StateKind::Upstreams, {later}, Revision(8), Start).rejected.size() == 1);
    CHECK(count(mirror) == 1);
}

TEST_CASE("state mirror: a listing that is older than the mirror changes nothing")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Upstreams, {upstream("u1", 5), upstream("u2", 9)}, Revision(9), Start);
    CHECK(mirror.applyListing(StateKind::Upstreams, {upstream("u1", 5)}, Revision(8), Start).upstreams.empty());
    CHECK(count(mirror) == 2);
}

TEST_CASE("state mirror: entries that expire during an outage of the store are kept until two seconds after its end")
{
    StateMirror mirror;
    mirror.applyListing(
        StateKind::Upstreams, {upstream("u1", 5), upstream("u2", 6, true), upstream("u3", 7)}, Revision(7), Start);
    mirror.recordStoreCall(false, Start + 1s);
    mirror.recordStoreCall(false, Start + 3s);
    mirror.recordStoreCall(true, Start + 4s);
    mirror.applyListing(StateKind::Upstreams, {}, Revision(20), Start + 4s);
    CHECK(count(mirror) == 2); // the draining upstream is removed at once
    mirror.applyChanges(
        StateKind::Upstreams, {.changes = {{.object = upstream("u3", 21)}}, .storeRevision = Revision(21)}, Start + 5s);
    mirror.tick(Start + 5900ms);
    CHECK(count(mirror) == 2);
    const MirrorChanges changes = mirror.tick(Start + 6200ms);
    REQUIRE(changes.upstreams.size() == 1);
    CHECK(changes.upstreams[0].object.name == "u1");
    REQUIRE(count(mirror) == 1);
    CHECK(mirror.upstreams()[0].id == UpstreamId("u3"));
}

TEST_CASE("state mirror: without an outage, a deleted entry is removed at once")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Upstreams, {upstream("u1", 5)}, Revision(5), Start);
    mirror.recordStoreCall(true, Start + 1s);
    mirror.applyChanges(StateKind::Upstreams, removal("u1", 6), Start + 1s);
    CHECK(count(mirror) == 0);
}

TEST_CASE("state mirror: during an outage, an entry that another instance reports as deleted is removed at once")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Upstreams, {upstream("u1", 5)}, Revision(5), Start);
    mirror.recordStoreCall(false, Start + 1s);
    mirror.recordStoreCall(false, Start + 3s);
    mirror.applyChanges(StateKind::Upstreams, removal("u1", 6), Start + 3s, StateSource::Instance);
    CHECK(count(mirror) == 0);
}

TEST_CASE("state mirror: a restart under the same id is a change, a shorter warmup is none")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Upstreams, {upstream("u1", 5)}, Revision(5), Start);
    StateObject warmer = upstream("u1", 6);
    std::get<UpstreamRecord>(warmer.value).warmupLeft = 1s;
    CHECK(mirror.applyListing(StateKind::Upstreams, {warmer}, Revision(6), Start).upstreams.empty());
    CHECK(mirror.applyListing(StateKind::Upstreams, {upstream("u1", 7, false, 2)}, Revision(7), Start).upstreams.size() == 1);
}

TEST_CASE("state mirror: equal objects have equal hashes, independent of the order of arrival")
{
    StateMirror first;
    StateMirror second;
    first.applyListing(StateKind::Upstreams, {upstream("u1", 5), upstream("u2", 6)}, Revision(6), Start);
    second.applyListing(StateKind::Upstreams, {upstream("u2", 6)}, Revision(6), Start);
    CHECK(first.hash(StateKind::Upstreams) != second.hash(StateKind::Upstreams));
    second.applyChanges(StateKind::Upstreams, {.changes = {{.object = upstream("u1", 8)}}, .storeRevision = Revision(8)}, Start);
    CHECK(first.hash(StateKind::Upstreams) == second.hash(StateKind::Upstreams));
}

TEST_CASE("state mirror: the changes since a revision lead from the state at that revision to the current one")
{
    StateMirror mirror;
    mirror.applyListing(StateKind::Upstreams, {upstream("u1", 5), upstream("u2", 6), upstream("u3", 7)}, Revision(10), Start);
    CHECK_FALSE(mirror.upstreamChangesSince(Revision(9), Start).has_value());
    StateMirror follower;
    follower.applyListing(StateKind::Upstreams, {upstream("u1", 5), upstream("u2", 6), upstream("u3", 7)}, Revision(10), Start);

    // A renewal of u1, a change of u2, the removal of u3, and u4, which comes, goes and comes again.
    mirror.applyChanges(StateKind::Upstreams,
                        {.changes = {{.object = upstream("u1", 11)},
                                     {.object = upstream("u2", 12, true)},
                                     removal("u3", 13).changes[0],
                                     {.object = upstream("u4", 14)},
                                     removal("u4", 15).changes[0],
                                     {.object = upstream("u4", 16)}},
                         .storeRevision = Revision(16)},
                        Start);
    const auto changes = mirror.upstreamChangesSince(Revision(10), Start);
    REQUIRE(changes.has_value());
    CHECK(changes->size() == 3);
    follower.applyChanges(
        StateKind::Upstreams, {.changes = *changes, .storeRevision = Revision(16)}, Start, StateSource::Instance);
    CHECK(follower.hash(StateKind::Upstreams) == mirror.hash(StateKind::Upstreams));
    CHECK(mirror.upstreamChangesSince(Revision(16), Start)->empty());
}

// Guards against an instance that takes a wrong suspicion of an outage over from another one.
TEST_CASE("state mirror: upstreams that another instance keeps are added only by an instance without a state")
{
    StateMirror keeper;
    keeper.recordStoreCall(true, Start);
    keeper.applyListing(StateKind::Upstreams, {upstream("u1", 5), upstream("u2", 6)}, Revision(6), Start);
    keeper.recordStoreCall(false, Start + 1s);
    keeper.recordStoreCall(false, Start + 5s);
    keeper.recordStoreCall(true, Start + 6s);
    keeper.applyListing(StateKind::Upstreams, {upstream("u2", 6)}, Revision(20), Start + 6s);
    REQUIRE(count(keeper) == 2);
    const std::vector<StateChange> state = keeper.objects(StateKind::Upstreams, Start + 7s);

    StateMirror fresh;
    fresh.applyFullState(StateKind::Upstreams, state, Revision(20), Start + 7s);
    CHECK(count(fresh) == 2);
    fresh.tick(Start + 8s);
    CHECK(count(fresh) == 2);
    fresh.tick(Start + 8200ms);
    CHECK(count(fresh) == 1);

    StateMirror known;
    known.applyListing(StateKind::Upstreams, {upstream("u2", 6)}, Revision(19), Start);
    known.applyFullState(StateKind::Upstreams, state, Revision(20), Start + 7s);
    CHECK(count(known) == 1);

    // One that holds the upstream keeps it as well, unless it had contact with the store all the time.
    for (const bool hadContact : {false, true}) {
        StateMirror holder;
        for (int second = 0; second <= (hadContact ? 7 : 0); ++second) {
            holder.recordStoreCall(true, Start + std::chrono::seconds(second));
        }
        holder.applyListing(StateKind::Upstreams, {upstream("u1", 5), upstream("u2", 6)}, Revision(6), Start);
        const auto later = keeper.upstreamChangesSince(Revision(6), Start + 7s);
        REQUIRE(later.has_value());
        holder.applyChanges(
            StateKind::Upstreams, {.changes = *later, .storeRevision = Revision(20)}, Start + 7s, StateSource::Instance);
        CHECK(count(holder) == (hadContact ? 1 : 2));
        CHECK(holder.hash(StateKind::Upstreams) == keeper.hash(StateKind::Upstreams));
    }
}
