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

/** The operations of the caller's connection that an exchange needs. */
class CallerTransport
{
public:
    CallerTransport() = default;
    CallerTransport(const CallerTransport &) = delete;
    CallerTransport &operator=(const CallerTransport &) = delete;
    virtual ~CallerTransport() = default;

    /** Stops the events of the connection until resume(). Called only during an event of the connection. */
    virtual void suspend() = 0;
    /** Called on any thread, but only while the connection is suspended. */
    virtual void resume() = 0;
    /** Shuts down the connection if no response can be sent. Called on any thread. */
    virtual void disconnect() = 0;
};

struct ExchangeOptions {
    const ExchangeDependencies &dependencies;
    SharedDocument document;
    /** The matching route, with its repeatability resolved for the method of this request. */
    Route route;
    RequestHead head;
    CallContext context;
    Instant deadline;
};

/** Start of the response to the caller: the head of the upstream's response, or an error. */
using ResponseStart = std::variant<ResponseHead, Problem>;

enum class ResponseRead : std::uint8_t {
    Data,
    /** No data yet; the connection was suspended. */
    Suspended,
    End,
    /** The rest of the response is lost. The connection must be closed so that the caller notices. */
    Truncated,
};

struct ResponseChunk {
    ResponseRead read = ResponseRead::Suspended;
    std::size_t size = 0;
};

/**
 * Handles one request from its body to the response: claim, placement, attempts. Thread-safe.
 *
 * Each attempt belongs to one exchange and to one transfer, so a response cannot reach the wrong request.
 */
class Exchange final : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ExchangeOptions options, CallerTransport &transport);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange() = default;

    // Events of the caller's connection, called on its thread.

    /** Returns how much of @p data was accepted. If less than all of it, the connection was suspended. */
    std::size_t receiveBody(std::string_view data);
    void finishBody();
    /** Returns the start of the response. Suspends the connection if there is none yet. */
    std::optional<ResponseStart> takeResponseStart();
    ResponseChunk readResponse(std::span<char> buffer);
    /** The response was delivered or the connection lost. The exchange does not use the transport after this. */
    void connectionFinished(bool responseDelivered);

    // Called on the timer thread.

    /** The caller closed its side of the connection while the connection was suspended. */
    void callerDisconnected();
    /**
     * If the deadline has passed, disconnects a caller whose body is incomplete, and fails the exchange if no attempt is
     * running. Running transfers have their own timeout.
     */
    void expire(Instant now);
    /** Cancels all attempts and fails the exchange. Used when the process stops before a drain has finished. */
    void abort();

    [[nodiscard]] bool callerSuspended() const;

    // Events of the attempts, called on the worker threads of their transfers.

    /** Checks before the request is sent that the attempt is still needed and in time. */
    FlowControl beforeAttemptSend(Attempt &attempt);
    BodyReadResult readRequestBody(Attempt &attempt, std::span<char> buffer);
    FlowControl responseHeadReceived(Attempt &attempt, ResponseHead head);
    FlowControl responseBodyReceived(Attempt &attempt, std::string_view data);
    /** Starts a hedge at another upstream if the budgets allow one. */
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
    void claimDecided(const ClaimResult &result);
    void computeFingerprint();
    /** Asks the crash guard for admission, then the router for a placement. */
    void startPlacement(bool hedge);
    void quarantineDecided(CrashAdmission admission, const CrashTicket &ticket, bool hedge);
    void refuseQuarantined(CrashAdmission admission) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void reportToCrashGuard(const Attempt &attempt, const TransferEnd &end);
    void releaseTicket(const CrashTicket &ticket);
    void requestPlacement(bool hedge, const CrashTicket &ticket);
    void placementDecided(PlacementResult result, bool hedge, const CrashTicket &ticket);
    void startAttempt(Placement placement, const CrashTicket &ticket) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** These three return whether to request another placement. */
    bool placementRefused(const PlacementRefusal &refusal, bool hedge) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool attemptFailed(const Attempt &attempt, const TransferEnd &end) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool winnerEnded(const Attempt &attempt, const TransferEnd &end) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Counts a retry against the budgets and returns true, or returns false if none is allowed. */
    bool reserveRetry(bool notRun) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool reserveRetryFor(const ResponseHead &head) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] std::optional<Problem> tooLateToSend(Instant now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] Problem problemFor(const Attempt &attempt, const TransferEnd &end) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void fail(Problem problem) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Discards the rest of the response. @p cancel also cancels the attempts of a repeatable request. */
    void detachCaller(bool cancel) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void cancelAttempts(const Attempt *except) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resumeRequestBodies() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resumeResponse() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resumeCaller() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void suspendCaller() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::size_t discardBody(std::size_t size) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Completes or releases the claim once the exchange has ended and no attempt is running. */
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
    /** Number of outstanding replies from the claims, the crash guard and the router. */
    int m_pendingDecisions ABSL_GUARDED_BY(m_mutex) = 0;
    RunState m_runState ABSL_GUARDED_BY(m_mutex) = RunState::NotRun;
    CrashFingerprint m_fingerprint ABSL_GUARDED_BY(m_mutex){};
    std::optional<ClaimId> m_claim ABSL_GUARDED_BY(m_mutex);
    Instant m_dispatchBefore ABSL_GUARDED_BY(m_mutex) = Instant::max();
    /** The response if no upstream gave one. */
    std::optional<Problem> m_problem ABSL_GUARDED_BY(m_mutex);
    /** Why the last attempt failed; the response if no further attempt can be made. */
    std::optional<Problem> m_lastFailure ABSL_GUARDED_BY(m_mutex);
    /** The attempt whose response is forwarded. Only compared, never dereferenced. */
    const Attempt *m_winner ABSL_GUARDED_BY(m_mutex) = nullptr;
    ResponseHead m_responseHead ABSL_GUARDED_BY(m_mutex);
    int m_responseStatus ABSL_GUARDED_BY(m_mutex) = 0;
    ResponseBuffer m_responseBuffer ABSL_GUARDED_BY(m_mutex);
    ResponseProgress m_responseProgress ABSL_GUARDED_BY(m_mutex) = ResponseProgress::Incomplete;
    /** Whether the response head may be sent to the caller. From then on, no other attempt can replace the response. */
    bool m_headReady ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace Filbertmount
