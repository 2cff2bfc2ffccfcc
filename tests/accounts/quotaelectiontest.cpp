// Guards the rule that the bound rests on: at most one instance at a time may grant the tokens of an account.
#include <doctest/doctest.h>

#include "support/quotafleet.h"

#include <random>

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration SampleInterval = milliseconds(10);

/** Cuts, suspends and restarts random instances for a while, in ways that overlap. */
class Chaos
{
public:
    Chaos(QuotaFleet &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
    {
    }

    void step()
    {
        switch (number(6)) {
        case 0:
            for (int count = 0; count < 12; ++count) {
                m_fleet.cut(number(m_fleet.size()), number(m_fleet.size()));
            }
            break;
        case 1:
            m_fleet.heal();
            break;
        case 2:
            m_fleet.partition(1 + number(m_fleet.size() - 1));
            break;
        case 3:
            m_fleet.freeze(number(2) == 0 ? m_fleet.leader() : number(m_fleet.size()), milliseconds(200 + number(1500)));
            break;
        case 4: {
            const std::size_t index = number(2) == 0 ? m_fleet.leader() : number(m_fleet.size());
            m_fleet.kill(index);
            m_fleet.restart(index);
            break;
        }
        default:
            m_fleet.net.setLoss(0.15 * static_cast<double>(number(3)));
            break;
        }
    }

private:
    std::size_t number(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    QuotaFleet &m_fleet;
    std::mt19937_64 m_random;
};

} // namespace

TEST_CASE("at most one instance may grant the tokens of an account, under overlapping faults")
{
    const std::vector<std::string> accounts = {"a", "b", "c", "d", "e", "f", "g", "h"};
    std::size_t granting = 0;
    std::size_t samples = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        QuotaFleet fleet(9, {.seed = seed, .duplicate = 0.05, .maxDelay = milliseconds(30)});
        Chaos chaos(fleet, seed);
        fleet.net.runFor(seconds(3));
        for (int step = 0; step < 1000; ++step) {
            if (step % 50 == 0) {
                chaos.step();
            }
            fleet.net.runFor(SampleInterval);
            for (const std::string &account : accounts) {
                const std::size_t count = fleet.countGranting(account);
                violations += count > 1 ? 1 : 0;
                granting += count;
                ++samples;
            }
        }
    }
    CHECK(violations == 0);
    MESSAGE("accounts with an owner, in percent: ", 100.0 * static_cast<double>(granting) / static_cast<double>(samples));
    // Guards against a fleet without any owners.
    CHECK(granting * 4 > samples);
}

TEST_CASE("an owner that left a list and returned grants nothing until the list is settled")
{
    const InstanceId self("self");
    const InstanceId leader("leader");
    Instant now = Instant() + seconds(100);
    QuotaElection election(self, {}, now);
    now += seconds(1);
    std::uint64_t round = 0;
    const auto poll = [&](std::uint64_t epoch, const std::vector<std::string> &owners, bool isSettled) {
        Wire::QuotaPoll message;
        message.set_acknowledged(round);
        message.set_round(++round);
        message.set_epoch(epoch);
        message.set_settled(isSettled);
        message.set_share(1000);
        for (const std::string &owner : owners) {
            message.add_owners(owner);
        }
        PeerOutbox outbox;
        now += milliseconds(10);
        election.onPoll(leader, message, now, outbox);
        return election.responsibleSince(stableHash("a"), now);
    };
    CHECK_FALSE(poll(1, {"self"}, false));
    const std::optional<Instant> first = poll(1, {"self"}, true);
    REQUIRE(first);
    CHECK_FALSE(poll(2, {"leader"}, false));
    // The message that states that list 2 is settled is lost: the leader may own the account meanwhile.
    CHECK_FALSE(poll(3, {"self"}, false));
    const std::optional<Instant> again = poll(3, {"self"}, true);
    REQUIRE(again);
    CHECK(*again > *first);
}

// An instance that shuts down stops counting for others a moment later. If its votes went on to count, the part of a divided
// fleet that it can still reach and the other part could both find a majority.
TEST_CASE("the votes of an instance that shuts down form no majority")
{
    for (const bool hasResigned : {false, true}) {
        CAPTURE(hasResigned);
        const InstanceId self("self");
        const InstanceId voter("voter");
        Instant now = Instant() + seconds(100);
        QuotaElection election(self, {}, now);
        election.setMembers({.members = {self, voter}, .coordinators = {self}, .known = 3});
        for (int step = 0; step < 300; ++step) {
            now += milliseconds(5);
            PeerOutbox outbox;
            election.tick(now, outbox);
            for (const PeerMessage &message : outbox) {
                const Wire::QuotaPoll &poll = message.envelope.bodies(0).quota_request().poll();
                Wire::QuotaVote vote;
                vote.set_round(poll.round());
                vote.set_epoch(poll.epoch());
                vote.set_resigned(hasResigned);
                election.onVote(voter, vote, now);
            }
        }
        REQUIRE(election.isLeading());
        CHECK(election.marginShare().has_value() == hasResigned);
    }
}
