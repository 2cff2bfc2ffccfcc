#pragma once

#include <filbertmount/claims/claimoptions.h>
#include <filbertmount/claims/claimshard.h>
#include <filbertmount/claims/claimtypes.h>
#include <filbertmount/store/objectstore.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Filbertmount {

enum class ShardOperationKind : std::uint8_t {
    Claim,
    Complete,
    Release,
};

struct ShardOperation {
    ShardOperationKind kind = ShardOperationKind::Claim;
    std::uint64_t id = 0;
    ClaimKey key{};
    ClaimNonce nonce{};
    /** Completion only. */
    int status = 0;
    /** Claim only. */
    std::uint32_t retentionSeconds = 0;
    /** Claim only: answered Unavailable after this instant. */
    Instant deadline;
    /** Claim only: zero, or the last time of the store's clock of a view on which the claim may be written. */
    StoreTime notAfter;
    /** Release only: zero, or a time that the view under the last write of this release must exceed. */
    StoreTime fenceAfter;
};

struct ShardResult {
    std::uint64_t id = 0;
    /** Of a claim; completions and releases end as Owned. */
    ClaimDecision decision = ClaimDecision::Unavailable;
    int status = 0;
    /** The claim was not decided as Owned, yet a write that contains it may still take effect or have taken effect. */
    bool mayBeWritten = false;
};

/** A store call that the owner of the writer must make; its reply goes back to the writer. */
struct ShardRead {
};
struct ShardWrite {
    std::string value;
    Revision base;
};
using ShardCall = std::variant<ShardRead, ShardWrite>;

/**
 * Decides what is read and written of one shard, with one store call at a time. Not thread-safe.
 *
 * Every write is conditional on the revision of the view that it was planned on. After a write with a lost answer on
 * revision R, a view with a higher revision shows for good whether it took effect. While views still show R, any write
 * on R settles it, because at most one write on R can take effect.
 */
class ShardWriter
{
public:
    ShardWriter(const ClaimOptions &options, std::uint64_t seed);

    void add(const ShardOperation &operation, Instant now);

    /** Withdraws a claim. Returns whether a write that contains it may have taken or may still take effect. */
    bool withdraw(std::uint64_t id);

    /** Returns the next store call when one is due and none is under way. */
    std::optional<ShardCall> step(Instant now);
    void finishRead(const StoreReply &reply, Instant now);
    void finishWrite(const StoreReply &reply, Instant now);

    /** Returns the operations that ended since the last call. */
    std::vector<ShardResult> takeResults();

    /** Returns when step() is to be called next; the maximum when there is nothing to do. */
    [[nodiscard]] Instant wakeAt() const;
    /** Returns whether nothing is queued or under way, so that the writer may be dropped. */
    [[nodiscard]] bool idle() const;
    [[nodiscard]] Instant lastUse() const
    {
        return m_lastUse;
    }
    /** Returns the number of operations that have not ended. */
    [[nodiscard]] std::size_t openOperations() const
    {
        return m_queue.size();
    }
    /** Returns the number of claims in the cached view. */
    [[nodiscard]] std::size_t cachedClaims() const
    {
        return m_view ? m_view->shard.size() : 0;
    }

private:
    struct Queued {
        ShardOperation operation;
        Instant queuedAt;
        Instant dueAt;
        bool mayBeWritten = false;
        bool ended = false;
        /** Part of the write under way. */
        bool inWrite = false;
    };
    struct View {
        ClaimShard shard;
        Revision revision;
        /** Store's clock in the answer that gave the view. */
        StoreTime time;
        /** When the call that gave the view was started. */
        Instant startedAt;
    };
    enum class Call : std::uint8_t {
        None,
        Read,
        Write,
    };
    enum class Plan : std::uint8_t {
        Nothing,
        Read,
        Write,
    };

    void expireClaims(Instant now);
    Plan plan(Instant now);
    Plan planAll(Instant now, bool *dirty);
    Plan planOne(Queued &queued, Instant now, bool *dirty);
    Plan planClaim(Queued &queued, bool *dirty);
    Plan planCompletion(Queued &queued, Instant now, bool *dirty);
    Plan planRelease(Queued &queued, Instant now, bool *dirty);
    ShardCall startRead(Instant now);
    ShardCall startWrite(Instant now);
    void finish(Queued &queued, ClaimDecision decision, int status = 0);
    void removeEnded();
    void applyWrite(const StoreReply &reply, Instant now);
    void handleStoreFailure(Instant now);
    [[nodiscard]] bool viewIsFresh(const Queued &queued) const;
    [[nodiscard]] bool writesResolved() const;
    Duration nextRetryDelay();

    const ClaimOptions &m_options;
    std::mt19937_64 m_random;
    std::vector<Queued> m_queue;
    std::vector<ShardResult> m_results;
    std::optional<View> m_view;
    /** The view with the changes that the next write makes. */
    ClaimShard m_planned;
    Call m_call = Call::None;
    Instant m_callStartedAt;
    /** Set when the view must be read again before use. */
    bool m_refresh = true;
    /** A read that shows a lower revision is stale. */
    Revision m_minRevision;
    /** Highest revision on which a write was sent whose answer was lost. */
    std::optional<Revision> m_unresolvedWriteBase;
    Instant m_retryAt;
    std::optional<Instant> m_lastWriteAt;
    Instant m_lastUse;
    int m_failures = 0;
};

} // namespace Filbertmount
