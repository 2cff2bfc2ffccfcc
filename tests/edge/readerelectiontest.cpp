#include <filbertmount/edge/readerelection.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <utility>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(100s)};
constexpr Duration Step = std::chrono::milliseconds(20);
constexpr Duration ResponseInterval = std::chrono::milliseconds(700);
// 1.6 s in parts of 40 ms.
constexpr int PartsToCatchUp = 40;

/** The elections of a fleet; a reader that the store responds to reports the confirmation to all instances that it can reach. */
class Group
{
public:
    /** @param seeds number of seeds, which are the first instances; 0 makes all instances seeds */
    explicit Group(std::size_t size, std::size_t seeds = 0)
        : m_lastResponse(size, Instant{})
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_ids.emplace_back("i" + std::to_string(index));
        }
        for (const InstanceId &id : m_ids) {
            const bool isSeed = seeds == 0 || m_elections.size() < seeds;
            m_elections.push_back(
                std::make_unique<ReaderElection>(StateKind::Upstreams, id, Start, ReaderElectionOptions{.isSeed = isSeed}));
            m_elections.back()->setMembers(m_ids);
        }
    }

    /** Resets the members to the state when all instances start together: each one knows only itself. */
    void forgetMembers()
    {
        for (std::size_t index = 0; index < m_ids.size(); ++index) {
            m_elections[index]->setMembers({m_ids[index]});
        }
    }

    void run(Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end; m_now += Step) {
            for (std::size_t index = 0; index < m_ids.size(); ++index) {
                step(index);
            }
        }
    }

    [[nodiscard]] std::set<std::size_t> readers() const
    {
        std::set<std::size_t> result;
        for (std::size_t index = 0; index < m_ids.size(); ++index) {
            if (!dead.contains(index) && m_elections[index]->isReading()) {
                result.insert(index);
            }
        }
        return result;
    }

    [[nodiscard]] std::set<std::size_t> firstReaders() const
    {
        std::set<std::size_t> result = readers();
        std::erase_if(result, [this](std::size_t index) {
            return !m_elections[index]->isFirstReader(m_now);
        });
        return result;
    }

    [[nodiscard]] Duration age(std::size_t index) const
    {
        return m_now - m_elections[index]->lastConfirmed().value_or(Start);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_ids.size();
    }

    std::set<std::size_t> dead;
    /** Instances that the store does not respond to. */
    std::set<std::size_t> refused;
    /** Instances that neither send messages to the others nor receive any. */
    std::set<std::size_t> isolated;

private:
    void step(std::size_t index)
    {
        if (dead.contains(index) || !m_elections[index]->updateRole(m_now)) {
            return;
        }
        reportSeeking(index);
        const bool hasResponded = !refused.contains(index) && m_now - m_lastResponse[index] >= ResponseInterval;
        if (!hasResponded) {
            return;
        }
        m_lastResponse[index] = m_now;
        for (std::size_t other = 0; other < m_ids.size(); ++other) {
            const bool isReached = other == index || (!isolated.contains(index) && !isolated.contains(other));
            if (!dead.contains(other) && isReached) {
                m_elections[other]->recordConfirmation(m_ids[index], m_now);
            }
        }
    }

    void reportSeeking(std::size_t index)
    {
        if (!m_elections[index]->isSeeking(m_now) || isolated.contains(index)) {
            return;
        }
        for (std::size_t other = 0; other < m_ids.size(); ++other) {
            if (other != index && !dead.contains(other) && !isolated.contains(other)) {
                m_elections[other]->recordSeeking(m_ids[index], m_now);
            }
        }
    }

    Instant m_now = Start;
    std::vector<InstanceId> m_ids;
    std::vector<std::unique_ptr<ReaderElection>> m_elections;
    std::vector<Instant> m_lastResponse;
};

} // namespace

TEST_CASE("reader election: without faults, one of many instances reads")
{
    for (const std::size_t size : {1U, 2U, 14U, 144U}) {
        CAPTURE(size);
        Group group(size);
        group.run(6s);
        CHECK(group.readers().size() == 1);
        for (std::size_t index = 0; index < size; ++index) {
            CHECK(group.age(index) < 1s);
        }
    }
}

// A fleet of 144 instances made hundreds of calls in its first second, because each one considered itself the first in the
// order.
TEST_CASE("reader election: when all instances start together without known members, only the seeds start to read")
{
    Group group(144, 3);
    group.forgetMembers();
    group.run(300ms);
    CHECK(group.readers() == std::set<std::size_t>{0, 1, 2});
}

TEST_CASE("reader election: without a live seed, another instance starts to read within half a second")
{
    Group group(14, 3);
    group.dead = {0, 1, 2};
    group.run(600ms);
    CHECK_FALSE(group.readers().empty());
    group.run(6s);
    CHECK(group.readers().size() == 1);
}

