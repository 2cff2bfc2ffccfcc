#include "support/memberfleet.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/** Cuts the first @p first nodes off from the rest, in both directions. */
void cutBetween(MemberFleet &fleet, std::size_t first)
{
    for (std::size_t left = 0; left < first; ++left) {
        for (std::size_t right = first; right < fleet.nodes.size(); ++right) {
            fleet.network.cut(fleet.nodes[left]->id, fleet.nodes[right]->id);
            fleet.network.cut(fleet.nodes[right]->id, fleet.nodes[left]->id);
        }
    }
}

/** Starts @p size members within 300 ms, the seed members last, and returns them a second later. */
std::unique_ptr<MemberFleet> startTogether(int size, std::uint64_t seed)
{
    auto fleet = std::make_unique<MemberFleet>(0, FakeNetworkOptions{.seed = seed, .loss = 0.01});
    fleet->network.runFor(seconds(5));
    for (int index = size - 1; index >= 0; --index) {
        fleet->add("entry-" + std::to_string(index), MemberFleet::address(index));
        fleet->network.runFor(milliseconds(300) / size);
    }
    fleet->network.runFor(seconds(1));
    return fleet;
}

} // namespace

// Guards against members that never discover each other, and against dead members that stay listed as live.
TEST_CASE("members discover each other and detect a death and a leave")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        MemberFleet fleet(14, {.seed = seed, .loss = 0.02, .duplicate = 0.05});
        fleet.network.runFor(seconds(10));
        REQUIRE(fleet.countAgreeing() == 14);
        fleet.kill(5);
        fleet.network.runFor(seconds(8));
        CHECK(fleet.countAgreeing() == 13);
        fleet.leave(6);
        fleet.network.runFor(seconds(2));
        CHECK(fleet.countAgreeing() == 12);
    }
}

// The same seed failed in one process and passed in another, because a member was drawn from a list in hash order.
TEST_CASE("a fleet that starts at the same time sends the same messages with the same seed")
{
    const auto sentBytes = [] {
        const auto fleet = startTogether(120, 2);
        std::vector<std::uint64_t> bytes;
        for (const auto &node : fleet->nodes) {
            bytes.push_back(fleet->network.traffic(node->id).bytes);
        }
        return bytes;
    };
    const std::vector<std::uint64_t> first = sentBytes();
    CHECK(sentBytes() == first);
    CHECK(sentBytes() == first);
}

// Guards against slow discovery after a power loss. Until the members have found each other, each one grants the slots of
// all upstreams. On 120 machines this lasted 4 s, because a join sent before the others ran was repeated only after 1 s, and
// 1.2 to 2.4 s for a member whose request for the full list was lost, because each request doubled the time to the next one.
TEST_CASE("members that start at the same time agree within a second")
{
    const struct {
        int size;
        std::vector<std::uint64_t> seeds;
    } rows[] = {{14, {1, 2, 3}}, {120, {1, 2, 3}}, {120, {68, 110, 198}}};
    for (const auto &row : rows) {
        for (const std::uint64_t seed : row.seeds) {
            CAPTURE(row.size);
            CAPTURE(seed);
            CHECK(startTogether(row.size, seed)->countAgreeing() == static_cast<std::size_t>(row.size));
        }
    }
}

// Guards against healthy members being declared dead at 5 % message loss or after a pause of 500 ms.
TEST_CASE("message loss and a short freeze cause no death")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        MemberFleet fleet(14, {.seed = seed});
        fleet.network.runFor(seconds(5));
        fleet.network.setLoss(0.05);
        fleet.network.runFor(minutes(1));
        fleet.network.freeze(fleet.nodes[3]->id);
        fleet.network.runFor(milliseconds(500));
        fleet.network.thaw(fleet.nodes[3]->id);
        fleet.network.runFor(seconds(10));
        for (const auto &node : fleet.nodes) {
            CHECK(node->table.counts().deaths == 0);
        }
    }
}

