#include "edge/statereplicator.h"
#include "edge/statewire.h"

#include "support/loopserver.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr const char *PeerPort = ":17660";
// Ticks send join requests and digests.
constexpr Duration TickInterval = std::chrono::milliseconds(10);

RouteSet routes(std::uint64_t version, int count)
{
    RouteSet result{.version = RouteSetVersion(version)};
    for (int number = 0; number < count; ++number) {
        result.routes.push_back({.name = "route-" + std::to_string(number),
                                 .host = "shop.example",
                                 .pathPrefix = "/" + std::to_string(number) + "/",
                                 .timeout = 1s,
                                 .targets = {{.service = ServiceName("shop"), .weight = 1}}});
    }
    return result;
}

/** An instance with the components that replicate its state. */
class Node
{
public:
    Node(IoLoop &loop,
         const std::string &ip,
         std::vector<std::string> seeds,
         bool hasEvacuations = true,
         std::uint32_t capacity = 100)
        : self{.id = InstanceId(ip),
               .peerAddress = ip + PeerPort,
               .adminAddress = {},
               .zone = {},
               .region = {},
               .capacity = capacity}
        , fleet(loop, {.cluster = "test", .self = self, .seeds = std::move(seeds)}, metrics)
        , router({.self = self.id, .zone = AvailabilityZone("z"), .send = fleet.sender()})
        , replicator(mirror, fleet, {.hasEvacuations = hasEvacuations}, [](const MirrorChanges &) {})
        , m_tickTask(loop, TickInterval, [this] {
            fleet.tick(ProcessClock::now());
            replicator.tick(ProcessClock::now());
        })
    {
        fleet.setRouter(router);
    }

    /** Applies @p set as the response from the store. */
    void applyStoreResponse(RouteSet set, std::uint64_t revision)
    {
        const std::optional<Revision> before = mirror.revision(StateKind::Routes);
        const MirrorChanges changes =
            mirror.applyListing(StateKind::Routes,
                                {{.name = "main", .revision = Revision(revision), .value = std::move(set)}},
                                Revision(revision),
                                ProcessClock::now());
        replicator.onStoreResponse(StateKind::Routes, before, changes, ProcessClock::now());
    }

    /** Applies a response from the store in which the upstreams from @p first to @p last change; none is sent to other instances.
     */
    MirrorChanges applyUpstreams(int first, int last, std::uint64_t revision)
    {
        std::vector<StateChange> changes;
        for (int number = first; number <= last; ++number) {
            const std::string id = "upstream-" + std::to_string(number);
            changes.push_back({.object = {.name = id,
                                          .revision = Revision(revision),
                                          .value = UpstreamRecord{.id = UpstreamId(id),
                                                                  .service = ServiceName("shop"),
                                                                  .address = "10.0.0.1:80",
                                                                  .incarnation = Incarnation(revision)}}});
        }
        return mirror.applyChanges(
            StateKind::Upstreams, {.changes = std::move(changes), .storeRevision = Revision(revision)}, ProcessClock::now());
    }

    [[nodiscard]] double sentBytes()
    {
        return metrics.counter(MetricNames::PeerBytes, {{"direction", "sent"}}).Value();
    }

    [[nodiscard]] bool has(std::uint64_t version) const
    {
        return mirror.routes() && mirror.routes()->version() == RouteSetVersion(version);
    }

    Metrics metrics;
    Member self;
    Fleet fleet;
    Router router;
    StateMirror mirror;
    StateReplicator replicator;

private:
    PeriodicTask m_tickTask;
};

/** A lister that calls @p start and has no listing in progress afterwards. */
StateReplicator::Lister listerCalling(std::function<void(StateKind)> start)
{
    return {.start = std::move(start), .isRunning = [](StateKind) {
                return false;
            }};
}

/** Entries of upstreams, as the store lists them. */
std::vector<StateObject> listing(std::initializer_list<int> numbers, std::uint64_t revision)
{
    std::vector<StateObject> objects;
    for (const int number : numbers) {
        const std::string id = "upstream-" + std::to_string(number);
        objects.push_back(
            {.name = id,
             .revision = Revision(revision),
             .value = UpstreamRecord{.id = UpstreamId(id), .service = ServiceName("shop"), .address = "10.0.0.1:80"}});
    }
    return objects;
}

