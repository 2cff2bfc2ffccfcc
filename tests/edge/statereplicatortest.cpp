#include "edge/statereplicator.h"

#include "support/loopserver.h"

#include <doctest/doctest.h>

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
    Node(IoLoop &loop, const std::string &ip, std::vector<std::string> seeds)
        : self{.id = InstanceId(ip), .peerAddress = ip + PeerPort, .adminAddress = {}, .zone = {}, .region = {}, .capacity = 100}
        , fleet(loop, {.cluster = "test", .self = self, .seeds = std::move(seeds)}, metrics)
        , router({.self = self.id, .zone = AvailabilityZone("z"), .send = fleet.sender()})
        , replicator(mirror, fleet, {}, [](const MirrorChanges &) {})
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
    pair.other.replicator.setSingleListing([&reads](StateKind) {
        ++reads;
    });
    pair.reader.applyStoreResponse(routes(2, 5), 11);
    CHECK(runUntil(pair.loop, [&] {
        return pair.other.has(2);
    }));
    CHECK(reads == 0);
}

// A reader that sent 1,800 routes to 143 others saturated its link for seconds: two instances received them too late.
TEST_CASE("state replicator: for many routes, only the digest is sent, and the other instance reads the store")
{
    Pair pair;
    bool wasReadByOther = false;
    pair.other.replicator.setSingleListing([&](StateKind kind) {
        CHECK(kind == StateKind::Routes);
        wasReadByOther = true;
        pair.other.applyStoreResponse(routes(2, 1800), 11);
    });
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
    pair.other.replicator.setSingleListing([&reads](StateKind) {
        ++reads;
    });
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