// Guards against a member that stays listed as dead although it was only frozen.
TEST_CASE("a member that was declared dead returns with a higher incarnation")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        MemberFleet fleet(8, {.seed = seed});
        fleet.network.runFor(seconds(5));
        const InstanceId frozen = fleet.nodes[7]->id;
        fleet.network.freeze(frozen);
        fleet.network.runFor(seconds(20));
        REQUIRE(fleet.countSeeing(frozen) == 0);
        fleet.network.thaw(frozen);
        fleet.network.runFor(seconds(10));
        CHECK(fleet.countAgreeing() == 8);
        CHECK(fleet.nodes[7]->table.counts().refutations > 0);
        // The frozen member must not declare the others dead when it resumes.
        CHECK(fleet.nodes[7]->table.counts().deaths == 0);
    }
}

// Guards against two sides that stay separate after a partition, shorter or longer than the retention of dead members.
TEST_CASE("a partition heals")
{
    for (const auto length : {minutes(1), minutes(15)}) {
        CAPTURE(length.count());
        MemberFleet fleet(10, {.seed = 3});
        fleet.network.runFor(seconds(5));
        cutBetween(fleet, 4);
        fleet.network.runFor(length);
        CHECK(fleet.countSeeing(fleet.nodes[0]->id) == 3);
        CHECK(fleet.countSeeing(fleet.nodes[9]->id) == 5);
        fleet.network.healAll();
        fleet.network.runFor(seconds(40));
        CHECK(fleet.countAgreeing() == 10);
    }
}

// Guards against a member that is declared dead because a single other member cannot reach it.
TEST_CASE("indirect pings keep members that one pair cannot reach")
{
    MemberFleet fleet(8, {.seed = 5});
    fleet.network.runFor(seconds(5));
    fleet.network.cut(fleet.nodes[2]->id, fleet.nodes[3]->id);
    fleet.network.cut(fleet.nodes[3]->id, fleet.nodes[2]->id);
    fleet.network.runFor(minutes(2));
    CHECK(fleet.countAgreeing() == 8);
    for (const auto &node : fleet.nodes) {
        CHECK(node->table.counts().deaths == 0);
    }
}

// Guards against a dead process run that stays live because its successor responds to pings at the same address.
TEST_CASE("a restarted process replaces its predecessor")
{
    MemberFleet fleet(6, {.seed = 6});
    fleet.network.runFor(seconds(5));
    const InstanceId old = fleet.nodes[5]->id;
    fleet.kill(5);
    fleet.add("entry-5-second-run", MemberFleet::address(5));
    fleet.network.runFor(seconds(8));
    CHECK(fleet.countSeeing(old) == 0);
    CHECK(fleet.countAgreeing() == 6);
}

// Guards against late gossip that brings back a dead member or one that left, and against departures that are sent forever.
TEST_CASE("late gossip does not bring back a departed member")
{
    struct Case {
        const char *name;
        bool leave;
        Duration wait;
    };
    const std::vector<Case> cases = {
        {"dead", false, seconds(20)}, {"left", true, seconds(2)}, {"dead, much later", false, minutes(9)}};
    for (const Case &entry : cases) {
        CAPTURE(entry.name);
        MemberFleet fleet(5, {.seed = 7});
        fleet.network.runFor(seconds(5));
        const InstanceId departed = fleet.nodes[4]->id;
        Wire::Envelope late;
        Wire::MemberUpdate &update = *late.add_members();
        update.set_instance(departed.value());
        update.set_peer_address(MemberFleet::address(4));
        entry.leave ? fleet.leave(4) : fleet.kill(4);
        fleet.network.runFor(entry.wait);
        REQUIRE(fleet.countSeeing(departed) == 0);
        fleet.nodes[0]->table.receiveMembers(late, fleet.network.now());
        CHECK(fleet.countSeeing(departed) == 0);
        fleet.network.runFor(seconds(2));
        CHECK(fleet.countSeeing(departed) == 0);
    }
}

// Guards against unbounded memory when a faulty peer sends updates about members that do not exist.
TEST_CASE("invented members are bounded and die")
{
    MemberFleet fleet(2, {.seed = 8});
    fleet.network.runFor(seconds(3));
    for (int index = 0; index < 20000; ++index) {
        Wire::Envelope envelope;
        Wire::MemberUpdate &update = *envelope.add_members();
        update.set_instance("invented-" + std::to_string(index));
        update.set_peer_address("10.9.9.9:1");
        fleet.nodes[0]->table.receiveMembers(envelope, fleet.network.now());
    }
    CHECK(fleet.nodes[0]->table.live()->size() <= 4097);
}
