#pragma once

#include <filbertmount/membership/member.h>
#include <filbertmount/peer/peermessage.h>
#include <filbertmount/types/instant.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Filbertmount {

class MemberRegister;

/** Live members, this instance included, sorted by id. */
using MemberList = std::vector<Member>;

/** Counts since the start of this instance. */
struct MembershipCounts {
    /** Members that this instance itself found silent. */
    std::uint64_t suspicions = 0;
    /** Times this instance contradicted a statement that it is suspect or dead. */
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
};

/**
 * Tracks which entry instances are alive, in the manner of SWIM: each period one member is pinged, directly and then
 * through others, and changes travel on these messages. The cost does not depend on the number of members, but for the
 * answer to a join. Thread-safe.
 */
class MembershipTable
{
public:
    struct Options {
        /** This instance; the id must be new for each process run. */
        Member self;
        /** "IP:port" of peers to join through. */
        std::vector<std::string> staticPeers;
        std::uint64_t seed = 1;
        Duration pingInterval = std::chrono::milliseconds(200);
        /** Time for an answer, first to the direct and then to the indirect ping. */
        Duration pingTimeout = std::chrono::milliseconds(200);
        std::size_t indirectPings = 3;
        /** Time between attempts to reach known peers that are not live, which ends partitions. */
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

    /** Sends pings that are due and ends suspicions; call at least every 50 ms. */
    PeerOutbox tick(Instant now);
    /** Takes the member updates of a received envelope. Call before receive() for its bodies. */
    void receiveMembers(const Wire::Envelope &envelope, Instant now);
    /** Handles Ping, Ack, IndirectPing and JoinRequest; ignores other kinds. */
    PeerOutbox receive(const InstanceId &from, const Wire::Body &body, Instant now);
    /** Tells other members that this instance shuts down. Later calls of tick() and receive() send nothing. */
    PeerOutbox leave();

    [[nodiscard]] std::shared_ptr<const MemberList> live() const;
    /** Rises with each change of live(). */
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] MembershipCounts counts() const;

private:
    struct Probe {
        std::uint64_t nonce = 0;
        InstanceId target;
        Instant sentAt;
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

    void handleTickGap(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void checkProbes(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void pingNext(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void pingLocalSuspects(PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void joinOrReconnect(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void requestFullList(Instant now, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receivePing(const InstanceId &from, const Wire::Ping &ping, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveAck(const InstanceId &from, const Wire::Ack &ack, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveIndirectPing(const InstanceId &from, const Wire::IndirectPing &request, Instant now, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void answerJoin(const InstanceId &from, const Wire::JoinRequest &join, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Wire::Envelope *addMessage(const InstanceId &to, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sendPing(const InstanceId &to, std::uint64_t nonce, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveUpdateOfSelf(const Member &change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] std::uint64_t viewHash() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Live members that others join through, since they know the most; any live ones without these. */
    [[nodiscard]] std::vector<InstanceId> seedMembers() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] std::vector<std::string> unreachedAddresses() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Options m_options;
    mutable absl::Mutex m_mutex;
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    Member m_self ABSL_GUARDED_BY(m_mutex);
    /** How often the own update is still to be sent; set after a refutation. */
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
    /** Until the next attempt to join while no other member is known. */
    Duration m_joinDelay ABSL_GUARDED_BY(m_mutex);
    /** Until the next request for all members while the views differ. */
    Duration m_fullListDelay ABSL_GUARDED_BY(m_mutex);
    MembershipCounts m_counts ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const MemberList> m_live ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
    Instant m_nextFullListRequest ABSL_GUARDED_BY(m_mutex);
    /** The view differs from that of the member that answered last. */
    bool m_viewDiffers ABSL_GUARDED_BY(m_mutex) = false;
    /** The next message repeats some members. */
    bool m_refreshNext ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace Filbertmount