TEST_CASE("reader election: members with large machines come first in the order")
{
    const std::vector<InstanceId> all{InstanceId("a"), InstanceId("b"), InstanceId("c"), InstanceId("d")};
    for (const InstanceId &large : all) {
        CAPTURE(large.value());
        for (const InstanceId &self : all) {
            ReaderElection election(StateKind::Routes, self, Start);
            election.setMembers(all, {large});
            CHECK(election.updateRole(Start + ReaderElectionOptions().startDelay) == (self == large));
        }
    }
}

// Instances must stop using a leaving upstream within two seconds of the store's acknowledgement.
TEST_CASE("reader election: no failure of instances or store calls makes the state older than 1.6 s")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        Group group(14);
        group.run(4s);
        for (int round = 0; round < 6; ++round) {
            std::bernoulli_distribution isHit(0.33);
            // An instance that was dead needs time to catch up, like one that has just started.
            const std::set<std::size_t> returned = std::exchange(group.dead, {});
            group.refused.clear();
            for (std::size_t index = 0; index < group.size(); ++index) {
                if (isHit(random)) {
                    (random() % 2 == 0 ? group.dead : group.refused).insert(index);
                }
            }
            if (group.dead.size() + group.refused.size() == group.size()) {
                group.refused.erase(*group.refused.begin());
            }
            for (int part = 0; part < 100; ++part) {
                group.run(40ms);
                for (std::size_t index = 0; index < group.size(); ++index) {
                    const bool hasCaughtUp = !returned.contains(index) || part >= PartsToCatchUp;
                    if (!group.dead.contains(index) && hasCaughtUp) {
                        REQUIRE(group.age(index) <= 1600ms);
                    }
                }
            }
        }
    }
}

TEST_CASE("reader election: after a pause, an instance does not trust earlier confirmations")
{
    ReaderElection election(StateKind::Routes, InstanceId("b"), Start);
    election.setMembers({InstanceId("a"), InstanceId("b")});
    election.recordConfirmation(InstanceId("a"), Start + 5s);
    election.recordConfirmation(InstanceId("b"), Start + 5s);
    election.forgetConfirmations();
    CHECK(election.updateRole(Start + 5200ms));
}

// During an outage of the store of 8 s, 120 instances made 6,300 calls, because each one kept calling the store.
TEST_CASE("reader election: during an outage, few instances keep calling the store, and updates resume at once afterwards")
{
    Group group(144);
    group.run(4s);
    for (std::size_t index = 0; index < group.size(); ++index) {
        group.refused.insert(index);
    }
    for (int second = 1; second <= 8; ++second) {
        CAPTURE(second);
        group.run(1s);
        const auto most = ReaderElectionOptions().maxSeekers + static_cast<std::size_t>(second);
        CHECK(group.readers().size() <= most);
        CHECK_FALSE(group.readers().empty());
    }
    group.refused.clear();
    group.run(100ms);
    for (std::size_t index = 0; index < group.size(); ++index) {
        CHECK(group.age(index) < 1s);
    }
    group.run(4s);
    CHECK(group.readers().size() == 1);
}

TEST_CASE("reader election: an isolated instance reads the store by itself while others are seekers")
{
    Group group(14);
    group.run(4s);
    const std::size_t reader = *group.readers().begin();
    const std::size_t isolated = reader == 13 ? 0 : 13;
    group.isolated = {isolated};
    for (std::size_t index = 0; index < group.size(); ++index) {
        if (index != isolated) {
            group.refused.insert(index);
        }
    }
    group.run(3s);
    CHECK(group.readers().contains(isolated));
    CHECK(group.age(isolated) < 1s);
}

TEST_CASE("reader election: when the store refuses the first members, later ones call it as well")
{
    Group group(40);
    group.run(4s);
    for (std::size_t index = 0; index < group.size(); ++index) {
        group.refused.insert(index);
    }
    group.run(3s);
    // The current seekers stay refused; all others receive responses.
    const std::set<std::size_t> seeking = group.readers();
    group.refused = seeking;
    group.run(3s);
    const std::set<std::size_t> readers = group.readers();
    CHECK_FALSE(std::includes(seeking.begin(), seeking.end(), readers.begin(), readers.end()));
    for (std::size_t index = 0; index < group.size(); ++index) {
        CHECK(group.age(index) < 1600ms);
    }
}

// After the store was slow, 22 of 144 instances read a configuration of 1,800 routes, and each sent all of it to all others.
TEST_CASE("reader election: of several readers, exactly one is the first reader")
{
    Group group(144);
    group.run(4s);
    CHECK(group.firstReaders().size() == 1);
    for (std::size_t index = 0; index < group.size(); ++index) {
        group.refused.insert(index);
    }
    group.run(3s);
    CHECK(group.readers().size() > 1);
    CHECK(group.firstReaders().size() == 1);
    group.refused.clear();
    group.run(100ms);
    CHECK(group.readers().size() > 1);
    CHECK(group.firstReaders().size() == 1);
}