bool hasUpstream(const Node &node, const std::string &id)
{
    const std::vector<UpstreamRecord> upstreams = node.mirror.upstreams();
    return std::any_of(upstreams.begin(), upstreams.end(), [&id](const UpstreamRecord &record) {
        return record.id == UpstreamId(id);
    });
}

struct Pair {
    IoLoop loop{1};
    Node reader{loop, "127.0.0.31", {}};
    Node other{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};

    /** Waits until both instances have found each other and have version 1 with few routes. */
    Pair()
    {
        REQUIRE(runUntil(loop, [this] {
            return reader.fleet.memberCount() == 2 && other.fleet.memberCount() == 2;
        }));
        reader.applyStoreResponse(routes(1, 4), 10);
        REQUIRE(runUntil(loop, [this] {
            return other.has(1);
        }));
    }
};

} // namespace

TEST_CASE("state replicator: a change of few routes is sent, and the other instance does not read the store")
{
    Pair pair;
    int reads = 0;
    pair.other.replicator.setLister(listerCalling([&reads](StateKind) {
        ++reads;
    }));
    pair.reader.applyStoreResponse(routes(2, 5), 11);
    CHECK(runUntil(pair.loop, [&] {
        return pair.other.has(2);
    }));
    CHECK(reads == 0);
}

// The operator may begin with version 0; after the first change, all instances but the reader answered 404 on the other routes.
TEST_CASE("state replicator: changes of few routes keep the routes of every earlier version, also of version 0")
{
    IoLoop loop{1};
    Node reader{loop, "127.0.0.31", {}};
    Node other{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};
    REQUIRE(runUntil(loop, [&] {
        return reader.fleet.memberCount() == 2 && other.fleet.memberCount() == 2;
    }));
    // Only after a second response are changes sent as deltas.
    reader.applyStoreResponse(routes(0, 4), 10);
    int count = 4;
    for (const std::uint64_t version : {0, 3, 4}) {
        CAPTURE(version);
        reader.applyStoreResponse(routes(version, count), 10 + version);
        REQUIRE(runUntil(loop, [&] {
            return other.has(version);
        }));
        CHECK(other.mirror.routes()->routes().routes.size() == static_cast<std::size_t>(count));
        ++count;
    }
}

// A route set that was assembled wrongly stayed in force, since the digests covered the version and the accounts only.
TEST_CASE("state replicator: an instance with other routes under the same version gets those of the reader")
{
    Pair pair;
    RouteSet wrong = routes(2, 5);
    wrong.routes.erase(wrong.routes.begin());
    pair.other.mirror.applyListing(
        StateKind::Routes, {{.name = "main", .revision = Revision(11), .value = wrong}}, Revision(11), ProcessClock::now());
    REQUIRE(pair.other.mirror.routes()->routes().routes.size() == 4);
    pair.reader.applyStoreResponse(routes(2, 5), 11);
    pair.reader.applyStoreResponse(routes(2, 5), 12);
    CHECK(runUntil(pair.loop, [&] {
        return pair.other.mirror.routes()->routes().routes.size() == 5;
    }));
}

// The instance asked itself for the state that an instance on a smaller machine had announced, and never got it.
TEST_CASE("state replicator: the only coordinator pulls from the instance that announces a state")
{
    IoLoop loop{1};
    Node reader{loop, "127.0.0.31", {}, true, 10};
    Node other{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};
    REQUIRE(runUntil(loop, [&] {
        return reader.fleet.memberCount() == 2 && other.fleet.memberCount() == 2 && other.fleet.coordinatorIds().size() == 1;
    }));
    reader.applyStoreResponse(routes(1, 4), 10);
    CHECK(runUntil(loop, [&] {
        return other.has(1);
    }));
}

// Version 0 has the same hash as no route set: an instance that had read the store before the first configuration took itself for
// up to date.
TEST_CASE("state replicator: an instance without routes gets those of version 0")
{
    IoLoop loop{1};
    Node reader{loop, "127.0.0.31", {}};
    Node other{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};
    other.mirror.applyListing(StateKind::Routes, {}, Revision(5), ProcessClock::now());
    REQUIRE(runUntil(loop, [&] {
        return reader.fleet.memberCount() == 2 && other.fleet.memberCount() == 2;
    }));
    reader.applyStoreResponse(routes(0, 4), 10);
    CHECK(runUntil(loop, [&] {
        return other.has(0);
    }));
}

