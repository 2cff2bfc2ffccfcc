#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** Limit on the requests of one client account, over all instances together. */
struct QuotaLimit {
    /** Requests per second. */
    double ratePerSecond = 0;
    /** Requests that the account may make at once after a time without requests. */
    double burst = 0;

    bool operator==(const QuotaLimit &) const = default;
};

/** Options of the quota classes. They are the same on all instances. */
struct QuotaOptions {
    /** Length of the sliding window in which the bound holds. */
    Duration window = std::chrono::seconds(5);
    /** Share by which an account may exceed its limit within a window; used as a safety margin only. */
    double overshoot = 0.1;
    /** Requests beyond that, per window. */
    double slack = 20;
    /** Time from sending a request for tokens until the granted ones can no longer be spent. */
    Duration leaseTime = std::chrono::milliseconds(250);
    /** Age up to which the owner takes back a granted token without counting it against the margin. */
    Duration returnTime = std::chrono::milliseconds(300);
    /** Interval at which the leader renews promises and owners. */
    Duration pollInterval = std::chrono::milliseconds(150);
    /** Time for which an instance follows the leader after its last poll. */
    Duration promiseTime = std::chrono::milliseconds(350);
    /** Time for which an owner may grant after a vote that the leader received. */
    Duration ownerTime = std::chrono::milliseconds(550);
    /** Time for which a majority needs no listing of the store after all known instances have followed one leader. */
    Duration unityTime = std::chrono::seconds(7);
    /** Longest wait for the next token of an account that is below its rate on average. */
    Duration tokenWait = std::chrono::milliseconds(100);
    /** Longest wait for an owner when the previous one has failed. */
    Duration ownerWait = std::chrono::milliseconds(1500);
};

/** The part of the bound that is above rate x window + burst and not used by leases, in tokens per window. */
double quotaMargin(const QuotaLimit &limit, const QuotaOptions &options);

/** Instances that own accounts, and the mapping of accounts to them by rendezvous hashing. */
class QuotaOwnerList
{
public:
    QuotaOwnerList() = default;
    QuotaOwnerList(std::uint64_t epoch, std::vector<InstanceId> owners);

    /** Increases with each change; 0 for an unknown list. */
    [[nodiscard]] std::uint64_t epoch() const;
    [[nodiscard]] const std::vector<InstanceId> &ids() const;
    /** Owner of the account with this stableHash(); null if there are no owners. */
    [[nodiscard]] const InstanceId *ownerOf(std::uint64_t accountHash) const;

private:
    std::uint64_t m_epoch = 0;
    std::vector<InstanceId> m_ids;
    std::vector<std::uint64_t> m_hashes;
};

} // namespace Filbertmount
