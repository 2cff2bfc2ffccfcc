#pragma once

#include <filbertmount/peer/peermessage.h>
#include <filbertmount/replication/documenttable.h>
#include <filbertmount/replication/freshnessgate.h>
#include <filbertmount/types/instant.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace Filbertmount {

/**
 * Replicates documents between instances by gossip and anti-entropy: changes are announced to a few random members, which
 * pull the documents that they lack, and periodic digest exchanges with one random member each repair lost messages.
 * Thread-safe; its lock is acquired before that of the DocumentTable.
 */
class DocumentGossip
{
public:
    struct Options {
        InstanceId self;
        std::uint64_t seed = 1;
        /** Time between the starts of two digest exchanges. */
        Duration exchangeInterval = std::chrono::milliseconds(200);
        /** Members to which each member announces a document that it newly received. */
        std::size_t fanout = 3;
        /** A pull that was not answered within this time is repeated at the next announcement of the document. */
        Duration pullTimeout = std::chrono::milliseconds(300);
        /** Largest total of the values in one push, in bytes. A larger document is pushed alone. */
        std::size_t maxPushBytes = std::size_t{256} << 10U;
    };

    /** @p table and @p gate must outlive this object. */
    DocumentGossip(Options options, DocumentTable &table, FreshnessGate &gate);

    /** Replaces the live members, without this instance. */
    void setMembers(std::vector<InstanceId> members);

    /** Announces documents that this instance read from the store. */
    PeerOutbox announce(const std::vector<ServiceName> &services);
    /** Starts a digest exchange when one is due. */
    PeerOutbox tick(Instant now);
    /** Handles DocumentDigest, DocumentRevisions, DocumentPull and DocumentPush; ignores other kinds. */
    PeerOutbox receive(const InstanceId &from, const Wire::Body &body, Instant now);

private:
    /** A digest exchange that this instance started. */
    struct Exchange {
        std::uint64_t nonce = 0;
        InstanceId peer;
        Instant startedAt;
        /** Revisions that the table must reach for the exchange to finish; valid once requirementsKnown is set. */
        std::vector<DocumentRevision> required;
        bool requirementsKnown = false;
        /** The peer's own documents were confirmed to be current when it responded. */
        bool peerConfirmed = false;
    };
    /** A pull that waits for its push. */
    struct Pull {
        Revision revision;
        Instant expires;
    };

    // A slow peer may respond after the next exchanges have started. The oldest exchange is dropped when there are more.
    static constexpr std::size_t MaxOpenExchanges = 8;
    // Larger pushes belong to a first synchronisation: their hundreds of documents are held by the other members already.
    static constexpr int MaxAnnouncedDocuments = 8;

    void receiveDigest(const InstanceId &from, const Wire::DocumentDigest &digest, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveDigestResponse(const InstanceId &from, const Wire::DocumentDigest &digest, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveRevisions(const InstanceId &from, const Wire::DocumentRevisions &revisions, Instant now, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void respondWithRevisions(const InstanceId &from, const Wire::DocumentRevisions &revisions, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receivePull(const InstanceId &from, const Wire::DocumentPull &pull, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receivePush(const Wire::DocumentPush &push, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    /** Adds announcements of @p services to Options::fanout random members. */
    void addAnnouncements(const std::vector<ServiceName> &services, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Requests the announced documents of which the table holds a lower revision or none. */
    void pullMissing(const InstanceId &from, const Wire::DocumentRevisions &revisions, Instant now, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Exchange *findExchange(std::uint64_t nonce, const InstanceId &peer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Removes the exchanges whose required revisions are held and confirms the documents to the gate. */
    void closeFinishedExchanges() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Options m_options;
    DocumentTable &m_table;
    FreshnessGate &m_gate;
    absl::Mutex m_mutex;
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    std::vector<InstanceId> m_members ABSL_GUARDED_BY(m_mutex);
    std::deque<Exchange> m_exchanges ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<ServiceName, Pull> m_pulls ABSL_GUARDED_BY(m_mutex);
    Instant m_nextExchange ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