namespace {

/** A version whose only account has the key named after the version, and in version 1 also the key "removed". */
RouteSet accountVersion(std::uint64_t version)
{
    RouteSet set = routes(version, 2);
    set.requiresKey = true;
    set.accounts = {{.name = AccountName("acme"), .keyDigests = {sha256(std::to_string(version))}}};
    if (version == 1) {
        set.accounts[0].keyDigests.push_back(sha256("removed"));
    }
    return set;
}

Wire::Envelope deltaMessage(std::uint64_t from, std::uint64_t to)
{
    const RouteSet later = accountVersion(to);
    Wire::Envelope envelope;
    Wire::StatePush &push = *envelope.add_bodies()->mutable_state_push();
    push.set_kind(Wire::ROUTES);
    push.set_base(100 + from);
    push.set_revision(100 + to);
    *push.add_objects() = toWire({.object = {.name = "main", .revision = Revision(100 + to), .value = later}},
                                 computeDelta(accountVersion(from), later).value());
    return envelope;
}

} // namespace

// Guards against a removed key that a late, repeated or missing message makes valid again, also through a relay.
TEST_CASE("state replicator: lost, repeated and reordered deltas lead to the accounts of the last version")
{
    using Step = std::pair<std::uint64_t, std::uint64_t>;
    const std::vector<Step> deliveries[] = {
        {{1, 2}, {2, 3}}, {{2, 3}, {1, 2}}, {{1, 2}, {1, 2}, {2, 3}, {1, 2}}, {{2, 3}}, {{1, 3}, {1, 2}, {2, 3}}};
    for (const std::vector<Step> &delivery : deliveries) {
        IoLoop loop{1};
        Node reader{loop, "127.0.0.31", {}};
        Node other{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};
        const auto apply = [](Node &node, std::uint64_t version) {
            node.mirror.applyListing(StateKind::Routes,
                                     {{.name = "main", .revision = Revision(100 + version), .value = accountVersion(version)}},
                                     Revision(100 + version),
                                     ProcessClock::now());
        };
        REQUIRE(runUntil(loop, [&] {
            return reader.fleet.memberCount() == 2 && other.fleet.memberCount() == 2;
        }));
        apply(other, 1);
        apply(reader, 3);
        for (const auto &[from, to] : delivery) {
            reader.fleet.send(other.self.id, deltaMessage(from, to));
        }
        CHECK(runUntil(loop, [&] {
            return other.has(3);
        }));
        reader.fleet.send(other.self.id, deltaMessage(1, 2));
        runUntil(loop, [end = ProcessClock::now() + 50ms] {
            return ProcessClock::now() >= end;
        });
        CHECK(other.mirror.hash(StateKind::Routes) == reader.mirror.hash(StateKind::Routes));
        CHECK(other.mirror.routes()->findAccount(sha256("3")) != nullptr);
        CHECK(other.mirror.routes()->findAccount(sha256("removed")) == nullptr);
        CHECK(other.mirror.routes()->findAccount(sha256("2")) == nullptr);
    }
}

// A key must not be refused while this instance knows that a newer configuration exists.
TEST_CASE("state replicator: a state counts as confirmed only while no newer one is announced")
{
    Pair pair;
    CHECK(runUntil(pair.loop, [&] {
        return pair.other.replicator.confirmedAt(StateKind::Routes).has_value();
    }));
    // The listing never completes.
    pair.other.replicator.setLister(listerCalling([](StateKind) {}));
    pair.reader.applyStoreResponse(routes(2, 1800), 11);
    CHECK(runUntil(pair.loop, [&] {
        return !pair.other.replicator.confirmedAt(StateKind::Routes).has_value();
    }));
    CHECK(pair.reader.replicator.confirmedAt(StateKind::Routes).has_value());
}

