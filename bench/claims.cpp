// Measures claims per store write and claim latency on a virtual clock, and the bytes that a claim takes in the store.
#include "../tests/support/faults/faultystore.h"

#include <filbertmount/claims/claimcoordinator.h>

#include <algorithm>
#include <cstdio>
#include <memory>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

constexpr std::size_t Instances = 14;
constexpr Duration Run = std::chrono::seconds(60);
constexpr Duration PeerDelay = std::chrono::microseconds(500);
constexpr Duration RunTime = std::chrono::milliseconds(50);

/** Fourteen instances that claim keys at a constant rate and complete each claim after its run. */
class Fleet
{
public:
    explicit Fleet(double claimsPerSecond)
        : m_simulation(1)
        , m_store(m_simulation)
        , m_rate(claimsPerSecond)
    {
        for (std::size_t index = 0; index < Instances; ++index) {
            m_ids.emplace_back("entry-" + std::to_string(index));
            m_simulation.addProcess(m_ids[index].value());
            m_coordinators.push_back(std::make_unique<ClaimCoordinator>(m_ids[index], ClaimOptions{.seed = index + 1}));
        }
        m_wakes.resize(Instances, Instant::max());
        for (const auto &coordinator : m_coordinators) {
            coordinator->setMembers(m_ids);
        }
    }

    void run()
    {
        arrive();
        m_simulation.runUntil(Instant(Run + std::chrono::seconds(2)));
        std::sort(m_latencies.begin(), m_latencies.end());
        const auto at = [this](double share) {
            const auto index = static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1));
            return std::chrono::duration<double, std::milli>(m_latencies[index]).count();
        };
        const auto owned = static_cast<double>(m_latencies.size());
        const auto writes = static_cast<double>(m_store.writes());
        std::printf("%8.0f %8zu %6d %8llu %8llu %8.2f %9.1f %8.2f %8.2f %8.2f\n",
                    m_rate,
                    m_latencies.size(),
                    m_refused,
                    static_cast<unsigned long long>(m_store.writes()),
                    static_cast<unsigned long long>(m_store.reads()),
                    owned / writes,
                    writes / std::chrono::duration<double>(Run).count(),
                    at(0.5),
                    at(0.99),
                    at(1));
    }

