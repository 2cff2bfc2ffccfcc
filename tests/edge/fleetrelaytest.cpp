#include "edge/fleet.h"

#include "support/loopserver.h"

#include <doctest/doctest.h>

#include <map>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr const char *PeerPort = ":17661";
constexpr const char *Seed = "127.0.0.41:17661";
constexpr Duration TickInterval = std::chrono::milliseconds(10);

struct NodeOptions {
    std::string ip;
    std::string zone;
    std::uint32_t capacity = 100;
};

/** An instance that counts the digests it receives, by their sender. */
class Node
{
public:
    Node(IoLoop &loop, const NodeOptions &options)
        : fleet(loop,
                {.cluster = "relay-test",
                 .self = {.id = InstanceId(options.ip),
                          .peerAddress = options.ip + PeerPort,
                          .adminAddress = {},
                          .zone = AvailabilityZone(options.zone),
                          .region = {},
                          .capacity = options.capacity},
                 .seeds = {Seed}},
                metrics)
        , router({.self = InstanceId(options.ip), .zone = AvailabilityZone(options.zone), .send = fleet.sender()})
        , zone(options.zone)
        , m_tickTask(loop, TickInterval, [this] {
            fleet.tick(ProcessClock::now());
        })
    {
        fleet.setRouter(router);
        fleet.setHandler(Wire::Body::kStateDigest, [this](const InstanceId &from, const Wire::Body & /*body*/) {
            ++digests[from];
        });
        fleet.setHandler(Wire::Body::kStateSeek, [this](const InstanceId & /*from*/, const Wire::Body & /*body*/) {
            ++seeks;
        });
    }

    Metrics metrics;
    Fleet fleet;
    Router router;
    std::string zone;
    std::map<InstanceId, int> digests;
    int seeks = 0;

private:
    PeriodicTask m_tickTask;
};

/** A fleet with five instances in each of two zones and two in a third. */
struct Zones {
    IoLoop loop{1};
    std::vector<std::unique_ptr<Node>> nodes;

    explicit Zones(const std::string &firstZone = "a")
    {
        const std::vector<std::string> zones = {firstZone, "a", "a", "a", "a", "b", "b", "b", "b", "b", "c", "c"};
        for (std::size_t index = 0; index < zones.size(); ++index) {
            nodes.push_back(
                std::make_unique<Node>(loop, NodeOptions{.ip = "127.0.0." + std::to_string(41 + index), .zone = zones[index]}));
        }
        REQUIRE(runUntil(loop, [this] {
            return std::all_of(nodes.begin(), nodes.end(), [this](const auto &node) {
                return node->fleet.memberCount() == nodes.size();
            });
        }));
    }

    void sendDigest(Node &sender)
    {
        Wire::Envelope envelope;
        envelope.add_bodies()->mutable_state_digest()->set_revision(1);
        sender.fleet.sendToAll(envelope);
    }

    bool waitForDigests(const Node &sender, int count)
    {
        return runUntil(loop, [&] {
            return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) {
                return node.get() == &sender || node->digests[sender.fleet.self()] == count;
            });
        });
    }
};

double sentMessages(const Node &node)
{
    return const_cast<Node &>(node).metrics.counter(MetricNames::PeerMessages, {{"direction", "sent"}}).Value();
}

} // namespace

// After a restart without any other instance, no instance led the owners of quotas, and accounts were refused.
TEST_CASE("fleet: an instance without others counts itself")
{
    IoLoop loop{1};
    const Node node(loop, {.ip = "127.0.0.40", .zone = "a"});
    CHECK(node.fleet.memberIds() == std::vector<InstanceId>{InstanceId("127.0.0.40")});
    CHECK(node.fleet.coordinatorIds().size() == 1);
}

// Load pattern: a fleet over several zones, in which each change of the state goes to all instances.
TEST_CASE("fleet: a message to all crosses to a large zone once and arrives everywhere once, as from its sender")
{
    Zones zones;
    Node &sender = *zones.nodes[0];
    for (int count = 1; count <= 3; ++count) {
        const double before = sentMessages(sender);
        zones.sendDigest(sender);
        // Four in its own zone, one relay in zone b, both instances of the small zone c.
        CHECK(sentMessages(sender) - before == 7);
        sender.fleet.rotateRelays();
        CHECK(zones.waitForDigests(sender, count));
    }
}

TEST_CASE("fleet: an instance whose zone is unknown gets messages directly and sends directly to all others")
{
    Zones zones("");
    Node &unknown = *zones.nodes[0];
    zones.sendDigest(*zones.nodes[5]);
    CHECK(zones.waitForDigests(*zones.nodes[5], 1));
    zones.sendDigest(unknown);
    CHECK(zones.waitForDigests(unknown, 1));
}

TEST_CASE("fleet: when a relay has stopped, the messages after a rotation arrive by another one")
{
    Zones zones;
    Node &sender = *zones.nodes[0];
    zones.nodes.erase(zones.nodes.begin() + 6);
    int rounds = 0;
    const bool arrived = runUntil(zones.loop, [&] {
        zones.sendDigest(sender);
        sender.fleet.rotateRelays();
        ++rounds;
        return std::all_of(zones.nodes.begin() + 1, zones.nodes.end(), [&](const auto &node) {
            return node->digests[sender.fleet.self()] >= 4;
        });
    });
    CHECK(arrived);
}

TEST_CASE("fleet: a relayed message that contains a relayed message is not passed on")
{
    Zones zones;
    Wire::Envelope envelope;
    Wire::Relay &inner = *envelope.add_bodies()->mutable_relay();
    inner.set_origin("127.0.0.99");
    inner.set_forward(true);
    inner.add_bodies()->mutable_state_seek();
    // Sent as a relay, which contains the relay above.
    zones.nodes[0]->fleet.sendToAll(envelope);
    zones.sendDigest(*zones.nodes[0]);
    CHECK(zones.waitForDigests(*zones.nodes[0], 1));
    for (const auto &node : zones.nodes) {
        CHECK((node->zone != "b" || node->seeks == 0));
    }
}