// Each call to the store is billed: an instance that starts must not list what others have confirmed a moment ago.
TEST_CASE("state replicator: others confirm an old listing, and what differs in it is replaced before")
{
    const struct {
        const char *name;
        std::uint64_t listedVersion;
        std::uint64_t listedRevision;
    } rows[] = {
        {"same version, older revision", 3, 9},
        {"same version, newer revision", 3, 11},
        {"older version", 2, 8},
        {"older version, newer revision", 2, 11},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        IoLoop loop{1};
        Node reader{loop, "127.0.0.31", {}};
        reader.applyStoreResponse(routes(3, 4), 10);
        Node starting{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};
        const Instant now = ProcessClock::now();
        StartConfirmation &confirmation = starting.mirror.startConfirmation();
        confirmation.record(StateKind::Routes, StateCertainty::OldListing, now);
        starting.mirror.applyListing(
            StateKind::Routes,
            {{.name = "main", .revision = Revision(row.listedRevision), .value = routes(row.listedVersion, 4)}},
            Revision(row.listedRevision),
            now);
        Instant next = now + 100ms;
        std::optional<StateCertainty> onArrival;
        CHECK(runUntil(loop, [&] {
            if (ProcessClock::now() >= next) {
                // The reader's watch ends without changes.
                next += 100ms;
                reader.applyStoreResponse(routes(3, 4), 12);
            }
            if (starting.has(3) && !onArrival) {
                onArrival = confirmation.certainty(StateKind::Routes);
            }
            CHECK((starting.has(3) || confirmation.certainty(StateKind::Routes) != StateCertainty::Current));
            return starting.has(3) && confirmation.certainty(StateKind::Routes) == StateCertainty::Current;
        }));
        // A state that was announced before needs no further digest when it arrives.
        CHECK((row.listedVersion == 3 || onArrival == StateCertainty::Current));
    }
}

// 162 instances that started together each listed the state again, because no digest showed that the store had confirmed
// it.
TEST_CASE("state replicator: the listing of one instance confirms the state of the others that have started with it")
{
    IoLoop loop{1};
    Node first{loop, "127.0.0.31", {}};
    Node second{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};
    for (Node *node : {&first, &second}) {
        node->mirror.applyListing(StateKind::Routes,
                                  {{.name = "main", .revision = Revision(9), .value = routes(2, 4)}},
                                  Revision(9),
                                  ProcessClock::now());
        node->mirror.startConfirmation().record(StateKind::Routes, StateCertainty::OldListing, ProcessClock::now());
    }
    REQUIRE(runUntil(loop, [&] {
        return first.fleet.memberCount() == 2 && second.fleet.memberCount() == 2;
    }));
    CHECK(second.mirror.startConfirmation().certainty(StateKind::Routes) == StateCertainty::OldListing);
    first.replicator.onConfirmed(StateKind::Routes, ProcessClock::now());
    CHECK(runUntil(loop, [&] {
        return second.mirror.startConfirmation().certainty(StateKind::Routes) == StateCertainty::Current;
    }));
}

// All instances had started together: one got the old listing of another one and took it for the state of the fleet.
TEST_CASE("state replicator: an instance with an old listing does not send it to others")
{
    IoLoop loop{1};
    Node first{loop, "127.0.0.31", {}};
    Node second{loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}};
    REQUIRE(runUntil(loop, [&] {
        return first.fleet.memberCount() == 2 && second.fleet.memberCount() == 2;
    }));
    first.mirror.applyListing(
        StateKind::Routes, {{.name = "main", .revision = Revision(9), .value = routes(2, 4)}}, Revision(9), ProcessClock::now());
    first.mirror.startConfirmation().record(StateKind::Routes, StateCertainty::OldListing, ProcessClock::now());
    runUntil(loop, [end = ProcessClock::now() + 500ms] {
        return ProcessClock::now() >= end;
    });
    CHECK(second.mirror.routes() == nullptr);
    first.applyStoreResponse(routes(3, 4), 10);
    CHECK(runUntil(loop, [&] {
        return second.has(3);
    }));
}

// The waits between the requests after one suspension grew to 3.2 s and held for the next one too.
TEST_CASE("state replicator: an instance asks for confirmations without delay after a later suspension")
{
    IoLoop loop{1};
    Node suspended{loop, "127.0.0.31", {}};
    Metrics metrics;
    Fleet other(loop,
                {.cluster = "test",
                 .self = {.id = InstanceId("other"), .peerAddress = std::string("127.0.0.32") + PeerPort},
                 .seeds = {suspended.self.peerAddress}},
                metrics);
    int requests = 0;
    other.setHandler(Wire::Body::kStatePull, [&requests](const InstanceId & /*from*/, const Wire::Body &body) {
        requests += body.state_pull().digest_only() ? 1 : 0;
    });
    const PeriodicTask tickTask(loop, TickInterval, [&other] {
        other.tick(ProcessClock::now());
    });
    REQUIRE(runUntil(loop, [&] {
        return suspended.fleet.memberCount() == 2;
    }));
    const Instant now = ProcessClock::now();
    StartConfirmation &confirmation = suspended.mirror.startConfirmation();
    suspended.mirror.applyListing(
        StateKind::Routes, {{.name = "main", .revision = Revision(9), .value = routes(2, 4)}}, Revision(9), now);
    confirmation.record(StateKind::Routes, StateCertainty::Instance, now);
    // Each of these requests doubles the wait.
    for (Duration elapsed = 5s; elapsed < 60s; elapsed += 5s) {
        suspended.replicator.tick(now + elapsed);
    }
    confirmation.record(StateKind::Routes, StateCertainty::Current, now);
    suspended.replicator.tick(now);
    // The requests sent so far arrive.
    runUntil(loop, [end = ProcessClock::now() + 300ms] {
        return ProcessClock::now() >= end;
    });
    REQUIRE(requests > 0);
    const int before = requests;
    confirmation.restart(ProcessClock::now());
    CHECK(runUntil(loop, [&] {
        return requests > before;
    }));
}

