#pragma once

#include <filbertmount/claims/claimtypes.h>
#include <filbertmount/types/failure.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace Filbertmount {

struct ClaimRecord {
    /** Not kept once the claim is done. */
    ClaimNonce nonce{};
    /** HTTP status of the run; 0 while the claim is open. */
    std::uint16_t status = 0;
    std::uint32_t retentionSeconds = 0;
    /** Seconds of the store's clock, at or after the time of the claim; 0 while not known. */
    std::uint32_t stampedAt = 0;

    [[nodiscard]] bool done() const
    {
        return status != 0;
    }
};

/**
 * The claims of one store object. Not thread-safe.
 *
 * A claim is added without a time, because the store's clock at the time of the write is not known before its answer.
 * The next writer stamps it with the time of an answer that shows the claim, which is never too early. Thus a claim is
 * never pruned before its retention ends, whatever the clocks of the instances show.
 */
class ClaimShard
{
public:
    /** Highest size of a value in bytes; below the store's limit of 1 MB to leave room for the transport's encoding. */
    static constexpr std::size_t MaxValueBytes = std::size_t{960} * 1024;
    /** Shorter retentions are raised to this: it must exceed the dispatch window and a caller's resends. */
    static constexpr std::uint32_t MinRetentionSeconds = 60;

    /** Reads a store value; an empty one is an empty shard. Fails on a malformed value or an unknown version. */
    static Result<ClaimShard> parse(const std::string &value);
    [[nodiscard]] std::string serialize() const;

    /** Returns the claim of @p key or nullptr. */
    [[nodiscard]] const ClaimRecord *find(const ClaimKey &key) const;
    /** Adds an open claim without a time. Returns false when the shard is full; @p key must not be there. */
    bool add(const ClaimKey &key, const ClaimNonce &nonce, std::uint32_t retentionSeconds);
    /** Records the status of an open claim. Returns false when no open claim has this key and nonce. */
    bool complete(const ClaimKey &key, const ClaimNonce &nonce, int status);
    /** Removes an open claim. Returns false when no open claim has this key and nonce. */
    bool remove(const ClaimKey &key, const ClaimNonce &nonce);

    /** Gives claims without a time the time @p seen of a store answer that shows them. */
    void stamp(StoreTime seen);
    /** Removes the claims whose retention ended before @p now of the store's clock; returns their number. */
    std::size_t prune(StoreTime now);

    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }
    /** Returns an upper bound of the size of serialize() in bytes. */
    [[nodiscard]] std::size_t sizeBound() const;

private:
    /** Time and retention, the unit in which the codec groups claims. */
    using Batch = std::pair<std::uint32_t, std::uint32_t>;

    void insert(const ClaimKey &key, const ClaimRecord &record);
    void erase(const ClaimKey &key);

    absl::flat_hash_map<ClaimKey, ClaimRecord> m_claims;
    /** Number of claims of each batch. */
    absl::flat_hash_map<Batch, std::size_t> m_batches;
    std::size_t m_done = 0;
};

} // namespace Filbertmount
