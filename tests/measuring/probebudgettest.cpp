#include "support/fakenetwork.h"

#include <filbertmount/measuring/probescheduler.h>
#include <filbertmount/peer/peerdispatcher.h>

#include <doctest/doctest.h>

#include <memory>

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName Shopfront("shopfront");
constexpr int InstanceLimit = 6;
constexpr double BudgetPercent = 1;
constexpr int Slots = 20;
/** Slot time per second that all instances together may spend. */
constexpr double BudgetPerSecond = BudgetPercent / 100 * Slots;

/** Instances that spend their budget while they are restarted, frozen and partitioned, and disagree on the dispatcher. */
class ProbingCluster
{
public:
    explicit ProbingCluster(std::uint64_t seed)
        : m_network({.seed = seed, .loss = 0.05, .duplicate = 0.3, .maxDelay = milliseconds(400)})
        , m_random(seed)
    {
        for (int index = 0; index < InstanceLimit; ++index) {
            m_running.push_back(start(index));
        }
    }

    void step()
    {
        const std::size_t index = m_random() % m_running.size();
        const InstanceId id = m_running[index]->id;
        switch (m_random() % 12) {
        case 0:
            m_network.detach(id);
            // The restarted instance keeps its address, so it receives late messages for the previous process.
            m_running[index] = start(static_cast<int>(index));
            break;
        case 1:
            m_network.freeze(id);
            break;
        case 2:
            m_network.cut(id, m_running[m_random() % m_running.size()]->id);
            break;
        case 3:
            m_network.healAll();
            break;
        default:
            m_network.thaw(id);
            break;
        }
        m_network.runFor(milliseconds(m_random() % 700));
    }

    /** Slot time spent by all instances since the start, in seconds. */
    [[nodiscard]] double spent() const
    {
        return std::chrono::duration<double>(m_spent).count();
    }
    /** Budget of the service since the start, in seconds of slot time. */
    [[nodiscard]] double allowed() const
    {
        return std::chrono::duration<double>(m_network.now() - Instant{}).count() * BudgetPerSecond;
    }
    /** Number of transfers that were accepted. */
    [[nodiscard]] int received() const
    {
        return m_received;
    }

private:
    struct Node {
        Node(const InstanceId &self, Instant now)
            : id(self)
            , budget({.self = self, .instanceLimit = InstanceLimit})
            , dispatcher({.cluster = "test"})
        {
            budget.setService(Shopfront, BudgetPercent, Slots, now);
        }
        InstanceId id;
        ProbeBudget budget;
        PeerDispatcher dispatcher;
    };

    std::shared_ptr<Node> start(int address)
    {
        const InstanceId id("run-" + std::to_string(++m_runs));
        auto node = std::make_shared<Node>(id, m_network.now());
        node->dispatcher.setHandler(Wire::Body::kBudgetTransfer,
                                    [this, raw = node.get()](const InstanceId &from, const Wire::Body &body) {
                                        m_received += raw->budget.receive(from, body.budget_transfer(), m_network.now()) ? 1 : 0;
                                    });
        m_network.attach(id, "address-" + std::to_string(address), [node](std::string_view bytes) {
            node->dispatcher.receive(bytes);
        });
        m_network.every(id, milliseconds(50), [this, node] {
            spend(*node);
        });
        return node;
    }

    void spend(Node &node)
    {
        const Duration cost = microseconds(m_random() % 5000);
        if (m_random() % 2 == 0 && node.budget.reserve(Shopfront, cost, m_network.now())) {
            const Duration measured = cost * static_cast<int>(m_random() % 5) / 4;
            m_spent += measured;
            node.budget.settle(Shopfront, cost, measured, m_network.now());
        }
        // Instances may disagree on the dispatcher, so each transfer chooses one at random.
        const std::size_t dispatcher = m_random() % m_running.size();
        PeerOutbox outbox = node.budget.transfer({{Shopfront, m_running[dispatcher]->id}}, m_network.now());
        for (PeerMessage &message : outbox) {
            message.address = "address-" + std::to_string(dispatcher);
        }
        m_network.send(node.id, std::move(outbox));
    }

    FakeNetwork m_network;
    std::mt19937_64 m_random;
    std::vector<std::shared_ptr<Node>> m_running;
    Duration m_spent{0};
    int m_runs = 0;
    int m_received = 0;
};

} // namespace

// Guards against probes of all instances that together take more slot time than the service document allows.
TEST_CASE("the instances together never spend more than the budget")
{
    int received = 0;
    double used = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        ProbingCluster cluster(seed);
        for (int step = 0; step < 100; ++step) {
            cluster.step();
            REQUIRE(cluster.spent() <= cluster.allowed());
        }
        received += cluster.received();
        used += cluster.spent() / cluster.allowed();
    }
    // Without transfers and spending the check above would always pass.
    CHECK(received > 1000);
    CHECK(used / 60 > 0.1);
}

