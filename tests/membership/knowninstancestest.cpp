#include <filbertmount/membership/knowninstances.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Filbertmount;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

Member member(const std::string &address, int run = 1)
{
    return {.id = InstanceId(address + "/" + std::to_string(run)), .peerAddress = address};
}

MemberList members(const std::vector<std::string> &addresses)
{
    MemberList list;
    list.reserve(addresses.size());
    for (const std::string &address : addresses) {
        list.push_back(member(address));
    }
    return list;
}

std::vector<RegisteredInstance> entries(const std::vector<std::string> &registered, const std::vector<std::string> &departed = {})
{
    std::vector<RegisteredInstance> list;
    list.reserve(registered.size() + departed.size());
    for (const std::string &address : registered) {
        list.push_back({.peerAddress = address});
    }
    for (const std::string &address : departed) {
        list.push_back({.peerAddress = address, .isDeparture = true});
    }
    return list;
}

const std::vector<std::string> Five = {"a", "b", "c", "d", "e"};

} // namespace

// Quotas were refused for good after more than half of the instances had left: their registrations counted for ever.
TEST_CASE("known instances: which ones may be running")
{
    struct Row {
        std::string name;
        std::vector<RegisteredInstance> listed;
        std::vector<std::string> live;
        std::vector<std::string> left;
        Duration elapsed;
        std::size_t expected;
    };
    const Row rows[] = {
        {"all live", entries(Five), Five, {}, seconds(0), 5},
        {"three do not respond", entries(Five), {"a", "b"}, {}, minutes(5), 5},
        {"three left a moment ago", entries(Five), {"a", "b"}, {"c", "d", "e"}, seconds(0), 5},
        {"three left", entries(Five), {"a", "b"}, {"c", "d", "e"}, seconds(2), 2},
        {"three left, also in the store", entries(Five, {"c", "d", "e"}), {"a", "b"}, {"c", "d", "e"}, minutes(5), 2},
        {"a process that did not see the departures", entries(Five, {"c", "d", "e"}), {"a", "b"}, {}, seconds(31), 2},
        {"not registered, unreachable for a short time", entries({"a", "b"}), {"a", "b"}, {}, seconds(5), 5},
        {"not registered, unreachable for a long time", entries({"a", "b"}), {"a", "b"}, {}, seconds(31), 2},
        {"live although listed as departed", entries(Five, {"b"}), Five, {}, minutes(5), 5},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        KnownInstances known;
        Instant now = Instant() + seconds(100);
        known.setMembers(members(Five), {}, now);
        known.setRegistered(row.listed, now);
        now += seconds(1);
        known.setMembers(members(row.live), members(row.left), now);
        now += row.elapsed;
        CHECK(known.count(now) == row.expected);
        CHECK(known.isAnyMissing(now) == (row.expected > row.live.size()));
    }
}

// An instance that counts no more while it runs out of reach lets two parts of a fleet grant the same quota.
TEST_CASE("known instances: a departure ends with the return of the instance")
{
    enum class Return { SeenLive, RemovedFromStore, NeverInStore, LateGossip };
    for (const Return how : {Return::SeenLive, Return::RemovedFromStore, Return::NeverInStore, Return::LateGossip}) {
        CAPTURE(static_cast<int>(how));
        KnownInstances known;
        Instant now = Instant() + seconds(100);
        known.setMembers(members({"a", "b"}), {}, now);
        known.setRegistered(entries({"a", "b"}), now);
        known.setMembers(members({"a"}), members({"b"}), now);
        now += seconds(5);
        CHECK(known.count(now) == 1);
        switch (how) {
        case Return::SeenLive:
            known.setRegistered(entries({"a", "b"}, {"b"}), now);
            known.setMembers({member("a"), member("b", 2)}, members({"b"}), now);
            known.setMembers(members({"a"}), members({"b"}), now);
            now += minutes(5);
            break;
        case Return::RemovedFromStore:
            known.setRegistered(entries({"a", "b"}, {"b"}), now);
            known.setRegistered(entries({"a", "b"}), now);
            break;
        case Return::NeverInStore:
            now += seconds(10);
            known.setRegistered(entries({"a", "b"}), now);
            break;
        case Return::LateGossip:
            known.setMembers({member("a"), member("b", 2)}, {}, now);
            known.setMembers(members({"a"}), members({"b"}), now);
            break;
        }
        CHECK(known.count(now) == 2);
    }
}

// The retry budget is divided by the registered instances: one that shuts down may still use its share.
TEST_CASE("known instances: a registration counts until the process of a departed instance has ended")
{
    KnownInstances known;
    Instant now = Instant() + seconds(100);
    known.setMembers(members({"a", "b"}), {}, now);
    known.setRegistered(entries({"a", "b", "c"}, {"c"}), now);
    known.setMembers(members({"a"}), members({"b"}), now);
    now += seconds(29);
    CHECK(known.registeredCount(now) == 3);
    now += seconds(1);
    CHECK(known.registeredCount(now) == 1);
}

// Machines that were replaced one by one over months had the same effect as many that left at once.
TEST_CASE("known instances: entries of instances that left without a word are corrected")
{
    KnownInstances known;
    Instant now = Instant() + seconds(100);
    known.setMembers(members({"a", "b", "c"}), {}, now);
    known.setRegistered(entries({"a", "b", "c", "d"}), now);
    now += seconds(10);
    known.setMembers(members({"a", "b"}), {}, now);
    now += minutes(10) - seconds(1);
    CHECK(known.silentInstances(now) == std::vector<std::string>{"d"});
    CHECK_FALSE(known.isMajorityLive(now));
    now += seconds(1);
    CHECK(known.silentInstances(now) == std::vector<std::string>{"c", "d"});
    known.setRegistered(entries({"a", "b", "c", "d"}, {"b", "d"}), now);
    CHECK(known.isMajorityLive(now));
    CHECK(known.silentInstances(now) == std::vector<std::string>{"c"});
    CHECK(known.wrongDepartures(now).empty());
    now += seconds(10);
    CHECK(known.wrongDepartures(now) == std::vector<std::string>{"b"});
    CHECK(known.obsoleteDepartures(now).empty());
    now += minutes(10);
    CHECK(known.obsoleteDepartures(now) == std::vector<std::string>{"d"});
    CHECK(known.registeredCount(now) == 3);
}
