#pragma once

#include <filbertmount/peer/peermessage.h>
#include <filbertmount/types/instant.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace Filbertmount {

/**
 * This instance's share of each service's probe budget, in upstream slot time. The shares are fixed by the limit on
 * entry instances, so the sum over all instances stays within the budget without any agreement between them. Tokens
 * are subtracted before they are sent and added on receipt: a lost message loses tokens, and none are minted twice.
 * Thread-safe.
 */
class ProbeBudget
{
public:
    /** A bucket holds at most the tokens of this time. */
    static constexpr Duration Capacity = std::chrono::seconds(1);
    static constexpr Duration TransferInterval = std::chrono::seconds(1);
    /** Keeps transfers of 610 services within about 0.5 KB/s; what is not sent is capped and lost. */
    static constexpr std::size_t TransfersPerInterval = 8;
    /** Senders whose sequence numbers are remembered; transfers of further ones are refused. */
    static constexpr std::size_t MaxSenders = 65536;

    struct Options {
        InstanceId self;
        /** Highest number of entry instances that the platform runs at one time. */
        int instanceLimit = 1;
    };

    explicit ProbeBudget(Options options);

    /**
     * Sets the budget of @p service; a new service starts with an empty bucket.
     *
     * @param budgetPercent share of the slot time that all instances together may spend
     * @param slots number of slots of all upstreams of the service
     */
    void setService(const ServiceName &service, double budgetPercent, int slots, Instant now);
    void removeService(const ServiceName &service);
    /** @param members live members, this instance included; more than the limit stop all probing */
    void setMemberCount(int members);

    /** Takes @p cost from the bucket before a probe; false when it does not hold that much. */
    bool reserve(const ServiceName &service, Duration cost, Instant now);
    /** Corrects a reservation by the measured cost: returns the rest, or takes more and leaves a debt. */
    void settle(const ServiceName &service, Duration reserved, Duration measured, Instant now);

    /** Sends the largest unused balances to the services' dispatchers; call at any interval. */
    PeerOutbox transfer(const std::vector<std::pair<ServiceName, InstanceId>> &dispatchers, Instant now);
    /** Takes tokens sent by @p from. Returns false for a duplicate, an overtaken message or another recipient. */
    bool receive(const InstanceId &from, const Wire::BudgetTransfer &transfer, Instant now);

    /** Tokens left; negative after a probe that cost more than reserved. */
    Duration balance(const ServiceName &service, Instant now);
    /** True while more members are seen than the limit allows, which stops probing. */
    [[nodiscard]] bool overLimit() const;

private:
    struct Bucket {
        /** Slot time per second that this instance accrues. */
        double accrualRate = 0;
        std::int64_t tokens = 0;
        Instant accruedAt;
        /** The time until the next accrual was spent over the limit and earns nothing. */
        bool paused = false;
    };

    void accrue(Bucket &bucket, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] static std::int64_t accrualCapacity(const Bucket &bucket);
    [[nodiscard]] std::int64_t totalCapacity(const Bucket &bucket) const;

    const Options m_options;
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<ServiceName, Bucket> m_buckets ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<InstanceId, std::uint64_t> m_lastSequences ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
    Instant m_nextTransfer ABSL_GUARDED_BY(m_mutex);
    bool m_overLimit ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace Filbertmount
