#include <filbertmount/routing/router.h>

#include "routing/slotwire.h"

#include "peer.pb.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <thread>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

const ServiceName Shop("shopfront");

std::vector<RoutedUpstream> twoUpstreams()
{
    return {{.id = UpstreamId("u0"), .address = "127.0.0.1:1", .zone = {}, .slots = 1},
            {.id = UpstreamId("u1"), .address = "127.0.0.1:2", .zone = {}, .slots = 1}};
}

/** Connects several routers through a message queue and a virtual clock, both advanced by the test. */
class Network
{
public:
    explicit Network(const std::vector<std::string> &names)
    {
        std::vector<InstanceId> members;
        members.reserve(names.size());
        for (const std::string &name : names) {
            members.emplace_back(name);
        }
        for (const InstanceId &member : members) {
            RouterOptions options{.self = member};
            options.clock = [this] {
                return now;
            };
            options.send = [this, member](const InstanceId &to, Wire::Envelope envelope) {
                queue.push_back({member, to, std::move(envelope)});
            };
            routers[member] = std::make_unique<Router>(std::move(options));
            routers[member]->updateUpstreams(Shop, twoUpstreams());
        }
        for (const InstanceId &member : members) {
            routers[member]->setMembers(members);
        }
        deliver();
    }

    void deliver()
    {
        while (!queue.empty()) {
            Message message = std::move(queue.front());
            queue.erase(queue.begin());
            for (const Wire::Body &body : message.envelope.bodies()) {
                CHECK(routers.at(message.to)->handleMessage(message.from, body));
            }
        }
    }

    void tick(Duration step)
    {
        now += step;
        for (const auto &[id, router] : routers) {
            router->tick(now);
        }
    }

    /** Returns a router other than that of @p id. */
    Router &other(const InstanceId &id)
    {
        return routers.begin()->first == id ? *routers.rbegin()->second : *routers.begin()->second;
    }

    struct Message {
        InstanceId from;
        InstanceId to;
        Wire::Envelope envelope;
    };

    std::map<InstanceId, std::unique_ptr<Router>> routers;
    std::vector<Message> queue;
    Instant now{Duration(1s)};
};

InstanceId dispatcherOf(Router &router)
{
    return router.status().services.at(0).dispatcher;
}

} // namespace

TEST_CASE("router: several instances share the slots through one dispatcher")
{
    Network network({"entry-a", "entry-b"});
    const InstanceId dispatcher = dispatcherOf(*network.routers.begin()->second);
    CHECK(dispatcherOf(*network.routers.rbegin()->second) == dispatcher);
    Router &remote = network.other(dispatcher);

    std::vector<Placement> placements;
    const auto keep = [&](PlacementResult result) {
        placements.push_back(std::get<Placement>(result));
    };
    const PlacementQuery query{.service = Shop, .deadline = network.now + 1s};
    remote.place(query, keep);
    CHECK(placements.empty());
    network.deliver();
    network.routers.at(dispatcher)->place(query, keep);
    REQUIRE(placements.size() == 2);
    CHECK(placements[0].upstream != placements[1].upstream);
    CHECK(placements[0].dispatcher == dispatcher);
    CHECK(placements[0].grant != 0);

    remote.place(query, keep);
    network.deliver();
    CHECK(placements.size() == 2);
    network.routers.at(dispatcher)->release(placements[1], {AttemptOutcome::Success, 5ms});
    network.deliver();
    CHECK(placements.size() == 3);
}

TEST_CASE("router: places locally when the dispatcher does not respond, and releases the late grant")
{
    Network network({"entry-a", "entry-b"});
    const InstanceId dispatcher = dispatcherOf(*network.routers.begin()->second);
    Router &remote = network.other(dispatcher);
    int results = 0;
    remote.place({.service = Shop, .deadline = network.now + 1s}, [&](PlacementResult result) {
        ++results;
        CHECK(std::get<Placement>(result).grant == 0);
    });
    network.tick(10ms);
    CHECK(results == 1);
    network.deliver();
    network.tick(10ms);
    network.deliver();
    CHECK(results == 1);
    int taken = 0;
    const RouterStatus status = network.routers.at(dispatcher)->status();
    for (const UpstreamStatus &upstream : status.services.at(0).upstreams) {
        taken += upstream.dispatchedInFlight;
    }
    // Only the locally placed attempt remains, which the dispatcher counts from the instance's report.
    CHECK(taken == 1);
}

TEST_CASE("router: rejects malformed messages and those about unknown services or upstreams")
{
    Router router;
    router.updateUpstreams(Shop, twoUpstreams());
    const InstanceId peer("peer");
    Wire::Body body;
    CHECK_FALSE(router.handleMessage(peer, body));
    body.mutable_slot_release()->set_service("unknown");
    CHECK_FALSE(router.handleMessage(peer, body));
    body.mutable_slot_release()->set_service(Shop.value());
    body.mutable_slot_release()->set_grant(1);
    body.mutable_slot_release()->set_upstream("nobody");
    CHECK_FALSE(router.handleMessage(peer, body));
    body.mutable_slot_release()->set_upstream("u0");
    body.mutable_slot_release()->set_outcome(1000);
    CHECK_FALSE(router.handleMessage(peer, body));
}

TEST_CASE("slot messages are unchanged after encoding and decoding")
{
    UpstreamTable table;
    table.update(twoUpstreams(), Instant(1s));
    const auto roundTrip = [&](const SlotMessage &message) {
        const ReceivedSlotMessage received = fromWire(toWire(message, Shop, table), table);
        REQUIRE(std::holds_alternative<SlotMessage>(received));
        return std::get<SlotMessage>(received);
    };
    const SlotMessage sent =
        SlotRequest{.request = 7, .rank = 1, .flow = FlowId(9), .timeLeft = 3ms, .excluded = {1}, .isImmediate = true};
    const auto request = std::get<SlotRequest>(roundTrip(sent));
    CHECK(request.request == 7);
    CHECK(request.rank == 1);
    CHECK(request.flow == FlowId(9));
    CHECK(request.timeLeft == 3ms);
    CHECK(request.excluded.at(0) == 1);
    CHECK(request.isImmediate);
    const SlotRelease release{.grant = 4, .upstream = 1, .report = {AttemptOutcome::Broken, 9ms, {}, {.warmup = 2s}}};
    const auto released = std::get<SlotRelease>(roundTrip(release));
    CHECK(released.upstream == 1);
    CHECK(released.report.outcome == AttemptOutcome::Broken);
    CHECK(released.report.serviceTime == 9ms);
    CHECK(released.report.signals.warmup == 2s);
    const InFlightReport report{.upstreams = {{.upstream = 1, .attempts = 3}}, .lastGrant = 5};
    CHECK(std::get<InFlightReport>(roundTrip(report)).upstreams.at(0).attempts == 3);
}

TEST_CASE("router: responds to each placement request exactly once under concurrent calls")
{
    Router router;
    router.updateUpstreams(Shop, twoUpstreams());
    std::atomic<int> results = 0;
    constexpr int perThread = 200;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int worker = 0; worker < 4; ++worker) {
        threads.emplace_back([&] {
            for (int call = 0; call < perThread; ++call) {
                router.place({.service = Shop}, [&](PlacementResult result) {
                    ++results;
                    if (const Placement *placement = std::get_if<Placement>(&result)) {
                        router.release(*placement, {AttemptOutcome::Success, 1ms});
                    }
                });
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(results == 4 * perThread);
    CHECK(router.status().inProgress == 0);
}