// A reader that sent 1,800 routes to 143 others saturated its link for seconds: two instances received them too late.
TEST_CASE("state replicator: for many routes, only the digest is sent, and the other instance reads the store")
{
    Pair pair;
    bool wasReadByOther = false;
    pair.other.replicator.setLister(listerCalling([&](StateKind kind) {
        CHECK(kind == StateKind::Routes);
        wasReadByOther = true;
        pair.other.applyStoreResponse(routes(2, 1800), 11);
    }));
    const double before = pair.reader.metrics.counter(MetricNames::PeerBytes, {{"direction", "sent"}}).Value();
    pair.reader.applyStoreResponse(routes(2, 1800), 11);
    CHECK(runUntil(pair.loop, [&] {
        return pair.other.has(2);
    }));
    CHECK(wasReadByOther);
    const double sent = pair.reader.metrics.counter(MetricNames::PeerBytes, {{"direction", "sent"}}).Value() - before;
    CHECK(sent < 4096);
}

TEST_CASE("state replicator: an instance that the store does not respond to receives many routes from another one")
{
    Pair pair;
    int reads = 0;
    pair.other.replicator.setLister(listerCalling([&reads](StateKind) {
        ++reads;
    }));
    pair.reader.applyStoreResponse(routes(2, 1800), 11);
    // The reader's watch repeatedly ends without changes, and each time the reader sends its digest.
    Instant next = ProcessClock::now() + 100ms;
    CHECK(runUntil(pair.loop, [&] {
        if (ProcessClock::now() >= next) {
            next += 100ms;
            pair.reader.replicator.onStoreResponse(
                StateKind::Routes, pair.reader.mirror.revision(StateKind::Routes), {}, ProcessClock::now());
        }
        return pair.other.has(2);
    }));
    CHECK(reads >= 1);
}

// In a fleet with thousands of upstreams, each instance that missed one message pulled all of them.
TEST_CASE("state replicator: an instance that missed some changes receives these and not all upstreams")
{
    constexpr int upstreams = 1000;
    constexpr double bytesPerUpstream = 60;
    Pair pair;
    pair.reader.mirror.applyListing(StateKind::Upstreams, {}, Revision(20), ProcessClock::now());
    pair.reader.replicator.onStoreResponse(
        StateKind::Upstreams, Revision(20), pair.reader.applyUpstreams(1, upstreams, 21), ProcessClock::now());
    const auto isEqual = [&] {
        return pair.other.mirror.hash(StateKind::Upstreams) == pair.reader.mirror.hash(StateKind::Upstreams);
    };
    REQUIRE(runUntil(pair.loop, isEqual));

    // These changes are not sent; only the digest of the next, empty response shows them.
    pair.reader.applyUpstreams(1, 50, 22);
    const double before = pair.reader.sentBytes();
    Instant next = ProcessClock::now();
    CHECK(runUntil(pair.loop, [&] {
        if (ProcessClock::now() >= next) {
            pair.reader.replicator.onStoreResponse(StateKind::Upstreams, Revision(22), {}, ProcessClock::now());
            next = ProcessClock::now() + 500ms;
        }
        return isEqual();
    }));
    CHECK(pair.other.mirror.revision(StateKind::Upstreams) == Revision(22));
    CHECK(pair.reader.sentBytes() - before < upstreams * bytesPerUpstream / 2);
}

