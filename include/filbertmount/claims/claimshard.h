#pragma once

#include <filbertmount/claims/claimtypes.h>
#include <filbertmount/types/failure.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace Filbertmount {

/** A claim as it is stored. */
struct ClaimRecord {
    /** Zero once the claim is done. */
    ClaimNonce nonce{};
    /** HTTP status that the request ended with; 0 while the claim is open. */
    std::uint16_t status = 0;
    std::uint32_t retentionSeconds = 0;
    /** Seconds since the Unix epoch by the store's clock, not before the claim was written; 0 while unknown. */
    std::uint32_t stampedAt = 0;

    [[nodiscard]] bool isDone() const
    {
        return status != 0;
    }
};

/**
 * The claims in one store object. Not thread-safe.
 *
 * A claim is added without a time stamp, because the store reports its clock only in the reply to the write. The next
 * writer stamps the claim with the time of a store reply that contains it, which is never before the write. A claim is
 * therefore never pruned before its retention ends, whatever the clocks of the instances show.
 */
class ClaimShard
{
public:
    /** Maximum size of a serialized shard; below the store's limit of 1 MB to leave room for the transport's encoding. */
    static constexpr std::size_t MaxValueBytes = std::size_t{960} * 1024;
    /** Lower bound of the retention, which must exceed the dispatch window and the time over which a caller resends. */
    static constexpr std::uint32_t MinRetentionSeconds = 60;

    /** Parses a store value; an empty value is an empty shard. Fails on a malformed value or an unknown version. */
    static Result<ClaimShard> parse(const std::string &value);
    [[nodiscard]] std::string serialize() const;

    /** Returns the claim of @p key or nullptr. */
    [[nodiscard]] const ClaimRecord *find(const ClaimKey &key) const;
    /** Adds an open claim without a time stamp. Returns false when the shard is full; @p key must not be present. */
    bool add(const ClaimKey &key, const ClaimNonce &nonce, std::uint32_t retentionSeconds);
    /** Records the status of an open claim. Returns false when no open claim has this key and nonce. */
    bool complete(const ClaimKey &key, const ClaimNonce &nonce, int status);
    /** Removes an open claim. Returns false when no open claim has this key and nonce. */
    bool remove(const ClaimKey &key, const ClaimNonce &nonce);

    /** Stamps all claims without a time stamp with @p seen, the store's clock in a reply that contains them. */
    void stamp(StoreTime seen);
    /** Removes the claims whose retention ended before @p now by the store's clock; returns their number. */
    std::size_t prune(StoreTime now);

    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }
    /** Returns an upper bound of the size of serialize() in bytes. */
    [[nodiscard]] std::size_t sizeBound() const;

private:
    /** Time stamp and retention in seconds; claims that share both are stored in one batch. */
    using Batch = std::pair<std::uint32_t, std::uint32_t>;

    void insert(const ClaimKey &key, const ClaimRecord &record);
    void erase(const ClaimKey &key);

    absl::flat_hash_map<ClaimKey, ClaimRecord> m_claims;
    /** Number of claims in each batch. */
    absl::flat_hash_map<Batch, std::size_t> m_batches;
    /** Number of claims that are done. */
    std::size_t m_done = 0;
};

} // namespace Filbertmount
