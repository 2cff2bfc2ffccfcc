#pragma once

#include <filbertmount/peer/peersender.h>
#include <filbertmount/quarantine/crashevidence.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <peer.pb.h>

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/** First 128 bits of the SHA-256 over scope, method, target and body hash of a request. */
using CrashFingerprint = std::array<std::uint8_t, 16>;

/**
 * Computes the fingerprint of a request.
 *
 * @param scope separates requests that are alike by chance: the host, or the service where requests do not choose between several
 * @param bodyHash may have any length; empty for a request without a body
 */
CrashFingerprint
crashFingerprint(const std::string &scope, const std::string &method, const std::string &target, const std::string &bodyHash);

/** Retention and memory limits of the quarantine. */
struct CrashQuarantineOptions {
    /** Time after which a strike, a quarantine and a recorded success expire. */
    Duration retention = std::chrono::minutes(10);
    /** Maximum number of fingerprints with strikes; a new one evicts the one whose last strike is oldest. */
    std::size_t maxSuspects = 4096;
    /** Maximum number of fingerprints with strikes that a single peer may add. */
    std::size_t maxSuspectsPerPeer = 512;
    /** Maximum number of requests whose last success at a service is recorded. */
    std::size_t maxSuccesses = 8192;
    /** Maximum number of requests per fingerprint that wait for the running one to end. */
    std::size_t maxWaiting = 256;
};

/** Permission for one attempt; passed exactly once to succeeded(), crashed() or ended(). */
struct CrashTicket {
    ServiceName service;
    CrashFingerprint fingerprint{};
    /** Number of the run of a request with strikes, of which this instance runs one at a time; 0 for one without strikes. */
    std::uint64_t run = 0;
};

/** Whether an attempt may run. */
enum class CrashAdmission : std::uint8_t {
    Run,
    /** Another request with the same fingerprint is running; a decision follows when it has ended. */
    Wait,
    /** Refuse as not run: requests like this one have crashed several upstreams. */
    Quarantined,
    /** Refuse as not run: too many requests with the same fingerprint wait. */
    Busy,
};

/** Decision on one request. */
struct CrashDecision {
    RequestId request;
    CrashAdmission admission = CrashAdmission::Run;
    CrashTicket ticket;
};

/**
 * Limits how many upstreams a crashing request takes down. Not thread-safe.
 *
 * A request whose upstream crashes gets a strike, which is sent to all members. A request with strikes runs once at a time
 * (a run under suspicion). It is quarantined, that is refused, for a service when the strikes there suffice
 * (confirmsCrashesOf()), and for all services that it may go to when upstreams of two of them crashed (confirmsCrashesOfAll()),
 * except for those at which it succeeded recently: a new version of the software on some of the upstreams must not keep requests
 * from the others. Strikes from runs without suspicion do not suffice: when upstreams crash at the same time, as in the loss of a
 * zone, all requests that they ran get a strike.
 *
 * Strikes are kept in memory only. Each is sent once when it occurs; an instance that missed it, or that started later, gets it
 * with the history of another one (see CrashHistorySync). The age of a strike is passed on with it, so it expires everywhere at
 * about the same time.
 */
class CrashQuarantine
{
public:
    CrashQuarantine(InstanceId self, const CrashQuarantineOptions &options);

    /** Requests admission of one attempt. After Wait, takeDecisions() later returns a decision on @p request. */
    CrashDecision admit(RequestId request, const ServiceName &service, const CrashFingerprint &fingerprint, Instant now);
    /** Withdraws a waiting request. */
    void withdraw(RequestId request, const CrashFingerprint &fingerprint);

    /** Ends an attempt whose upstream sent a complete response; clears the strikes of the request at this service. */
    void succeeded(const CrashTicket &ticket, Instant now);
    /** Ends an attempt whose upstream closed the connection after bytes were sent and before the response was complete. */
    void crashed(const CrashTicket &ticket, const UpstreamId &upstream, Instant now);
    /** Ends an attempt with any other outcome, such as a timeout, a refusal or a caller that disconnected. */
    void ended(const CrashTicket &ticket, Instant now);

    /** Applies a strike of a peer or the clearing of its strikes. Ignores malformed, repeated and own messages. */
    void receive(const InstanceId &from, const Wire::CrashStrike &message, Instant now);
    /**
     * Returns all strikes that have not expired, those of the most recently struck requests first, up to a limit. A process that
     * has just started, or that missed messages, learns from them what the others know.
     */
    [[nodiscard]] std::vector<Wire::CrashStrike> history(Instant now) const;
    /** Returns a hash over the strikes of history(); 0 when there are none. */
    [[nodiscard]] std::uint64_t historyHash(Instant now) const;
    /**
     * Applies strikes that @p from knows, also those of other origins, at the age that they state. Ignores malformed, known and
     * expired ones, and those from before a success of the request. Returns the number of new ones.
     */
    std::size_t receiveHistory(const InstanceId &from, const Wire::CrashHistory &message, Instant now);
    /** Removes expired strikes, quarantines and successes. Must be called about once a second. */
    void tick(Instant now);

    /** Returns the decisions on waiting requests that were made since the last call. */
    std::vector<CrashDecision> takeDecisions();
    /** Returns the messages to send to every live member. */
    std::vector<Wire::CrashStrike> takeMessages();