TEST_CASE("state replicator: an instance whose upstreams differ at the same revision receives all of them")
{
    Pair pair;
    pair.reader.mirror.applyListing(StateKind::Upstreams, {}, Revision(20), ProcessClock::now());
    pair.other.mirror.applyListing(StateKind::Upstreams, {}, Revision(20), ProcessClock::now());
    pair.reader.applyUpstreams(1, 100, 21);
    pair.other.applyUpstreams(1, 99, 21);
    Instant next = ProcessClock::now();
    CHECK(runUntil(pair.loop, [&] {
        if (ProcessClock::now() >= next) {
            pair.reader.replicator.onStoreResponse(StateKind::Upstreams, Revision(21), {}, ProcessClock::now());
            next = ProcessClock::now() + 500ms;
        }
        return pair.other.mirror.hash(StateKind::Upstreams) == pair.reader.mirror.hash(StateKind::Upstreams);
    }));
}

namespace {

/** A pair whose instances both have upstreams 1 to 3 at revision 20; the reader has always had contact with the store. */
struct PairWithUpstreams : Pair {
    PairWithUpstreams()
    {
        const Instant now = ProcessClock::now();
        for (const Duration age : {6000ms, 4000ms, 2000ms, 0ms}) {
            reader.mirror.recordStoreCall(true, now - age);
        }
        reader.mirror.applyListing(StateKind::Upstreams, listing({1, 2, 3}, 20), Revision(20), now);
        other.mirror.applyListing(StateKind::Upstreams, listing({1, 2, 3}, 20), Revision(20), now);
    }

    /** The other instance does not reach the store for three seconds. */
    void cutOffOther()
    {
        const Instant now = ProcessClock::now();
        other.mirror.recordStoreCall(true, now - 3500ms);
        for (const Duration age : {3000ms, 2000ms, 1000ms, 0ms}) {
            other.mirror.recordStoreCall(false, now - age);
        }
    }

    /** The other instance reaches the store again and lists the upstreams 2 and 3. */
    void returnOther(std::uint64_t revision)
    {
        const Instant now = ProcessClock::now();
        const std::optional<Revision> before = other.mirror.revision(StateKind::Upstreams);
        other.mirror.recordStoreCall(true, now);
        const MirrorChanges changes =
            other.mirror.applyListing(StateKind::Upstreams, listing({2, 3}, 20), Revision(revision), now);
        other.replicator.onStoreResponse(StateKind::Upstreams, before, changes, now);
    }

    /** The store confirms the reader's state, whose digest goes to the other instance. */
    void confirmReader()
    {
        const Instant now = ProcessClock::now();
        reader.mirror.recordStoreCall(true, now);
        reader.replicator.onStoreResponse(StateKind::Upstreams, reader.mirror.revision(StateKind::Upstreams), {}, now);
    }

    /** Runs both instances for @p time; returns whether @p node ever had @p id. */
    bool hadUpstreamWithin(Duration time, const Node &node, const std::string &id)
    {
        const Instant end = ProcessClock::now() + time;
        bool wasSeen = false;
        runUntil(loop, [&] {
            wasSeen = wasSeen || hasUpstream(node, id);
            return ProcessClock::now() >= end;
        });
        return wasSeen;
    }
};

} // namespace

// Guards against review/3: an instance that was cut off kept removed upstreams, and the others pulled them from it.
TEST_CASE("state replicator: an instance that was cut off does not bring removed upstreams back at others")
{
    PairWithUpstreams pair;
    pair.cutOffOther();
    pair.reader.mirror.applyListing(StateKind::Upstreams, listing({2, 3}, 20), Revision(21), ProcessClock::now());
    REQUIRE_FALSE(hasUpstream(pair.reader, "upstream-1"));
    SUBCASE("when its listing has the revision of the others")
    {
        pair.returnOther(21);
    }
    SUBCASE("when its listing has a later revision")
    {
        pair.returnOther(25);
    }
    CHECK_FALSE(pair.hadUpstreamWithin(700ms, pair.reader, "upstream-1"));
    // The digest of the reader shows that only the other instance had no contact.
    pair.confirmReader();
    CHECK(runUntil(pair.loop, [&] {
        pair.other.mirror.tick(ProcessClock::now());
        return !hasUpstream(pair.other, "upstream-1");
    }));
}

