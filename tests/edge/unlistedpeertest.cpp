#include "edge/fleet.h"
#include "edge/peersocket.h"

#include "support/loopserver.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr const char *Cluster = "unlisted-test";
constexpr const char *FleetAddress = "127.0.0.45:17662";

/** An instance that the fleet does not know as a member, because it has not joined. */
class Stranger
{
public:
    Stranger(IoLoop &loop, const std::string &id, const std::string &address)
        : m_dispatcher({.cluster = Cluster, .onDrop = {}})
        , m_socket(loop,
                   {.cluster = Cluster,
                    .self = InstanceId(id),
                    .listen = {Asio::ip::make_address(address.substr(0, address.find(':'))), 17662}},
                   m_metrics,
                   [this](std::string_view bytes) {
                       m_dispatcher.receive(bytes);
                   })
    {
        m_dispatcher.setHandler(Wire::Body::kStateDigest, [this](const InstanceId & /*from*/, const Wire::Body & /*body*/) {
            ++answers;
        });
        m_socket.setAddress(InstanceId("fleet"), FleetAddress);
    }

    void ask(bool isRelayed = false)
    {
        Wire::Envelope envelope;
        if (isRelayed) {
            Wire::Relay &relay = *envelope.add_bodies()->mutable_relay();
            relay.set_origin("absent");
            relay.add_bodies()->mutable_state_pull();
        } else {
            envelope.add_bodies()->mutable_state_pull();
        }
        m_socket.send(InstanceId("fleet"), std::move(envelope));
    }

    int answers = 0;

private:
    Metrics m_metrics;
    PeerDispatcher m_dispatcher;
    PeerSocket m_socket;
};

/** An instance that answers each pull with a digest. */
struct Answerer {
    explicit Answerer(IoLoop &loop)
        : fleet(loop, {.cluster = Cluster, .self = {.id = InstanceId("fleet"), .peerAddress = FleetAddress}}, metrics)
    {
        fleet.setHandler(Wire::Body::kStatePull, [this](const InstanceId &from, const Wire::Body & /*body*/) {
            ++pulls;
            Wire::Envelope envelope;
            envelope.add_bodies()->mutable_state_digest();
            fleet.send(from, std::move(envelope));
        });
    }

    [[nodiscard]] double undelivered()
    {
        return metrics.counter(MetricNames::PeerDropped, {{"reason", "no-address"}}).Value();
    }

    Metrics metrics;
    Fleet fleet;
    int pulls = 0;
};

} // namespace

// An instance that had just started asked for the newer state that a digest had announced. The other one did not know it as a
// member yet and dropped its answer, so the older state stayed in force.
TEST_CASE("unlisted peer: an instance that is not known as a member yet receives the answer to its message")
{
    IoLoop loop{1};
    Answerer answerer(loop);
    Stranger stranger(loop, "starting", "127.0.0.46:17662");
    stranger.ask();
    CHECK(runUntil(loop, [&] {
        return stranger.answers > 0;
    }));
}

// A relayed message has the address of the relay, which must not receive the answers to its origin.
TEST_CASE("unlisted peer: the sender of a relayed message does not receive what is sent to the origin")
{
    IoLoop loop{1};
    Answerer answerer(loop);
    Stranger relay(loop, "relay", "127.0.0.46:17662");
    relay.ask(true);
    REQUIRE(runUntil(loop, [&] {
        return answerer.pulls > 0;
    }));
    CHECK(answerer.undelivered() == 1);
    CHECK(relay.answers == 0);
}

// Senders cost memory only up to a bound, also when every message has another id.
TEST_CASE("unlisted peer: only the latest senders are remembered")
{
    IoLoop loop{1};
    Metrics metrics;
    PeerSocket receiver(
        loop,
        {.cluster = Cluster, .self = InstanceId("fleet"), .listen = {Asio::ip::make_address("127.0.0.45"), 17662}},
        metrics,
        [](std::string_view /*bytes*/) {});
    const int senders = static_cast<int>(PeerSocket::MaxUnlistedPeers) + 10;
    for (int number = 0; number < senders; ++number) {
        receiver.rememberSender(InstanceId(std::to_string(number)));
    }
    CHECK_FALSE(receiver.canReach(InstanceId("0")));
    CHECK(receiver.canReach(InstanceId(std::to_string(senders - 1))));
    CHECK(receiver.canReach(InstanceId(std::to_string(senders - static_cast<int>(PeerSocket::MaxUnlistedPeers)))));
}
