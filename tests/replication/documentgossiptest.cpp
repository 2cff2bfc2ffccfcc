#include "support/documentfleet.h"

#include <filbertmount/replication/storereadschedule.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName Shopfront("shopfront");

} // namespace

// Guards against a change that takes longer than 3 s to reach every instance when messages are lost.
TEST_CASE("document gossip reaches every instance within 3 s under loss, duplicates and reordering")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        DocumentFleet fleet(14, {.seed = seed, .loss = 0.1, .duplicate = 0.1, .maxDelay = milliseconds(20)});
        fleet.network.runFor(seconds(1));
        fleet.change(seed % 14, Shopfront, 5, "first");
        fleet.change((seed + 3) % 14, Shopfront, 9, "second");
        fleet.change((seed + 7) % 14, Shopfront, 7, "late");
        fleet.network.runFor(seconds(3));
        CHECK(fleet.countHolding(Shopfront, 9) == 14);
    }
}

// Guards against a document that reverts to an older revision after a partition or on a frozen instance.
TEST_CASE("documents never revert across a partition and a freeze")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        DocumentFleet fleet(8, {.seed = seed});
        fleet.change(0, Shopfront, 1, "first");
        fleet.network.runFor(seconds(3));
        REQUIRE(fleet.countHolding(Shopfront, 1) == 8);
        const InstanceId frozen = fleet.nodes[7]->id;
        fleet.network.freeze(frozen);
        for (int left = 0; left < 4; ++left) {
            for (int right = 4; right < 8; ++right) {
                fleet.network.cut(fleet.nodes[left]->id, fleet.nodes[right]->id);
                fleet.network.cut(fleet.nodes[right]->id, fleet.nodes[left]->id);
            }
        }
        fleet.change(0, Shopfront, 2, "second");
        fleet.network.runFor(seconds(3));
        CHECK(fleet.countHolding(Shopfront, 2) == 4);
        fleet.network.healAll();
        fleet.network.thaw(frozen);
        fleet.network.runFor(seconds(3));
        CHECK(fleet.countHolding(Shopfront, 2) == 8);
    }
}

// Guards against a new instance that cannot serve while the store is down although its peers hold the documents.
TEST_CASE("an instance that joins receives all documents and tombstones from peers")
{
    DocumentFleet fleet(3, {.seed = 4});
    for (auto &node : fleet.nodes) {
        node->gate.confirm(fleet.network.now());
        for (std::uint64_t index = 0; index < 300; ++index) {
            node->table.apply(ServiceName("s" + std::to_string(index)), Revision(index + 1), index == 9 ? "deleted" : "value");
        }
    }
    DocumentNode &added = fleet.add(InstanceId("new"));
    CHECK_FALSE(added.gate.admits(fleet.network.now(), false));
    fleet.network.runFor(seconds(1));
    CHECK(added.gate.confirmed());
    CHECK(added.table.digest().root == fleet.nodes.front()->table.digest().root);
    CHECK(added.table.find(ServiceName("s9")) == nullptr);
}

// Guards against serving with documents that were replaced while the process was frozen.
TEST_CASE("a frozen instance holds requests until its documents are confirmed")
{
    DocumentFleet fleet(4, {.seed = 2, .minDelay = milliseconds(1), .maxDelay = milliseconds(1)});
    for (auto &node : fleet.nodes) {
        node->gate.confirm(fleet.network.now());
    }
    fleet.change(0, Shopfront, 1, "first");
    fleet.network.runFor(seconds(3));
    DocumentNode &node = *fleet.nodes[3];
    fleet.network.freeze(node.id);
    fleet.change(0, Shopfront, 2, "second");
    fleet.network.runFor(seconds(5));
    fleet.network.thaw(node.id);
    // The request path detects the suspension before the first tick.
    CHECK_FALSE(node.gate.admits(fleet.network.now(), true));
    bool servedOld = false;
    for (int step = 0; step < 400; ++step) {
        fleet.network.runFor(milliseconds(1));
        servedOld = servedOld || (node.gate.admits(fleet.network.now(), true) && node.table.revision(Shopfront) < Revision(2));
    }
    CHECK_FALSE(servedOld);
    CHECK(node.gate.confirmed());
}

// Guards against two instances on one stalled host that confirm each other's outdated documents.
TEST_CASE("instances that were frozen together do not confirm each other")
{
    DocumentFleet fleet(2, {.seed = 2});
    fleet.change(0, Shopfront, 1, "first");
    fleet.network.runFor(milliseconds(300));
    CHECK(fleet.countHolding(Shopfront, 1) == 2);
    CHECK_FALSE(fleet.nodes[0]->gate.confirmed());
    CHECK_FALSE(fleet.nodes[1]->gate.confirmed());
    // Instances that have documents serve them unconfirmed after maxHold.
    CHECK_FALSE(fleet.nodes[0]->gate.admits(fleet.network.now(), true));
    fleet.network.runFor(milliseconds(300));
    CHECK(fleet.nodes[0]->gate.admits(fleet.network.now(), true));
    CHECK_FALSE(fleet.nodes[0]->gate.admits(fleet.network.now(), false));
}

TEST_CASE("freshness gate ignores a confirmation that was started before the suspension")
{
    const Instant start{};
    FreshnessGate gate({}, start);
    gate.confirm(start);
    CHECK(gate.admits(start + milliseconds(900), true));
    CHECK_FALSE(gate.tick(start + milliseconds(900)));
    CHECK(gate.tick(start + milliseconds(2000)));
    gate.confirm(start + milliseconds(1999));
    CHECK_FALSE(gate.confirmed());
    gate.confirm(start + milliseconds(2000));
    CHECK(gate.confirmed());
}

// Guards against a small pull that makes an instance send the same document many times.
TEST_CASE("a pull that repeats a name is answered once")
{
    DocumentFleet fleet(1, {});
    DocumentNode &node = *fleet.nodes.front();
    node.table.apply(Shopfront, Revision(1), std::string(1000, 'x'));
    Wire::Body body;
    for (int index = 0; index < 1000; ++index) {
        body.mutable_document_pull()->add_services(Shopfront.value());
    }
    const PeerOutbox outbox = node.gossip.receive(InstanceId("peer"), body, fleet.network.now());
    REQUIRE(outbox.size() == 1);
    CHECK(outbox.front().envelope.bodies(0).document_push().documents_size() == 1);
}

// Guards against a store load that grows with the fleet.
TEST_CASE("watches and listings of the fleet do not depend on its size")
{
    for (const std::size_t size : {14U, 100U, 400U}) {
        CAPTURE(size);
        std::vector<InstanceId> members;
        for (std::size_t index = 0; index < size; ++index) {
            members.emplace_back("entry-" + std::to_string(index));
        }
        int watchers = 0;
        std::size_t listings = 0;
        constexpr int observed = 600;
        for (std::size_t index = 0; index < size; ++index) {
            StoreReadSchedule schedule(
                {.self = members[index], .region = Region("riga"), .expectedMembers = size, .seed = index + 1}, Instant{});
            watchers += schedule.holdsWatch(members) ? 1 : 0;
            for (int second = 0; second < observed; ++second) {
                listings += schedule.listingDue(Instant{} + seconds(second), size) ? 1 : 0;
            }
        }
        CHECK(watchers == 2);
        CHECK(listings > observed * 2 * 0.8);
        CHECK(listings < observed * 2 * 1.2);
    }
}