// Guards against a removal that a refused instance deferred, and that the others skipped because its push raised their revision.
TEST_CASE("state replicator: an instance with contact to the store follows a removal that another one takes for an expiry")
{
    PairWithUpstreams pair;
    pair.cutOffOther();
    pair.returnOther(22);
    CHECK(runUntil(pair.loop, [&] {
        return !hasUpstream(pair.reader, "upstream-1");
    }));
    CHECK(pair.reader.mirror.revision(StateKind::Upstreams) == Revision(22));
}

// Guards against an instance that stopped its calls during an outage and took its end for the time of its next call, much later.
TEST_CASE("state replicator: digests of others end an outage for an instance that no longer calls the store")
{
    PairWithUpstreams pair;
    pair.other.mirror.recordStoreCall(false, ProcessClock::now() - 30s);
    pair.other.mirror.recordStoreCall(false, ProcessClock::now() - 28s);
    pair.confirmReader();
    pair.hadUpstreamWithin(200ms, pair.other, "upstream-1");
    pair.returnOther(22);
    CHECK_FALSE(hasUpstream(pair.other, "upstream-1"));
}

// An outage of the store: upstreams whose entries expired stay in use on all instances, also on those that make no calls.
TEST_CASE("state replicator: upstreams whose entries expired in an outage are kept by all instances until the grace time ends")
{
    Pair pair;
    const Instant lastResponse = ProcessClock::now() - 8s;
    for (Node *node : {&pair.reader, &pair.other}) {
        node->mirror.recordStoreCall(true, lastResponse);
        node->mirror.applyListing(StateKind::Upstreams, listing({1, 2, 3}, 20), Revision(20), lastResponse);
    }
    pair.reader.mirror.recordStoreCall(false, ProcessClock::now() - 7s);
    pair.reader.mirror.recordStoreCall(false, ProcessClock::now() - 1s);
    const Instant end = ProcessClock::now();
    pair.reader.mirror.recordStoreCall(true, end);
    const MirrorChanges changes = pair.reader.mirror.applyListing(StateKind::Upstreams, listing({3}, 20), Revision(30), end);
    pair.reader.replicator.onStoreResponse(StateKind::Upstreams, Revision(20), changes, end);
    REQUIRE(runUntil(pair.loop, [&] {
        return pair.other.mirror.revision(StateKind::Upstreams) == Revision(30);
    }));
    for (Node *node : {&pair.reader, &pair.other}) {
        node->mirror.tick(end + 2000ms);
        CHECK(node->mirror.upstreams().size() == 3);
    }
    CHECK(pair.other.mirror.hash(StateKind::Upstreams) == pair.reader.mirror.hash(StateKind::Upstreams));
    for (Node *node : {&pair.reader, &pair.other}) {
        node->mirror.tick(ProcessClock::now() + 2100ms);
        CHECK(node->mirror.upstreams().size() == 1);
    }
}

// An instance without the setting, or of an earlier version, exchanges the other kinds with those that have it.
TEST_CASE("state replicator: evacuations reach the other instances, and one that does not use them ignores all messages on them")
{
    for (const bool isUsed : {true, false}) {
        CAPTURE(isUsed);
        IoLoop loop{1};
        Node reader(loop, "127.0.0.31", {});
        Node other(loop, "127.0.0.32", {std::string("127.0.0.31") + PeerPort}, isUsed);
        REQUIRE(runUntil(loop, [&] {
            return reader.fleet.memberCount() == 2 && other.fleet.memberCount() == 2;
        }));
        const auto respond = [&reader](std::vector<StateObject> listed, std::uint64_t revision) {
            const std::optional<Revision> before = reader.mirror.revision(StateKind::Evacuations);
            const MirrorChanges changes =
                reader.mirror.applyListing(StateKind::Evacuations, std::move(listed), Revision(revision), ProcessClock::now());
            reader.replicator.onStoreResponse(StateKind::Evacuations, before, changes, ProcessClock::now());
        };
        const StateObject zone{.name = "zone-1", .revision = Revision(9), .value = ZoneEvacuation()};
        // The first listing is announced by a digest and pulled; the later ones are pushed.
        respond({zone}, 10);
        CHECK(runUntil(loop,
                       [&] {
                           return other.mirror.evacuations().contains(AvailabilityZone("zone-1"));
                       })
              == isUsed);
        respond({}, 11);
        reader.applyStoreResponse(routes(1, 4), 12);
        CHECK(runUntil(loop, [&] {
            return other.has(1) && other.mirror.evacuations().zones().empty();
        }));
        CHECK(other.mirror.revision(StateKind::Evacuations).has_value() == isUsed);
    }
}
