// Measures the claims per store write and the claim latency on a virtual clock, and the stored size of a claim.
#include "../tests/support/faults/faultystore.h"

#include <filbertmount/claims/claimcoordinator.h>

#include <algorithm>
#include <cstdio>
#include <memory>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

constexpr std::size_t Instances = 14;
constexpr Duration MeasuredTime = std::chrono::seconds(60);
constexpr Duration PeerMessageDelay = std::chrono::microseconds(500);
constexpr Duration RequestRunTime = std::chrono::milliseconds(50);

/** Entry instances that claim keys at a constant mean rate and complete each claim after its request has run. */
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
        m_wakeTimes.resize(Instances, Instant::max());
        for (const auto &coordinator : m_coordinators) {
            coordinator->setMembers(m_ids);
        }
    }

    void run()
    {
        scheduleArrivals();
        m_simulation.runUntil(Instant(MeasuredTime + std::chrono::seconds(2)));
        std::sort(m_latencies.begin(), m_latencies.end());
        const auto quantileMs = [this](double share) {
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
                    writes / std::chrono::duration<double>(MeasuredTime).count(),
                    quantileMs(0.5),
                    quantileMs(0.99),
                    quantileMs(1));
    }

private:
    void scheduleArrivals()
    {
        if (m_simulation.now() >= Instant(MeasuredTime)) {
            return;
        }
        claim(m_simulation.randomIndex(Instances));
        const double mean = 1e9 / m_rate;
        const Duration gap = m_simulation.randomDuration(Duration(0), Duration(static_cast<Duration::rep>(2 * mean)));
        m_simulation.after(gap, [this] {
            scheduleArrivals();
        });
    }
    void claim(std::size_t instance)
    {
        const std::uint64_t number = m_claims.size();
        m_claims.push_back({.instance = instance, .startedAt = m_simulation.now()});
        ClaimId id{.service = ServiceName("shop"), .key = claimKey("order-" + std::to_string(number))};
        std::generate(id.nonce.begin(), id.nonce.end(), [this] {
            return static_cast<std::uint8_t>(m_simulation.randomNumber());
        });
        m_coordinators[instance]->claim(RequestId(number), id, std::chrono::hours(24), m_simulation.now());
        executeCommands(instance);
    }
    void handleDecision(std::size_t instance, const ClaimDecided &decided)
    {
        if (decided.result.decision != ClaimDecision::Owned) {
            ++m_refused;
            return;
        }
        m_latencies.push_back(m_simulation.now() - m_claims[decided.request.value()].startedAt);
        m_simulation.deliver(instance, RequestRunTime, [this, instance, id = decided.result.id] {
            m_coordinators[instance]->complete(id, 200, m_simulation.now());
            executeCommands(instance);
        });
    }
    void executeCommands(std::size_t instance)
    {
        for (ClaimCommand &command : m_coordinators[instance]->takeCommands()) {
            if (auto *call = std::get_if<ClaimStoreCall>(&command)) {
                m_store.call(
                    instance, call->object, call->call, [this, instance, number = call->number](const StoreReply &reply) {
                        m_coordinators[instance]->finishStoreCall(number, reply, m_simulation.now());
                        executeCommands(instance);
                    });
            } else if (auto *message = std::get_if<ClaimMessage>(&command)) {
                sendMessage(instance, *message);
            } else {
                handleDecision(instance, std::get<ClaimDecided>(command));
            }
        }
        scheduleTick(instance);
    }
    void sendMessage(std::size_t from, const ClaimMessage &message)
    {
        const auto to = static_cast<std::size_t>(std::find(m_ids.begin(), m_ids.end(), message.to) - m_ids.begin());
        m_simulation.deliver(to, PeerMessageDelay, [this, from, to, body = message.body] {
            if (body.has_claim_request()) {
                m_coordinators[to]->receive(m_ids[from], body.claim_request(), m_simulation.now());
            } else {
                m_coordinators[to]->receive(m_ids[from], body.claim_reply(), m_simulation.now());
            }
            executeCommands(to);
        });
    }
    void scheduleTick(std::size_t instance)
    {
        const Instant wake = m_coordinators[instance]->wakeAt();
        if (wake == Instant::max()) {
            return;
        }
        const Instant due = std::max(wake, m_simulation.now() + std::chrono::microseconds(100));
        if (m_wakeTimes[instance] > m_simulation.now() && m_wakeTimes[instance] <= due) {
            return;
        }
        m_wakeTimes[instance] = due;
        m_simulation.deliver(instance, due - m_simulation.now(), [this, instance] {
            m_wakeTimes[instance] = Instant::max();
            m_coordinators[instance]->tick(m_simulation.now());
            executeCommands(instance);
        });
    }

    struct StartedClaim {
        std::size_t instance = 0;
        Instant startedAt;
    };

    Simulation m_simulation;
    FaultyStore m_store;
    double m_rate;
    std::vector<InstanceId> m_ids;
    std::vector<std::unique_ptr<ClaimCoordinator>> m_coordinators;
    std::vector<Instant> m_wakeTimes;
    std::vector<StartedClaim> m_claims;
    std::vector<Duration> m_latencies;
    int m_refused = 0;
};

/** Prints the size of a shard whose claims arrive evenly over one day, which is their retention. */
void printShardSize(std::size_t claims)
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
    std::printf("14 instances, 5 ms per store call, 0.5 ms per peer message, %lld s of virtual time\n",
                static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(MeasuredTime).count()));
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
    std::printf("\nshard with claims completed over one day\n%10s %10s %10s %12s\n", "claims", "stored", "bytes", "bytes/claim");
    for (const std::size_t claims :
         {std::size_t{100}, std::size_t{1350}, std::size_t{6750}, std::size_t{42000}, std::size_t{60000}}) {
        printShardSize(claims);
    }
    return 0;
}
