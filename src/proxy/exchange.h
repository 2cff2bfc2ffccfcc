#pragma once

#include "proxy/attempt.h"
#include "proxy/callcontext.h"
#include "proxy/requestbody.h"
#include "proxy/responsebuffer.h"
#include "proxy/retrystate.h"

#include <filbertmount/proxy/exchangedependencies.h>
#include <filbertmount/proxy/problem.h>
#include <filbertmount/proxy/servicedirectory.h>
#include <filbertmount/quarantine/crashguard.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/inlined_vector.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Filbertmount {

/** The caller's connection as an exchange sees it. */
class CallerTransport
{
public:
    CallerTransport() = default;
    CallerTransport(const CallerTransport &) = delete;
    CallerTransport &operator=(const CallerTransport &) = delete;
    virtual ~CallerTransport() = default;

    /** Stops the events of the connection until unpark(). Called only from within an event of the connection. */
    virtual void suspend() = 0;
    /** Called on any thread, only while parked. */
    virtual void resume() = 0;
    /** Breaks the connection; used when the caller cannot be given an answer. Called on any thread. */
    virtual void disconnect() = 0;
};

struct ExchangeOptions {
    const ExchangeDependencies &dependencies;
    SharedDocument document;
    /** With the repeatability that holds for this request. */
    Route route;
    RequestHead head;
    CallContext context;
    Instant deadline;
};

/** What the caller gets first: the head of the upstream's answer, or an error. */
using ResponseStart = std::variant<ResponseHead, Problem>;

enum class ResponseRead : std::uint8_t {
    Data,
    /** The connection was parked. */
    Suspended,
    End,
    /** The rest of the answer is lost; the caller has to see that. */
    Truncated,
};

struct ResponseChunk {
    ResponseRead read = ResponseRead::Suspended;
    std::size_t size = 0;
};

/**
 * The life cycle of one request: body, claim, placement, attempts, answer. Thread-safe.
 *
 * Each attempt belongs to one exchange and to one transfer, so an answer cannot reach another request.
 */
class Exchange final : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ExchangeOptions options, CallerTransport &transport);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange() = default;

    // Events of the caller's connection, on its thread.

    /** Takes in a part of the body and returns its size; the connection was parked when something is left. */
    std::size_t receiveBody(std::string_view data);
    void finishBody();
    /** Returns the answer when there is one; otherwise parks the connection. */
    std::optional<ResponseStart> takeResponseStart();
    ResponseChunk readResponse(std::span<char> buffer);
    /** The connection has finished with this request: with the whole answer, or was lost. The link is not used any more. */
    void connectionFinished(bool responseDelivered);

    // Called from the timer thread.

    /** The caller closed its side of the connection while it was parked. */
    void callerDisconnected();
    /** Ends what has not been answered by its deadline. */
    void expire(Instant now);
    /** Ends the exchange whatever its state; used when the process stops without time left. */
    void abort();

    [[nodiscard]] bool callerSuspended() const;

    // Events of the attempts, on the worker threads of their transfers.

    FlowControl beforeAttemptSend(Attempt &attempt);
    BodyReadResult readRequestBody(Attempt &attempt, std::span<char> buffer);
    FlowControl responseHeadReceived(Attempt &attempt, ResponseHead head);
    FlowControl responseBodyReceived(Attempt &attempt, std::string_view data);
    /** Makes a hedged attempt at another upstream if the budgets allow one. */
    void attemptSlow();
    void attemptEnded(Attempt &attempt, const TransferEnd &end);

private:
    enum class ResponseProgress : std::uint8_t {
        Incomplete,
        Complete,
        Truncated,
    };

    void start();
    void requestClaim();
    void claimDecided(const ClaimAnswer &answer);
    void computeFingerprint();
    /** Asks the quarantine, then the router. */
    void startPlacement(bool hedge);
    void quarantineDecided(CrashAdmission admission, const CrashTicket &ticket, bool hedge);
    void refuseQuarantined(CrashAdmission admission) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reportToCrashGuard(const Attempt &attempt, const TransferEnd &end);
    void releaseTicket(const CrashTicket &ticket);
    void requestPlacement(bool hedge, const CrashTicket &ticket);
    void placementDecided(PlacementResult result, bool hedge, const CrashTicket &ticket);
    void startAttempt(Placement placement, const CrashTicket &ticket) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** The following two return whether another placement is to be asked for. */
    bool placementRefused(const PlacementRefusal &refusal, bool hedge) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool attemptFailed(const Attempt &attempt, const TransferEnd &end) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool winnerEnded(const Attempt &attempt, const TransferEnd &end) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool reserveRetry(bool notRun) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool reserveRetryFor(const ResponseHead &head) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] std::optional<Problem> tooLateToSend(Instant now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] Problem problemFor(const Attempt &attempt, const TransferEnd &end) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void fail(Problem problem) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void detachCaller(bool cancel) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void cancelAttempts(const Attempt *except) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resumeRequestBodies() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resumeResponse() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resumeCaller() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void suspendCaller() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::size_t discardBody(std::size_t size) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Settles the claim once nothing runs any more. */
    void settleClaim();
    [[nodiscard]] TransferRequest transferRequest(const Placement &placement) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const ExchangeDependencies &m_dependencies;
    const SharedDocument m_document;
    const Route m_route;
    const RequestHead m_head;
    const CallContext m_context;
    const Instant m_deadline;

    mutable absl::Mutex m_mutex;
    CallerTransport *m_transport ABSL_GUARDED_BY(m_mutex);
    bool m_callerSuspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_callerGone ABSL_GUARDED_BY(m_mutex) = false;
    RequestBody m_body ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_discardedBytes ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_hedged ABSL_GUARDED_BY(m_mutex) = false;
    bool m_started ABSL_GUARDED_BY(m_mutex) = false;
    RetryState m_retries ABSL_GUARDED_BY(m_mutex);
    /** Attempts whose transfer has not ended. */
    std::vector<std::shared_ptr<Attempt>> m_attempts ABSL_GUARDED_BY(m_mutex);
    absl::InlinedVector<UpstreamId, 2> m_triedUpstreams ABSL_GUARDED_BY(m_mutex);
    /** Placements and claims that are being waited for. */
    int m_pendingDecisions ABSL_GUARDED_BY(m_mutex) = 0;
    RunState m_runState ABSL_GUARDED_BY(m_mutex) = RunState::NotRun;
    CrashFingerprint m_fingerprint ABSL_GUARDED_BY(m_mutex){};
    std::optional<ClaimId> m_claim ABSL_GUARDED_BY(m_mutex);
    Instant m_dispatchBefore ABSL_GUARDED_BY(m_mutex) = Instant::max();
    /** The answer when no upstream gave one. */
    std::optional<Problem> m_problem ABSL_GUARDED_BY(m_mutex);
    /** Why the last attempt failed; the answer when no other attempt can be made. */
    std::optional<Problem> m_lastFailure ABSL_GUARDED_BY(m_mutex);
    /** The attempt whose answer is passed on; only compared with. */
    const Attempt *m_winner ABSL_GUARDED_BY(m_mutex) = nullptr;
    ResponseHead m_responseHead ABSL_GUARDED_BY(m_mutex);
    int m_responseStatus ABSL_GUARDED_BY(m_mutex) = 0;
    ResponseBuffer m_responseBuffer ABSL_GUARDED_BY(m_mutex);
    ResponseProgress m_responseProgress ABSL_GUARDED_BY(m_mutex) = ResponseProgress::Incomplete;
    /** Whether the caller may be given the head; from then on no other attempt can answer. */
    bool m_headReady ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace Filbertmount