// Guards against tokens that are added twice, after which probes exceed the budget, and against a bucket that starts filled.
TEST_CASE("probe budget edge cases")
{
    const Instant start{};
    ProbeBudget budget({.self = InstanceId("a"), .instanceLimit = 10});
    budget.setService(Shopfront, 1, 20, start);
    SUBCASE("the bucket starts empty and holds one second")
    {
        CHECK_FALSE(budget.reserve(Shopfront, microseconds(1), start));
        CHECK(budget.balance(Shopfront, start + milliseconds(500)) == milliseconds(10));
        CHECK(budget.balance(Shopfront, start + seconds(3600)) == milliseconds(20));
        CHECK_FALSE(budget.reserve(ServiceName("unknown"), microseconds(1), start + seconds(5)));
    }
    SUBCASE("more members than the limit stop probing")
    {
        budget.setMemberCount(11);
        CHECK(budget.isOverLimit());
        CHECK_FALSE(budget.reserve(Shopfront, microseconds(1), start + seconds(5)));
        budget.setMemberCount(10);
        // No tokens accrue while the limit is exceeded, not even for the one second that a bucket holds.
        CHECK(budget.balance(Shopfront, start + seconds(5)) == Duration::zero());
        CHECK(budget.balance(Shopfront, start + milliseconds(5500)) == milliseconds(10));
    }
    SUBCASE("a probe that costs more than reserved leaves a negative balance")
    {
        REQUIRE(budget.reserve(Shopfront, milliseconds(20), start + seconds(1)));
        budget.settle(Shopfront, milliseconds(20), milliseconds(50), start + seconds(1));
        CHECK(budget.balance(Shopfront, start + seconds(1)) == -milliseconds(30));
        CHECK(budget.balance(Shopfront, start + seconds(2)) == -milliseconds(10));
    }
    SUBCASE("transfers are accepted once, in order, and only by their recipient")
    {
        Wire::BudgetTransfer transfer;
        transfer.set_service(Shopfront.value());
        transfer.set_slot_time_us(30000);
        struct Case {
            std::uint64_t sequence;
            const char *recipient;
            bool taken;
        };
        for (const Case &entry : {Case{3, "a", true},
                                  Case{3, "a", false},
                                  Case{2, "a", false},
                                  Case{4, "before-restart", false},
                                  Case{5, "a", true}}) {
            CAPTURE(entry.sequence);
            transfer.set_sequence(entry.sequence);
            transfer.set_recipient(entry.recipient);
            CHECK(budget.receive(InstanceId("b"), transfer, start) == entry.taken);
        }
        CHECK(budget.balance(Shopfront, start) == milliseconds(60));
        transfer.set_sequence(6);
        transfer.set_recipient("a");
        transfer.set_slot_time_us(~std::uint64_t{0});
        budget.receive(InstanceId("b"), transfer, start);
        // A faulty peer cannot fill the bucket beyond one second of the whole budget.
        CHECK(budget.balance(Shopfront, start) == milliseconds(200));
    }
}

// Guards against probes without tokens and against routine probes that delay confirmations.
TEST_CASE("probe scheduler sends confirmations first and stays within its budget")
{
    Instant now{};
    ProbeBudget budget({.self = InstanceId("a"), .instanceLimit = 1});
    budget.setService(Shopfront, 1, 2, now);
    ProbeScheduler scheduler(budget);
    const auto candidate = [](const char *id, ProbeReason reason) {
        return ProbeCandidate{.upstream = UpstreamId(id), .address = "", .reason = reason};
    };
    scheduler.setCandidates(Shopfront,
                            {candidate("unknown", ProbeReason::Unknown),
                             candidate("cold", ProbeReason::Cold),
                             candidate("down", ProbeReason::Down),
                             candidate("confirm", ProbeReason::Confirm)},
                            {});
    CHECK(scheduler.tick(now).empty());
    now += seconds(1);
    std::vector<std::string> order;
    for (int step = 0; step < 100; ++step) {
        for (const ProbeCommand &command : scheduler.tick(now)) {
            order.push_back(command.upstream.value());
            CHECK(command.timeout == milliseconds(5));
            scheduler.finished(command.id, milliseconds(4), now);
        }
    }
    // 20 ms of tokens are enough for four probes that reserve 5 ms each and take 4 ms.
    CHECK(order == std::vector<std::string>{"confirm", "down", "cold", "unknown"});
    now += seconds(1);
    const std::vector<ProbeCommand> slow = scheduler.tick(now);
    REQUIRE(slow.size() == 1);
    scheduler.finished(slow.front().id, milliseconds(5), now);
    // The probe used all of its reservation, so the next one reserves twice as much.
    now += milliseconds(50);
    REQUIRE(scheduler.tick(now).size() == 1);
    CHECK(budget.balance(Shopfront, now) < milliseconds(10));
}
