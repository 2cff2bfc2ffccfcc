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
 * One request on its way: asks for upstreams, makes attempts there, and gives one final answer. Lives on the IoLoop.
 *
 * A request that may run more than once gets a second attempt beside the first one when that takes unusually long; the
 * first answer counts.
 */
class ForwardedCall : public ActiveRequest, public std::enable_shared_from_this<ForwardedCall>
{
public:
    ForwardedCall(CallEnvironment &environment, RoutedRequest request, AnswerHandler answer);

    void start();
    void abandon() override;

private:
    /** Why an attempt is made. */
    enum class Purpose : std::uint8_t {
        /** The first attempt, or one after a failure. */
        Primary,
        /** Beside an attempt that takes long. */
        Hedge,
    };

    /** Asks whether requests like this one may run, then for an upstream. */
    void requestAdmission(Purpose purpose);
    void onAdmission(CrashAdmission admission, const CrashTicket &ticket, Purpose purpose);
    void requestPlacement(const CrashTicket &ticket, Purpose purpose);
    void onPlacement(PlacementResult result, const CrashTicket &ticket, Purpose purpose);
    void startAttempt(const Placement &placement, const CrashTicket &ticket);
    void scheduleHedge();
    void startHedge();
    /** A hedge got no upstream. */
    void abandonHedge();
    void onAttemptEnd(const std::shared_ptr<UpstreamAttempt> &attempt, AttemptEnd end, ExchangeResult result);
    void continueAfterFailure(AttemptEnd end, ExchangeResult result);
    void onDeadline();
    /** Ends all attempts in progress; returns how many there were. */
    std::size_t cancelAttempts(AttemptOutcome outcome);
    void deliver(ClientAnswer answer);
    void refuseQuarantined(CrashAdmission admission);
    void refuse(Duration retryAfter, const std::string &reason);
    void fail(int status, const std::string &reason);
    void sendAnswer(ServerAnswer answer, const std::string &outcome, const std::string &reason);
    void logAnswer(int status, const std::string &outcome, const std::string &reason, Duration elapsed) const;
    [[nodiscard]] Duration timeLeft() const;

    CallEnvironment &m_environment;
    const RoutedRequest m_request;
    AnswerHandler m_answerHandler;
    OneShotTimer m_deadlineTimer;
    OneShotTimer m_hedgeTimer;
    const CrashFingerprint m_fingerprint;
    /** Attempts in progress. */
    std::vector<std::shared_ptr<UpstreamAttempt>> m_activeAttempts;
    /** The attempt that ended last, or that was sent last while none has ended. */
    std::shared_ptr<UpstreamAttempt> m_lastAttempt;
    absl::InlinedVector<UpstreamId, 2> m_triedUpstreams;
    /** How the other attempt ended while a hedge waits for its upstream. */
    std::optional<std::pair<AttemptEnd, ExchangeResult>> m_failureDuringHedge;
    /** From the arrival to the start of the last attempt. */
    Duration m_placementDelay{0};
    int m_attemptCount = 0;
    bool m_hasHedged = false;
    bool m_isPlacingHedge = false;
    /** An attempt may have run the request. */
    bool m_mayHaveRun = false;
    bool m_isDone = false;
};

} // namespace Filbertmount
