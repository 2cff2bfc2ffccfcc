#include "edge/fleet.h"

#include "support/loopserver.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

// Instances that had been suspended took digests that had arrived meanwhile for current ones, and went on with an old state.
TEST_CASE("receive filter: messages that arrived during a suspension are dropped, later ones are handled")
{
    constexpr const char *cluster = "filter-test";
    constexpr const char *address = "127.0.0.48:17667";
    IoLoop loop{1};
    Metrics metrics;
    Fleet fleet(loop, {.cluster = cluster, .self = {.id = InstanceId("suspended"), .peerAddress = address}}, metrics);
    int received = 0;
    fleet.setHandler(Wire::Body::kStateDigest, [&received](const InstanceId & /*from*/, const Wire::Body & /*body*/) {
        ++received;
    });
    bool hasResumed = true;
    fleet.setReceiveFilter([&] {
        if (!std::exchange(hasResumed, false)) {
            return false;
        }
        fleet.discardPending();
        return true;
    });
    PeerSocket sender(loop,
                      {.cluster = cluster, .self = InstanceId("sender"), .listen = {Asio::ip::make_address("127.0.0.49"), 17667}},
                      metrics,
                      [](std::string_view /*bytes*/) {});
    sender.setAddress(InstanceId("suspended"), address);
    const auto send = [&sender] {
        Wire::Envelope envelope;
        envelope.add_bodies()->mutable_state_digest();
        sender.send(InstanceId("suspended"), std::move(envelope));
    };
    for (int count = 0; count < 5; ++count) {
        send();
    }
    REQUIRE(runUntil(loop, [&hasResumed] {
        return !hasResumed;
    }));
    send();
    REQUIRE(runUntil(loop, [&received] {
        return received > 0;
    }));
    CHECK(received == 1);
}
