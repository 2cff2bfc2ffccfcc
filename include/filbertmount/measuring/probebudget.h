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
 * Token buckets with this instance's share of each service's probe budget; a token is one nanosecond of upstream slot time.
 * The share is the budget divided by the maximum number of entry instances, so that all instances together stay within the
 * budget without coordination. A transfer subtracts tokens before it is sent and adds them on receipt: a lost message loses
 * tokens, and no token is spent twice. Thread-safe.
 */
class ProbeBudget
{
public:
    /** A bucket holds at most the tokens that accrue in this time. */
    static constexpr Duration Capacity = std::chrono::seconds(1);
    static constexpr Duration TransferInterval = std::chrono::seconds(1);
    /** Keeps transfers of 610 services within about 0.5 KB/s. Balances that are not sent stay capped by their bucket. */
    static constexpr std::size_t TransfersPerInterval = 8;
    /** Maximum number of senders whose sequence numbers are kept; transfers of further senders are refused. */
    static constexpr std::size_t MaxSenders = 65536;

    struct Options {
        InstanceId self;
        /** Maximum number of entry instances that the platform runs at the same time. */
        int instanceLimit = 1;
    };

    explicit ProbeBudget(Options options);

    /**
     * Sets the budget of @p service. The bucket of a new service is empty.
     *
     * @param budgetPercent percentage of the slot time that all instances together may spend
     * @param slots total slots of all upstreams of the service
     */
    void setService(const ServiceName &service, double budgetPercent, int slots, Instant now);
    void removeService(const ServiceName &service);
    /** Sets the number of live members, including this instance. More than Options::instanceLimit stop all probing. */
    void setMemberCount(int members);

    /** Takes tokens for @p cost before a probe. Returns false when the bucket holds less or probing is stopped. */
    bool reserve(const ServiceName &service, Duration cost, Instant now);
    /** Replaces a reservation by the measured cost: refunds or takes the difference. The balance may become negative. */
    void settle(const ServiceName &service, Duration reserved, Duration measured, Instant now);

    /** Returns messages that transfer the largest unused balances to the services' dispatchers, once per TransferInterval. */
    PeerOutbox transfer(const std::vector<std::pair<ServiceName, InstanceId>> &dispatchers, Instant now);
    /** Adds tokens sent by @p from. Returns false for a duplicate, an out-of-order message or another recipient. */
    bool receive(const InstanceId &from, const Wire::BudgetTransfer &transfer, Instant now);

    /** Returns the balance of the bucket; it may be negative after a probe that cost more than reserved. */
    Duration balance(const ServiceName &service, Instant now);
    /** Returns whether probing is stopped because there are more live members than Options::instanceLimit. */
    [[nodiscard]] bool isOverLimit() const;

private:
    struct Bucket {
        /** Tokens that this instance accrues per second. */
        double accrualRate = 0;
        std::int64_t tokens = 0;
        Instant accruedAt;
        /** The instance limit was exceeded since the last accrual, so the next one adds no tokens. */
        bool isPaused = false;
    };

    /** Adds the tokens accrued since Bucket::accruedAt; see Capacity. */
    void accrue(Bucket &bucket, Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Tokens up to which accrual fills the bucket. */
    [[nodiscard]] static std::int64_t accrualCapacity(const Bucket &bucket);
    /** Tokens up to which transfers fill the bucket: the capacity of all instances together. */
    [[nodiscard]] std::int64_t totalCapacity(const Bucket &bucket) const;

    const Options m_options;
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<ServiceName, Bucket> m_buckets ABSL_GUARDED_BY(m_mutex);
    /** Sequence number of the last transfer received from each sender. */
    absl::flat_hash_map<InstanceId, std::uint64_t> m_lastReceivedSequences ABSL_GUARDED_BY(m_mutex);
    /** Sequence number of the last transfer sent. */
    std::uint64_t m_lastSequence ABSL_GUARDED_BY(m_mutex) = 0;
    Instant m_nextTransfer ABSL_GUARDED_BY(m_mutex);
    bool m_isOverLimit ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace Filbertmount
