#pragma once

#include <filbertmount/claims/claimoptions.h>
#include <filbertmount/claims/claimtypes.h>
#include <filbertmount/claims/forwardedclaims.h>
#include <filbertmount/claims/shardwriter.h>
#include <filbertmount/claims/writerhealth.h>
#include <filbertmount/peer/peersender.h>
#include <filbertmount/store/objectstore.h>

#include <peer.pb.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Filbertmount {

/** A store call to make. Its reply is passed to ClaimCoordinator::finishStoreCall() with the same number. */
struct ClaimStoreCall {
    std::uint64_t number = 0;
    std::string object;
    ShardCall call;
};

/** A message to send to another instance. */
struct ClaimMessage {
    InstanceId to;
    Wire::Body body;
};

/** The result of a claim() of this instance. */
struct ClaimDecided {
    RequestId request;
    ClaimResult result;
};

using ClaimCommand = std::variant<ClaimStoreCall, ClaimMessage, ClaimDecided>;

/** Counters since the start of the process. */
struct ClaimStatistics {
    /** Claims forwarded to the preferred writer. */
    std::uint64_t forwarded = 0;
    /** Claims, completions and releases that the preferred writer did not respond to before the timeout. */
    std::uint64_t fallbacks = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t malformedMessages = 0;
};

/**
 * Runs claims, completions and releases on the shards of this instance or forwards them to the preferred writer of the
 * shard, which is chosen by rendezvous hashing. Performs no I/O: returns commands and receives replies. Not thread-safe.
 *
 * Only the instance that generated a nonce may release it. An instance that writes for another one never removes an entry
 * without a release of the owner: the owner may have written the same nonce itself and may have dispatched the request.
 */
class ClaimCoordinator
{
public:
    ClaimCoordinator(InstanceId self, const ClaimOptions &options);
    // Not copyable: m_health and the shard writers hold references to m_options.
    ClaimCoordinator(const ClaimCoordinator &) = delete;
    ClaimCoordinator &operator=(const ClaimCoordinator &) = delete;

    /** Sets the live instances from which preferred writers are chosen. */
    void setMembers(std::vector<InstanceId> members);

    /** Starts a claim; takeCommands() later returns one ClaimDecided with @p request. The nonce must be new for each call. */
    void claim(RequestId request, const ClaimId &id, Duration retention, Instant now);
    /** Records the HTTP status of the request that ran under an owned claim. */
    void complete(const ClaimId &id, int status, Instant now);
    /** Removes an owned claim whose request was not run and will not be. */
    void release(const ClaimId &id, Instant now);

    void receive(const InstanceId &from, const Wire::ClaimRequest &request, Instant now);
    void receive(const InstanceId &from, const Wire::ClaimReply &reply, Instant now);
    void finishStoreCall(std::uint64_t number, const StoreReply &reply, Instant now);
    void tick(Instant now);

    std::vector<ClaimCommand> takeCommands();
    /** Returns when tick() must be called next; Instant::max() when nothing is scheduled. */
    [[nodiscard]] Instant wakeAt() const;
    [[nodiscard]] const ClaimStatistics &statistics() const
    {
        return m_statistics;
    }
    /** Returns the number of open operations: claims without a decision, and completions and releases that have not ended. */
    [[nodiscard]] std::size_t openOperations() const;

private:
    /** A claim of this instance that has no decision yet. */
    struct LocalClaim {
        RequestId request;
        ClaimId id;
        std::uint32_t retentionSeconds = 0;
        Instant startedAt;
        /** The instance that the claim was forwarded to; empty when it was not forwarded. */
        InstanceId writer;
        /** The claim was forwarded and the writer has not responded yet. */
        bool isForwardPending = false;
        /** Last time of the store's clock at which the writer may read the shard and then write the claim. */
        StoreTime notAfter;
        /** Time at which this instance writes the claim itself, unless the writer has responded. */
        Instant fallbackAt;
        /** Id of the operation on this instance's own shard writer; 0 while there is none. */
        std::uint64_t operation = 0;
    };
    /** A forwarded completion or release that has no response yet. */
    struct FollowUp {
        ShardOperation operation;
        ClaimId id;
        InstanceId writer;
        Instant sentAt;
        Instant fallbackAt;
    };
    /** The origin of an operation of a shard writer, to which its result is delivered. */
    struct PendingOperation {
        ShardOperationKind kind = ShardOperationKind::Claim;
        ClaimNonce nonce{};
        /** The instance that forwarded the operation; empty for an operation of this instance. */
        InstanceId from;
        /** The number that the forwarding instance gave its request. */
        std::uint64_t peerRequest = 0;
    };
    struct Shard {
        std::string object;
        ShardWriter writer;
    };
    /** A store call whose reply is outstanding. */
    struct Call {
        std::string object;
        bool isWrite = false;
    };

    /** Returns the instance to forward to; empty when this instance is to write itself. */
    [[nodiscard]] InstanceId preferredWriter(const std::string &object, Instant now) const;
    void forwardClaim(LocalClaim &claim, const InstanceId &writer, Instant now);
    void claimLocally(LocalClaim &claim, Instant now);
    void startFollowUp(const ClaimId &id, const ShardOperation &operation, Instant now);
    void decideClaim(const ClaimNonce &nonce, const ShardResult &result, Instant now);
    void fallBackToLocalOperations(Instant now);
    std::uint64_t addOperation(const ServiceName &service, ShardOperation operation, PendingOperation pending, Instant now);
    void receiveClaim(const InstanceId &from, const Wire::ClaimRequest &request, const ShardOperation &operation, Instant now);
    void receiveDecision(LocalClaim &claim, ClaimDecision decision, int status, Instant now);
    void cancelLocalOperation(LocalClaim &claim);
    Shard &shard(const std::string &object);
    void stepDirtyShards(Instant now);
    void stepShard(Shard &shard, Instant now);
    void deliverResult(const ShardResult &result, Instant now);
    void respondToPeer(const PendingOperation &pending, const ShardResult &result);
    void sendReply(const PendingOperation &pending, const ForwardedClaims::Decision &decision);
    void updateStoreTime(StoreTime time, Instant now);
    [[nodiscard]] StoreTime estimatedStoreTime(Instant now) const;
    void evictCaches(Instant now);

    const InstanceId m_self;
    const ClaimOptions m_options;
    std::vector<InstanceId> m_members;
    WriterHealth m_health;
    ForwardedClaims m_forwardedClaims;
    std::map<ClaimNonce, LocalClaim> m_claims;
    std::map<ClaimNonce, FollowUp> m_followUps;
    std::map<std::uint64_t, PendingOperation> m_pendingOperations;
    std::map<std::string, std::unique_ptr<Shard>> m_shards;
    /** Objects of the shards that have queued or running operations. */
    std::set<std::string> m_activeShards;
    /** Objects of the shards whose writer may have a store call or results to collect. */
    std::set<std::string> m_dirtyShards;
    std::map<std::uint64_t, Call> m_calls;
    std::vector<ClaimCommand> m_commands;
    ClaimStatistics m_statistics;
    /** Last number given to an operation, a store call or a message. */
    std::uint64_t m_lastNumber = 0;
    /** Latest time of the store's clock seen in a reply, received at m_storeTimeAt. */
    StoreTime m_storeTime;
    Instant m_storeTimeAt;
    Instant m_lastEviction;
};

} // namespace Filbertmount
