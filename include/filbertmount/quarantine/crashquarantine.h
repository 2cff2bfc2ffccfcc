#pragma once

#include <filbertmount/peer/peersender.h>
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

/** First 128 bits of the SHA-256 over service, method, target and body hash of a request. */
using CrashFingerprint = std::array<std::uint8_t, 16>;

/** @p bodyHash identifies the body; any length, empty for a request without a body. */
CrashFingerprint
crashFingerprint(const ServiceName &service, const std::string &method, const std::string &target, const std::string &bodyHash);

struct CrashQuarantineOptions {
    /** Life of a strike, a quarantine and a remembered success. */
    Duration retention = std::chrono::minutes(10);
    /** Fingerprints with strikes; the oldest is dropped for a new one. */
    std::size_t maxSuspects = 4096;
    /** Of these, the ones that a single peer may add. */
    std::size_t maxSuspectsPerPeer = 512;
    /** Fingerprints whose last success is remembered. */
    std::size_t maxSuccesses = 8192;
    /** Requests that wait for the end of one run under suspicion. */
    std::size_t maxWaiting = 256;
};

/** Permission for one attempt; ended exactly once with succeeded(), broken() or ended(). */
struct CrashTicket {
    ServiceName service;
    CrashFingerprint fingerprint{};
    /** Number of the run when it is the only one of a suspect on this instance; 0 for a request without strikes. */
    std::uint64_t run = 0;
};

enum class CrashAdmission : std::uint8_t {
    Run,
    /** Decided later, when the run under way has ended. */
    Wait,
    /** Refuse as not run: requests like this one have crashed two upstreams. */
    Quarantined,
    /** Refuse as not run: too many requests wait. */
    Busy,
};

struct CrashDecision {
    RequestId request;
    CrashAdmission admission = CrashAdmission::Run;
    CrashTicket ticket;
};

/**
 * Bounds the upstreams that a crashing request takes down. Not thread-safe.
 *
 * Upstreams that die at the same time, as in the loss of a zone, strike all requests that they ran, so such strikes alone do
 * not quarantine: one of the runs must have started after a strike was known.
 */
class CrashQuarantine
{
public:
    CrashQuarantine(InstanceId self, const CrashQuarantineOptions &options);

    /** Asks for one attempt. Wait is followed by a CrashDecision with @p request. */
    CrashDecision admit(RequestId request, const ServiceName &service, const CrashFingerprint &fingerprint, Instant now);
    /** Withdraws a request that waits. */
    void withdraw(RequestId request, const CrashFingerprint &fingerprint);

    /** The upstream gave a whole response. */
    void succeeded(const CrashTicket &ticket, Instant now);
    /** The upstream closed the connection after bytes were sent and before the response was whole. */
    void broken(const CrashTicket &ticket, const UpstreamId &upstream, Instant now);
    /** The attempt ended in another way, such as a timeout, a refusal or the caller's leaving. */
    void ended(const CrashTicket &ticket, Instant now);

    /** Takes a strike or a clearing in. Malformed, repeated and own messages are ignored. */
    void receive(const InstanceId &from, const Wire::CrashStrike &message, Instant now);
    /** Drops what has expired. To be called about once a second. */
    void tick(Instant now);

    /** Returns the decisions on waiting requests since the last call. */
    std::vector<CrashDecision> takeDecisions();
    /** Returns the messages to send to every live member. */
    std::vector<Wire::CrashStrike> takeMessages();

    [[nodiscard]] std::size_t suspects() const
    {
        return m_suspects.size();
    }
    [[nodiscard]] std::size_t quarantined(Instant now) const;

private:
    struct Strike {
        UpstreamId upstream;
        InstanceId origin;
        bool underSuspicion = false;
        Instant at;
    };
    struct Suspect {
        ServiceName service;
        std::vector<Strike> strikes;
        /** Peers whose clearing was taken; a second one of a confused peer must not hide a crashing request. */
        std::vector<InstanceId> clearedBy;
        std::uint64_t run = 0;
        std::deque<RequestId> waiting;
        Instant lastStrike;
        Instant quarantinedUntil;
    };
    /** Sequence numbers of one peer's messages that were taken, in a window of 64. */
    struct ReceivedSequences {
        std::uint64_t highest = 0;
        std::uint64_t seen = 0;
    };
    using Successes = std::list<std::pair<CrashFingerprint, Instant>>;

    void strike(const ServiceName &service, const CrashFingerprint &fingerprint, const Strike &strike);
    void updateQuarantine(const CrashFingerprint &fingerprint, Suspect &suspect, Instant now);
    /** Returns whether a run under suspicion broke on another upstream than an earlier run, strikes of @p without left out. */
    static bool confirmsCrashes(const std::vector<Strike> &strikes, const InstanceId &without);
    /** Returns whether the strikes are in sequence without those of any single peer, which may be confused. */
    [[nodiscard]] bool confirmsCrashesWithoutAnyPeer(const std::vector<Strike> &strikes) const;
    void endRun(const CrashTicket &ticket, Instant now);
    void admitNextWaiting(const CrashFingerprint &fingerprint, Suspect &suspect);
    void clear(const CrashFingerprint &fingerprint);
    void clearByPeer(const CrashFingerprint &fingerprint, const InstanceId &from);
    void decideAllWaiting(const CrashFingerprint &fingerprint, Suspect &suspect, CrashAdmission admission);
    void evictOldestSuspectIfFull();
    void recordSuccess(const CrashFingerprint &fingerprint, Instant now);
    [[nodiscard]] bool succeededRecently(const CrashFingerprint &fingerprint, Instant now) const;
    bool recordSequence(const InstanceId &origin, std::uint64_t sequence);
    void queueMessage(const CrashTicket &ticket, const Strike &strike, bool cleared);

    const InstanceId m_self;
    const CrashQuarantineOptions m_options;
    std::map<CrashFingerprint, Suspect> m_suspects;
    /** Oldest first. */
    Successes m_successes;
    std::map<CrashFingerprint, Successes::iterator> m_successIndex;
    std::map<InstanceId, ReceivedSequences> m_sequences;
    std::vector<CrashDecision> m_decisions;
    std::vector<Wire::CrashStrike> m_messages;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Filbertmount
