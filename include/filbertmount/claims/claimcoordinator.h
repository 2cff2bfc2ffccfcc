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

/** A store call to make; its reply goes to ClaimCoordinator::finishStoreCall with the same number. */
struct ClaimStoreCall {
    std::uint64_t number = 0;
    std::string object;
    ShardCall call;
};

struct ClaimMessage {
    InstanceId to;
    Wire::Body body;
};

struct ClaimDecided {
    RequestId request;
    ClaimAnswer answer;
};

using ClaimCommand = std::variant<ClaimStoreCall, ClaimMessage, ClaimDecided>;

struct ClaimStatistics {
    std::uint64_t forwarded = 0;
    /** Forwarded claims, completions and releases that the preferred writer did not answer in time. */
    std::uint64_t fallbacks = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t malformedMessages = 0;
};

/**
 * Decides which instance writes a claim, and follows each claim, completion and release to its end. Not thread-safe.
 *
 * Only the instance that made a nonce may release it. An instance that writes for another one never removes an entry on
 * its own account: the owner may have written the same nonce itself and may have dispatched.
 */
class ClaimCoordinator
{
public:
    ClaimCoordinator(InstanceId self, const ClaimOptions &options);
    // Members refer to the options of this object.
    ClaimCoordinator(const ClaimCoordinator &) = delete;
    ClaimCoordinator &operator=(const ClaimCoordinator &) = delete;

    /** Sets the live instances of which the preferred writers are chosen. */
    void setMembers(std::vector<InstanceId> members);

    /** Starts a claim, which ends in one ClaimDecided with @p request. The nonce must be new for each call. */
    void claim(RequestId request, const ClaimId &id, Duration retention, Instant now);
    /** Records the status of the run of an owned claim. */
    void complete(const ClaimId &id, int status, Instant now);
    /** Gives an owned claim back whose request was not run and will not be. */
    void release(const ClaimId &id, Instant now);

    void receive(const InstanceId &from, const Wire::ClaimRequest &request, Instant now);
    void receive(const InstanceId &from, const Wire::ClaimReply &reply, Instant now);
    void finishStoreCall(std::uint64_t number, const StoreReply &reply, Instant now);
    void tick(Instant now);

    std::vector<ClaimCommand> takeCommands();
    /** Returns when tick() is to be called next; the maximum when there is nothing to do. */
    [[nodiscard]] Instant wakeAt() const;
    [[nodiscard]] const ClaimStatistics &statistics() const
    {
        return m_statistics;
    }
    /** Returns the number of releases and completions that have not ended, and of claims without a decision. */
    [[nodiscard]] std::size_t openOperations() const;

private:
    /** A claim of this instance that has no decision yet. */
    struct LocalClaim {
        RequestId request;
        ClaimId id;
        std::uint32_t retentionSeconds = 0;
        Instant startedAt;
        /** The instance that the claim was forwarded to; empty when it never was. */
        InstanceId writer;
        /** Set until the writer has answered. */
        bool forwardOpen = false;
        StoreTime notAfter;
        Instant fallbackAt;
        /** Number of this instance's own operation; 0 while there is none. */
        std::uint64_t operation = 0;
    };
    /** A completion or release that was forwarded. */
    struct FollowUp {
        ShardOperation operation;
        ClaimId id;
        InstanceId writer;
        Instant sentAt;
        Instant fallbackAt;
    };
    /** Who waits for an operation of a shard writer. */
    struct PendingOperation {
        ShardOperationKind kind = ShardOperationKind::Claim;
        ClaimNonce nonce{};
        /** Empty for an operation of this instance. */
        InstanceId from;
        std::uint64_t peerRequest = 0;
    };
    struct Shard {
        std::string object;
        ShardWriter writer;
    };
    struct Call {
        std::string object;
        bool write = false;
    };

    [[nodiscard]] InstanceId preferredWriter(const std::string &object, Instant now) const;
    void forwardClaim(LocalClaim &claim, const InstanceId &writer, Instant now);
    void claimLocally(LocalClaim &claim, Instant now);
    void startFollowUp(const ClaimId &id, const ShardOperation &operation, Instant now);
    void decide(const ClaimNonce &nonce, const ShardResult &result, Instant now);
    void fallBackToLocalOperations(Instant now);
    std::uint64_t addOperation(const ServiceName &service, ShardOperation operation, PendingOperation pending, Instant now);
    void receiveClaim(const InstanceId &from, const Wire::ClaimRequest &request, const ShardOperation &operation, Instant now);
    void receiveDecision(LocalClaim &claim, ClaimDecision decision, int status, Instant now);
    void cancelLocalOperation(LocalClaim &claim);
    Shard &shard(const std::string &object);
    void stepDirtyShards(Instant now);
    void stepShard(Shard &shard, Instant now);
    void deliverResult(const ShardResult &result, Instant now);
    void answerPeer(const PendingOperation &pending, const ShardResult &result);
    void sendReply(const PendingOperation &pending, const ForwardedClaims::Decision &decision);
    void updateStoreTime(StoreTime time, Instant now);
    [[nodiscard]] StoreTime estimatedStoreTime(Instant now) const;
    void evictCaches(Instant now);

    const InstanceId m_self;
    const ClaimOptions m_options;
    std::vector<InstanceId> m_members;
    WriterHealth m_health;
    ForwardedClaims m_forwarded;
    std::map<ClaimNonce, LocalClaim> m_claims;
    std::map<ClaimNonce, FollowUp> m_followUps;
    std::map<std::uint64_t, PendingOperation> m_pendingOperations;
    std::map<std::string, std::unique_ptr<Shard>> m_shards;
    /** Shards with work. */
    std::set<std::string> m_active;
    /** Shards whose writer must be asked for its next step. */
    std::set<std::string> m_dirty;
    std::map<std::uint64_t, Call> m_calls;
    std::vector<ClaimCommand> m_commands;
    ClaimStatistics m_statistics;
    std::uint64_t m_lastNumber = 0;
    StoreTime m_storeTime;
    Instant m_storeTimeAt;
    Instant m_lastEviction;
};

} // namespace Filbertmount
