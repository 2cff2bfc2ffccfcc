#pragma once

#include <filbertmount/accounts/quotaelection.h>
#include <filbertmount/accounts/quotatypes.h>
#include <filbertmount/peer/peermessage.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/**
 * Holds the token buckets of the accounts that this instance owns and leases tokens to the instances.
 *
 * A bucket is created empty at the time from which QuotaElection made this instance responsible, so tokens of an earlier owner
 * are never issued again. Performs no I/O. Not thread-safe.
 */
class QuotaOwner
{
public:
    /** @p election must outlive the owner. */
    QuotaOwner(const QuotaElection &election, const QuotaOptions &options);

    /** Sets the version of the configuration in force here. A limit of a later version applies if it is lower. */
    void setVersion(std::uint64_t version);
    /** Replies to a request of @p from; nothing is appended for a request that is older than the latest one. */
    void onRequest(const InstanceId &from, const Wire::QuotaRequest &request, Instant now, PeerOutbox &outbox);
    void onReturn(const InstanceId &from, const Wire::QuotaReturn &returned, Instant now);
    /** Removes state of instances and accounts without recent requests. Call about once a second. */
    void removeUnused(Instant now);
    /** Restarts all buckets from zero, because the process was suspended. */
    void forgetBuckets(Instant now);

    [[nodiscard]] std::size_t bucketCount() const;
    /** Tokens leased since the start. */
    [[nodiscard]] std::uint64_t leasedTokens() const;

private:
    struct Bucket {
        /** Responsibility under which the bucket was created. */
        Instant since;
        QuotaLimit limit;
        std::uint64_t version = 0;
        double tokens = 0;
        Instant refilledAt;
        /** Tokens that may be taken back late; a part of the margin. */
        double lateReturns = 0;
        /** Requests per second that arrived anywhere, smoothed. */
        double offered = 0;
        Instant offeredAt;
        /** Time of the next token that has not been announced to a refused instance. */
        Instant nextOffer;
        Instant usedAt;
    };
    struct Issue {
        std::uint64_t request = 0;
        Instant issuedAt;
    };
    struct Holder {
        std::uint64_t lastRequest = 0;
        Wire::Envelope lastReply;
        std::uint64_t lastReturn = 0;
        /** Requests whose tokens may be returned in time. */
        std::vector<Issue> issues;
        Instant usedAt;
    };

    /** Returns the bucket of an account, created if necessary; null if this instance does not own the account. */
    Bucket *bucketOf(const std::string &account, const Wire::QuotaDemand *demand, Instant now);
    [[nodiscard]] Bucket newBucket(Instant since, const QuotaLimit &limit, Instant now) const;
    void updateLimit(Bucket &bucket, const Wire::QuotaDemand &demand) const;
    void refill(Bucket &bucket, Instant now) const;
    void recordArrivals(Bucket &bucket, std::uint32_t arrived, Instant now) const;
    void grant(Bucket &bucket, const Wire::QuotaDemand &demand, Instant now, Wire::QuotaGrant &grant);
    /** Time until the owner expects to have a token for the next instance that is refused. */
    Duration nextOffer(Bucket &bucket, Instant now) const;
    /** Rate and burst in force: of the account, or of the part of the margin of a divided fleet. */
    [[nodiscard]] QuotaLimit effectiveLimit(const QuotaLimit &limit) const;
    /** Most tokens that a bucket fills up to. */
    [[nodiscard]] double capacity(const QuotaLimit &limit) const;

    const QuotaElection &m_election;
    QuotaOptions m_options;
    std::uint64_t m_version = 0;
    absl::flat_hash_map<std::string, Bucket> m_buckets;
    absl::flat_hash_map<InstanceId, Holder> m_holders;
    std::uint64_t m_leasedTokens = 0;
    /** The latest suspension; buckets are not filled for the time before it. */
    Instant m_unknownBefore{};
};

} // namespace Filbertmount
