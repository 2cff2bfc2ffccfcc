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
 * Spreads documents between instances: changes are announced to a few random members, which pull what they lack, and a
 * digest exchange with one random member at a time repairs what was lost. Thread-safe; its lock comes before that of
 * the DocumentTable.
 */
class DocumentGossip
{
public:
    struct Options {
        InstanceId self;
        std::uint64_t seed = 1;
        Duration exchangeInterval = std::chrono::milliseconds(200);
        /** Members that hear of a change from each member that learns it. */
        std::size_t fanout = 3;
        /** A pull that was not answered by then is repeated when the document is heard of again. */
        Duration pullTimeout = std::chrono::milliseconds(300);
        /** Documents in one push, in bytes; one larger document still goes alone. */
        std::size_t maxPushBytes = std::size_t{256} << 10U;
    };

    /** @p table and @p gate must outlive this object. */
    DocumentGossip(Options options, DocumentTable &table, FreshnessGate &gate);

    /** Replaces the live members, without this instance. */
    void setMembers(std::vector<InstanceId> members);

    /** Announces documents that this instance took from the store. */
    PeerOutbox announce(const std::vector<ServiceName> &services);
    /** Opens a digest exchange when one is due. */
    PeerOutbox tick(Instant now);
    /** Handles DocumentDigest, DocumentRevisions, DocumentPull and DocumentPush; ignores other kinds. */
    PeerOutbox receive(const InstanceId &from, const Wire::Body &body, Instant now);

private:
    struct Exchange {
        std::uint64_t nonce = 0;
        InstanceId peer;
        Instant startedAt;
        /** What the table must hold before the exchange shows that it is current; valid once requirementsKnown is set. */
        std::vector<DocumentRevision> required;
        bool requirementsKnown = false;
        /** The peer had confirmed its own documents. */
        bool peerConfirmed = false;
    };
    struct Pull {
        Revision revision;
        Instant expires;
    };

    // Slow peers answer later than the next exchange begins; more than this many seconds' worth is given up.
    static constexpr std::size_t MaxOpenExchanges = 8;
    // A first synchronisation brings hundreds of documents that the others already have.
    static constexpr int MaxAnnouncedDocuments = 8;

    void receiveDigest(const InstanceId &from, const Wire::DocumentDigest &digest, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveDigestAnswer(const InstanceId &from, const Wire::DocumentDigest &digest, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receiveRevisions(const InstanceId &from, const Wire::DocumentRevisions &revisions, Instant now, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void answerRevisions(const InstanceId &from, const Wire::DocumentRevisions &revisions, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receivePull(const InstanceId &from, const Wire::DocumentPull &pull, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void receivePush(const Wire::DocumentPush &push, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    void addAnnouncements(const std::vector<ServiceName> &services, PeerOutbox &outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void pullMissing(const InstanceId &from, const Wire::DocumentRevisions &revisions, Instant now, PeerOutbox &outbox)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Exchange *findExchange(std::uint64_t nonce, const InstanceId &peer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
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
