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

/** What an operation does to a claim: Claim adds it, Complete records its status, Release removes it. */
enum class ShardOperationKind : std::uint8_t {
    Claim,
    Complete,
    Release,
};

/** A change of one claim of a shard. */
struct ShardOperation {
    ShardOperationKind kind = ShardOperationKind::Claim;
    std::uint64_t id = 0;
    ClaimKey key{};
    ClaimNonce nonce{};
    /** Completion only. */
    int status = 0;
    /** Claim only. */
    std::uint32_t retentionSeconds = 0;
    /** Claim only: ends as Unavailable at this instant. */
    Instant deadline;
    /** Claim only: the claim is not written on a view whose store time is later; zero for no limit. */
    StoreTime notAfter;
    /** Release only: the release ends with a write on a view whose store time is later than this; zero for no limit. */
    StoreTime fenceAfter;
};

/** The result of an operation that has ended. */
struct ShardResult {
    std::uint64_t id = 0;
    /** The outcome of a claim; Owned for completions and releases. */
    ClaimDecision decision = ClaimDecision::Unavailable;
    int status = 0;
    /** The claim did not end as Owned, but a write that contains it may have taken effect or may still do so. */
    bool mayBeWritten = false;
};

/** A read of the shard's object; the reply is passed to ShardWriter::finishRead(). */
struct ShardRead {
};
/** A write conditional on the revision @c base; the reply is passed to ShardWriter::finishWrite(). */
struct ShardWrite {
    std::string value;
    Revision base;
};
using ShardCall = std::variant<ShardRead, ShardWrite>;

/**
 * Batches the operations on one shard into reads and conditional writes, one store call at a time. Not thread-safe.
 *
 * Every write is conditional on the revision of the view that it was planned on. When the response to a write on revision R
 * is lost, a view with a higher revision shows definitely whether that write took effect. While views still show R, the
 * success of another write on R resolves it, because at most one write on R can take effect.
 */
class ShardWriter
{
public:
    ShardWriter(const ClaimOptions &options, std::uint64_t seed);

    void add(const ShardOperation &operation, Instant now);

    /** Withdraws a claim. Returns whether a write that contains it may have taken effect or may still do so. */
    bool withdraw(std::uint64_t id);

    /** Returns the next store call when one is due and none is running. */
    std::optional<ShardCall> step(Instant now);
    void finishRead(const StoreReply &reply, Instant now);
    void finishWrite(const StoreReply &reply, Instant now);

    /** Returns the operations that ended since the last call. */
    std::vector<ShardResult> takeResults();

    /** Returns when step() must be called next; Instant::max() when nothing is scheduled. */
    [[nodiscard]] Instant wakeAt() const;
    /** Returns whether no operation is queued and no store call is running, so that the writer may be destroyed. */
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] Instant lastUse() const
    {
        return m_lastUse;
    }
    /** Returns the number of queued operations. */
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
        /** A write that contains the claim may have taken effect. */
        bool mayBeWritten = false;
        /** Has a result or was withdrawn; stays queued while isInWrite. */
        bool hasEnded = false;
        /** Part of the running write. */
        bool isInWrite = false;
    };
    /** The shard as the last successful store call showed it. */
    struct View {
        ClaimShard shard;
        Revision revision;
        /** The store's clock in the reply to that call. */
        StoreTime time;
        /** When that call was started. */
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
    Plan planAll(Instant now, bool *needsWrite);
    Plan planOperation(Queued &queued, Instant now, bool *needsWrite);
    Plan planClaim(Queued &queued, bool *needsWrite);
    Plan planCompletion(Queued &queued, Instant now, bool *needsWrite);
    Plan planRelease(Queued &queued, Instant now, bool *needsWrite);
    ShardCall startRead(Instant now);
    ShardCall startWrite(Instant now);
    void endOperation(Queued &queued, ClaimDecision decision, int status = 0);
    void removeEnded();
    void applyWrite(const StoreReply &reply, Instant now);
    void handleStoreFailure(Instant now);
    /** Returns whether the view was requested after the operation was queued. */
    [[nodiscard]] bool isViewFresh(const Queued &queued) const;
    /** Returns whether the outcome of every write is known. */
    [[nodiscard]] bool areWritesResolved() const;
    Duration nextRetryDelay();

    const ClaimOptions &m_options;
    std::mt19937_64 m_random;
    std::vector<Queued> m_queue;
    std::vector<ShardResult> m_results;
    std::optional<View> m_view;
    /** The view with the changes of the next write applied. */
    ClaimShard m_planned;
    Call m_call = Call::None;
    Instant m_callStartedAt;
    /** Set when the view must be read again before use. */
    bool m_needsRead = true;
    /** A read that returns a lower revision is stale. */
    Revision m_minRevision;
    /** Highest revision on which a write was sent whose outcome is unknown. */
    std::optional<Revision> m_unresolvedWriteBase;
    Instant m_retryAt;
    std::optional<Instant> m_lastWriteAt;
    Instant m_lastUse;
    int m_failures = 0;
};

} // namespace Filbertmount