private:
    void arrive()
    {
        if (m_simulation.now() >= Instant(Run)) {
            return;
        }
        claim(m_simulation.randomIndex(Instances));
        const double mean = 1e9 / m_rate;
        const Duration gap = m_simulation.randomDuration(Duration(0), Duration(static_cast<Duration::rep>(2 * mean)));
        m_simulation.after(gap, [this] {
            arrive();
        });
    }
    void claim(std::size_t instance)
    {
        const std::uint64_t number = m_started.size();
        m_started.push_back({.instance = instance, .at = m_simulation.now()});
        ClaimId id{.service = ServiceName("shop"), .key = claimKey("order-" + std::to_string(number))};
        std::generate(id.nonce.begin(), id.nonce.end(), [this] {
            return static_cast<std::uint8_t>(m_simulation.randomNumber());
        });
        m_coordinators[instance]->claim(RequestId(number), id, std::chrono::hours(24), m_simulation.now());
        flush(instance);
    }
    void decided(std::size_t instance, const ClaimDecided &decided)
    {
        if (decided.answer.decision != ClaimDecision::Owned) {
            ++m_refused;
            return;
        }
        m_latencies.push_back(m_simulation.now() - m_started[decided.request.value()].at);
        m_simulation.deliver(instance, RunTime, [this, instance, id = decided.answer.id] {
            m_coordinators[instance]->complete(id, 200, m_simulation.now());
            flush(instance);
        });
    }
    void flush(std::size_t instance)
    {
        for (ClaimCommand &command : m_coordinators[instance]->takeCommands()) {
            if (auto *call = std::get_if<ClaimStoreCall>(&command)) {
                m_store.call(
                    instance, call->object, call->call, [this, instance, number = call->number](const StoreReply &reply) {
                        m_coordinators[instance]->finishStoreCall(number, reply, m_simulation.now());
                        flush(instance);
                    });
            } else if (auto *message = std::get_if<ClaimMessage>(&command)) {
                transmit(instance, *message);
            } else {
                decided(instance, std::get<ClaimDecided>(command));
            }
        }
        scheduleTick(instance);
    }
    void transmit(std::size_t from, const ClaimMessage &message)
    {
        const auto to = static_cast<std::size_t>(std::find(m_ids.begin(), m_ids.end(), message.to) - m_ids.begin());
        m_simulation.deliver(to, PeerDelay, [this, from, to, body = message.body] {
            if (body.has_claim_request()) {
                m_coordinators[to]->receive(m_ids[from], body.claim_request(), m_simulation.now());
            } else {
                m_coordinators[to]->receive(m_ids[from], body.claim_reply(), m_simulation.now());
            }
            flush(to);
        });
    }
    void scheduleTick(std::size_t instance)
    {
        const Instant wake = m_coordinators[instance]->wakeAt();
        if (wake == Instant::max()) {
            return;
        }
        const Instant due = std::max(wake, m_simulation.now() + std::chrono::microseconds(100));
        if (m_wakes[instance] > m_simulation.now() && m_wakes[instance] <= due) {
            return;
        }
        m_wakes[instance] = due;
        m_simulation.deliver(instance, due - m_simulation.now(), [this, instance] {
            m_wakes[instance] = Instant::max();
            m_coordinators[instance]->tick(m_simulation.now());
            flush(instance);
        });
    }

    struct Start {
        std::size_t instance = 0;
        Instant at;
    };

    Simulation m_simulation;
    FaultyStore m_store;
    double m_rate;
    std::vector<InstanceId> m_ids;
    std::vector<std::unique_ptr<ClaimCoordinator>> m_coordinators;
    std::vector<Instant> m_wakes;
    std::vector<Start> m_started;
    std::vector<Duration> m_latencies;
    int m_refused = 0;
};

/** Prints the size of a shard whose claims arrive evenly over the retention of a day. */
void printSize(std::size_t claims)
{
    ClaimShard shard;
    constexpr std::int64_t start = 1'800'000'000;
    constexpr std::int64_t day = std::int64_t{24} * 3600;
    std::size_t added = 0;
    for (; added < claims; ++added) {
        const ClaimKey key = claimKey("order-" + std::to_string(added));
        if (!shard.add(key, randomClaimNonce(), day)) {
            break;
        }
        shard.complete(key, shard.find(key)->nonce, 201);
        shard.stamp({start + (static_cast<std::int64_t>(added) * day / static_cast<std::int64_t>(claims))});
    }
    const std::string value = shard.serialize();
    std::printf("%10zu %10zu %10zu %12.1f\n",
                claims,
                added,
                value.size(),
                static_cast<double>(value.size()) / static_cast<double>(added));
}

} // namespace

int main()
{
    std::printf("14 instances, store answers in 5 ms, peers 0.5 ms apart, %lld s virtual\n",
                static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(Run).count()));
    std::printf("%8s %8s %6s %8s %8s %8s %9s %8s %8s %8s\n",
                "claims/s",
                "owned",
                "refused",
                "writes",
                "reads",
                "cl/write",
                "writes/s",
                "p50 ms",
                "p99 ms",
                "max ms");
    for (const double rate : {1.0, 10.0, 31.0, 100.0, 1000.0}) {
        Fleet(rate).run();
    }
    std::printf("\nshard with claims done over a day\n%10s %10s %10s %12s\n", "claims", "stored", "bytes", "bytes/claim");
    for (const std::size_t claims :
         {std::size_t{100}, std::size_t{1350}, std::size_t{6750}, std::size_t{42000}, std::size_t{60000}}) {
        printSize(claims);
    }
    return 0;
}
