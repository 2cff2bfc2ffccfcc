#pragma once

#include <filbertmount/membership/member.h>
#include <filbertmount/peer/peermessage.h>
#include <filbertmount/types/instant.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Filbertmount {

class MemberRegister;

/** Live members, this instance included, sorted by id. */
using MemberList = std::vector<Member>;

/** Counts since the start of this instance. */
struct MembershipCounts {
    /** Members that this instance suspected because they did not respond to its own pings. */
    std::uint64_t suspicions = 0;
    /** Updates that declared this instance suspect or dead and that it refuted with a higher incarnation. */
    std::uint64_t refutations = 0;
    /** Members that this instance declared dead after a suspicion timed out. */
    std::uint64_t deaths = 0;
};

/**
 * Tracks which entry instances are alive with the SWIM protocol: each period, one member is pinged, first directly and
 * then through other members, and member updates are piggybacked on these messages. Except for the response to a join, the
 * cost for each instance does not depend on the number of members. Thread-safe.
 */
class MembershipTable
{
public:
    struct Options {
        /** This instance. Each process run needs a new id. */
        Member self;
        /** "IP:port" of the seed peers that this instance joins through. */
        std::vector<std::string> staticPeers;
        std::uint64_t seed = 1;
        Duration pingInterval = std::chrono::milliseconds(200);
        /** Time to wait for the response to the direct ping, then again for that to the indirect pings. */
        Duration pingTimeout = std::chrono::milliseconds(200);
        /** Members that are asked to ping a member that did not respond directly. */
        std::size_t indirectPings = 3;
        /** Time between attempts to reach known peers that are not live, which rejoins the sides of a partition. */
        Duration reconnectInterval = std::chrono::seconds(5);
    };

    MembershipTable(Options options, Instant now);
    ~MembershipTable();
    MembershipTable(const MembershipTable &) = delete;
    MembershipTable &operator=(const MembershipTable &) = delete;
    MembershipTable(MembershipTable &&) = delete;
    MembershipTable &operator=(MembershipTable &&) = delete;

    /** Replaces the peer addresses known from the platform's instance list. */
    void setListedPeers(std::vector<std::string> addresses);

    /** Sends the pings that are due and declares members dead whose suspicion timed out. Call at least every 50 ms. */
    PeerOutbox tick(Instant now);
    /** Applies the member updates of a received envelope. Call before receive() for its bodies. */
    void receiveMembers(const Wire::Envelope &envelope, Instant now);
    /** Handles Ping, Ack, IndirectPing and JoinRequest; ignores other kinds. */
    PeerOutbox receive(const InstanceId &from, const Wire::Body &body, Instant now);
    /** Announces the shutdown of this instance to other members. Later calls of tick() and receive() send nothing. */
    PeerOutbox leave();

    [[nodiscard]] std::shared_ptr<const MemberList> live() const;
    /** Members that announced their shutdown a few minutes ago at most. */
    [[nodiscard]] MemberList left() const;
    /** Increases with each change of live(); above 0 from the start. */
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] MembershipCounts counts() const;

private:
    /** A ping of this instance that has not been answered. */
    struct Probe {
        std::uint64_t nonce = 0;
        InstanceId target;
        Instant sentAt;
        /** Other members were asked to ping the target. */
        bool indirect = false;
    };
    /** A ping sent on behalf of another member. */
    struct RelayedPing {
        std::uint64_t nonce = 0;
        InstanceId target;
        InstanceId requester;
        std::uint64_t requesterNonce = 0;
        Instant sentAt;
    };

    /** Drops open pings and extends suspicions when the time since the last tick() shows that this process was suspended. */
    void handleTickGap(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void checkProbes(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void pingNext(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void pingLocalSuspects(PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Joins through known addresses while no other member is known; otherwise pings addresses without a live member. */
    void joinOrReconnect(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Asks a seed member for all members while the view of a recently started instance differs from that of others. */
    void requestFullList(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Ends the request for all members with @p nonce; the next one waits longer. */
    void recordFullList(std::uint64_t nonce) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receivePing(const InstanceId &from, const Wire::Ping &ping, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveAck(const InstanceId &from, const Wire::Ack &ack, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveIndirectPing(const InstanceId &from, const Wire::IndirectPing &request, Instant now, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void respondToJoin(const InstanceId &from, const Wire::JoinRequest &join, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Wire::Envelope *addMessage(const InstanceId &to, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sendPing(const InstanceId &to, std::uint64_t nonce, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Refutes @p change, an update about this instance, when its state is not Alive. */
    void receiveUpdateOfSelf(const Member &change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Hash over the live members, this instance included. */
    [[nodiscard]] std::uint64_t viewHash() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Live members at the addresses of staticPeers, which hold the most complete lists; all live members if there are none. */
    [[nodiscard]] std::vector<InstanceId> seedMembers() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Known peer addresses at which no live member runs. */
    [[nodiscard]] std::vector<std::string> unreachedAddresses() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Rebuilds the list that live() returns. */
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Options m_options;
    mutable absl::Mutex m_mutex;
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    Member m_self ABSL_GUARDED_BY(m_mutex);
    /** Messages on which this instance's own update is still to be sent; set after a refutation. */
    int m_selfTransmissions ABSL_GUARDED_BY(m_mutex) = 0;
    std::unique_ptr<MemberRegister> m_members ABSL_GUARDED_BY(m_mutex);
    std::vector<std::string> m_listedPeers ABSL_GUARDED_BY(m_mutex);
    std::vector<InstanceId> m_pingOrder ABSL_GUARDED_BY(m_mutex);
    std::vector<Probe> m_probes ABSL_GUARDED_BY(m_mutex);
    std::vector<RelayedPing> m_relayed ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastNonce ABSL_GUARDED_BY(m_mutex) = 0;
    Instant m_startedAt ABSL_GUARDED_BY(m_mutex);
    Instant m_lastTick ABSL_GUARDED_BY(m_mutex);
    Instant m_nextPing ABSL_GUARDED_BY(m_mutex);
    Instant m_nextReconnect ABSL_GUARDED_BY(m_mutex);
    /** Delay before the next attempt to join while no other member is known. */
    Duration m_joinDelay ABSL_GUARDED_BY(m_mutex);
    /** Delay before the next request for all members while the views differ. */
    Duration m_fullListDelay ABSL_GUARDED_BY(m_mutex);
    MembershipCounts m_counts ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const MemberList> m_live ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_version ABSL_GUARDED_BY(m_mutex) = 1;
    Instant m_nextFullListRequest ABSL_GUARDED_BY(m_mutex);
    /** Nonce of a request for all members that has not been answered. */
    std::optional<std::uint64_t> m_fullListNonce ABSL_GUARDED_BY(m_mutex);
    /** The view hash of the last response differed from that of this instance. */
    bool m_viewDiffers ABSL_GUARDED_BY(m_mutex) = false;
    /** The next message repeats some members that have not changed. */
    bool m_refreshNext ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace Filbertmount