    /** Returns the number of fingerprints with strikes or a recorded clearing. */
    [[nodiscard]] std::size_t suspects() const
    {
        return m_suspects.size();
    }
    /** Returns the number of quarantined fingerprints. */
    [[nodiscard]] std::size_t quarantined(Instant now) const;

private:
    /** A request that has, or had, strikes. */
    struct Suspect {
        std::vector<CrashEvidence> strikes;
        /** Clearings of peers that were applied. Each may clear once, so that a faulty peer cannot hide a crashing request. */
        std::vector<std::pair<ServiceName, InstanceId>> clearedBy;
        /** Time of the last clearing at a service; strikes from before it are not applied again. */
        std::map<ServiceName, Instant> clearedAt;
        /** Number of the run under suspicion; 0 while there is none. */
        std::uint64_t run = 0;
        std::deque<std::pair<RequestId, ServiceName>> waiting;
        Instant lastStrike;
        /** By the service whose upstreams the request crashes. */
        std::map<ServiceName, Instant> quarantinedUntil;
        /** Also for services without strikes, unless the request succeeded there recently. */
        Instant quarantinedAtAllUntil;
    };
    /** The highest sequence number received from a peer and a bit mask of the 64 numbers up to it that were received. */
    struct ReceivedSequences {
        std::uint64_t highest = 0;
        std::uint64_t receivedBits = 0;
    };
    /** A request at a service. */
    using SuccessKey = std::pair<CrashFingerprint, ServiceName>;
    using Successes = std::list<std::pair<SuccessKey, Instant>>;

    void addStrike(const CrashFingerprint &fingerprint, const CrashEvidence &strike);
    /** Applies one strike of a history; returns whether it is new. */
    bool receiveEntry(const InstanceId &from, const Wire::CrashStrike &message, Instant now);
    /** Whether a strike of the request at @p time is no longer valid, because the request succeeded or was cleared later. */
    [[nodiscard]] bool wasClearedSince(const CrashFingerprint &fingerprint, const ServiceName &service, Instant time) const;
    [[nodiscard]] bool isKnown(const CrashFingerprint &fingerprint, const InstanceId &origin, std::uint64_t sequence) const;
    /** Calls @p visit with the fingerprint, suspect and strike of each strike that has not expired. */
    template<class Visitor>
    void visitStrikes(Instant now, Visitor visit) const;
    /** Quarantines the request at the service of @p strike, or at all, when its strikes suffice now. */
    void updateQuarantine(const CrashFingerprint &fingerprint, Suspect &suspect, const CrashEvidence &strike);
    /**
     * Whether the strikes show that the request crashes the upstreams of @p service. After a recent success there, they must also
     * show it when those of any one peer are left out, because any single peer may be faulty.
     */
    [[nodiscard]] bool
    isConfirmed(const CrashFingerprint &fingerprint, const Suspect &suspect, const ServiceName &service, Instant now) const;
    [[nodiscard]] bool
    isQuarantined(const CrashFingerprint &fingerprint, const Suspect &suspect, const ServiceName &service, Instant now) const;
    /** Whether runs at @p service are under suspicion: there are strikes there, or elsewhere and no recent success there. */
    [[nodiscard]] bool
    isSuspected(const CrashFingerprint &fingerprint, const Suspect &suspect, const ServiceName &service, Instant now) const;
    void endRun(const CrashTicket &ticket, Instant now);
    /** Admits the request that has waited longest. */
    void admitNextWaiting(const CrashFingerprint &fingerprint, Suspect &suspect);
    /** Removes the strikes at @p service. */
    void clearStrikes(const CrashFingerprint &fingerprint, Suspect &suspect, const ServiceName &service, Instant now);
    void clearByPeer(const CrashFingerprint &fingerprint, const ServiceName &service, const InstanceId &from, Instant now);
    /** Decides on the waiting requests that are quarantined or no longer under suspicion. */
    void decideWaiting(const CrashFingerprint &fingerprint, Suspect &suspect, Instant now);
    void admitAllWaiting(const CrashFingerprint &fingerprint, Suspect &suspect);
    void evictOldestSuspectIfFull();
    void recordSuccess(const SuccessKey &key, Instant now);
    [[nodiscard]] bool succeededRecently(const SuccessKey &key, Instant now) const;
    /** Records the sequence number of a message. Returns false for a repeated or very old one. */
    bool recordSequence(const InstanceId &origin, std::uint64_t sequence);
    void queueMessage(const CrashFingerprint &fingerprint, const CrashEvidence &strike, bool cleared);
    static CrashEvidence fromWire(const Wire::CrashStrike &message, const InstanceId &reporter, Instant at);
    static Wire::CrashStrike toWire(const CrashFingerprint &fingerprint, const CrashEvidence &strike);

    const InstanceId m_self;
    const CrashQuarantineOptions m_options;
    std::map<CrashFingerprint, Suspect> m_suspects;
    /** Requests and the times of their last success, oldest first. */
    Successes m_successes;
    std::map<SuccessKey, Successes::iterator> m_successIndex;
    std::map<InstanceId, ReceivedSequences> m_sequences;
    std::vector<CrashDecision> m_decisions;
    std::vector<Wire::CrashStrike> m_messages;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Filbertmount
