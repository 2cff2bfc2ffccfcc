#pragma once

#include "edge/callenvironment.h"
#include "edge/upstreamattempt.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/**
 * Forwards one request: requests placements from the router, sends attempts to upstreams and responds to the caller exactly
 * once. Runs on the IoLoop.
 *
 * When the first attempt of a repeatable request takes unusually long, a second one (hedge) is sent to another upstream
 * at the same time; the first response is delivered.
 */
class ForwardedCall : public ActiveRequest, public std::enable_shared_from_this<ForwardedCall>
{
public:
    ForwardedCall(CallEnvironment &environment, RoutedRequest request, ResponseHandler respond);

    /** Starts the deadline timer and the first attempt. */
    void start();
    /** Cancels all attempts; the caller gets no response. */
    void abandon() override;
    void endIfWaiting() override;

private:
    /** Why an attempt is made. */
    enum class Purpose : std::uint8_t {
        /** The first attempt, or a retry after a failure. */
        Primary,
        /** A second attempt while the first one is still running. */
        Hedge,
    };

    /** Asks the crash guard whether this request may run; if so, requests a placement. */
    void requestAdmission(Purpose purpose);
    void onAdmission(CrashAdmission admission, const CrashTicket &ticket, Purpose purpose);
    void requestPlacement(const CrashTicket &ticket, Purpose purpose);
    void onPlacement(PlacementResult result, const CrashTicket &ticket, Purpose purpose);
    void startAttempt(const Placement &placement, const CrashTicket &ticket);
    /** Starts the hedge timer if a hedge is allowed and could still be in time. */
    void scheduleHedge();
    void startHedge();
    /**
     * Called when the hedge got no admission or no placement: refunds its retry to the retry budget and, if the first attempt
     * has failed meanwhile, continues as after that failure.
     */
    void onHedgeRefused();
    void onAttemptEnd(const std::shared_ptr<UpstreamAttempt> &attempt, AttemptEnd end, ExchangeResult result);
    /** Retries, delivers the response from the upstream or reports an error, whichever decideAfterAttempt() returns. */
    void continueAfterFailure(AttemptEnd end, ExchangeResult result);
    void onDeadline();
    /** Cancels all attempts in progress and returns their number. */
    std::size_t cancelAttempts(AttemptOutcome outcome);
    /** Forwards the response from an upstream to the caller. */
    void deliver(ClientResponse response);
    void refuseQuarantined(CrashAdmission admission);
    /** Responds with 503 and Retry-After: the request was not run. */
    void refuse(Duration retryAfter, const std::string &reason);
    /** Responds with an error status: the request may have run. */
    void fail(int status, const std::string &reason);
    void sendResponse(ServerResponse response, const std::string &outcome, const std::string &reason);
    void logResponse(int status, const std::string &outcome, const std::string &reason, Duration elapsed) const;
    [[nodiscard]] Duration timeLeft() const;

    CallEnvironment &m_environment;
    const RoutedRequest m_request;
    ResponseHandler m_responseHandler;
    OneShotTimer m_deadlineTimer;
    OneShotTimer m_hedgeTimer;
    const CrashFingerprint m_fingerprint;
    /** Attempts in progress. */
    std::vector<std::shared_ptr<UpstreamAttempt>> m_activeAttempts;
    /** The attempt that ended most recently or, while none has ended, that was sent most recently. */
    std::shared_ptr<UpstreamAttempt> m_lastAttempt;
    absl::InlinedVector<UpstreamId, 2> m_triedUpstreams;
    /** Result of the first attempt if it failed while the hedge was waiting for an upstream. */
    std::optional<std::pair<AttemptEnd, ExchangeResult>> m_failureDuringHedge;
    /** Time from the arrival of the request to the start of the most recent attempt. */
    Duration m_placementDelay{0};
    int m_attemptCount = 0;
    bool m_hasHedged = false;
    bool m_isPlacingHedge = false;
    /** Whether an ended attempt may have run the request. */
    bool m_mayHaveRun = false;
    bool m_isDone = false;
};

} // namespace Filbertmount
