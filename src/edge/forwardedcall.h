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
    ForwardedCall(CallEnvironment &context, RoutedRequest request, AnswerHandler answer);

    void start();
    void abandon() override;

private:
    /** Why an attempt is made. */
    enum class Purpose : std::uint8_t {
        /** The first attempt, or one after a failure. */
        Answer,
        /** Beside an attempt that takes long. */
        Hedge,
    };

    /** Asks whether requests like this one may run, then for an upstream. */
    void admit(Purpose purpose);
    void onAdmission(CrashAdmission admission, const CrashTicket &ticket, Purpose purpose);
    void place(const CrashTicket &ticket, Purpose purpose);
    void onPlacement(PlacementResult result, const CrashTicket &ticket, Purpose purpose);
    void send(const Placement &placement, const CrashTicket &ticket);
    void waitForHedge();
    void hedge();
    /** A hedge got no upstream. */
    void giveHedgeUp();
    void onAttemptEnd(const std::shared_ptr<UpstreamAttempt> &attempt, AttemptEnd end, ExchangeResult result);
    void follow(AttemptEnd end, ExchangeResult result);
    void onDeadline();
    /** Ends all attempts in progress; returns how many there were. */
    std::size_t cancelAttempts(AttemptOutcome outcome);
    void deliver(ClientAnswer answer);
    void refuseSuspect(CrashAdmission admission);
    void refuse(Duration retryAfter, const std::string &reason);
    void fail(int status, const std::string &reason);
    void answerWith(ServerAnswer answer, const std::string &outcome, const std::string &reason);
    void logAnswer(int status, const std::string &outcome, const std::string &reason, Duration elapsed) const;
    [[nodiscard]] Duration timeLeft() const;

    CallEnvironment &m_context;
    const RoutedRequest m_request;
    AnswerHandler m_answer;
    OneShotTimer m_deadlineTimer;
    OneShotTimer m_hedgeTimer;
    const CrashFingerprint m_fingerprint;
    /** Attempts in progress. */
    std::vector<std::shared_ptr<UpstreamAttempt>> m_running;
    /** The attempt that ended last, or that was sent last while none has ended. */
    std::shared_ptr<UpstreamAttempt> m_last;
    absl::InlinedVector<UpstreamId, 2> m_tried;
    /** How the other attempt ended while a hedge waits for its upstream. */
    std::optional<std::pair<AttemptEnd, ExchangeResult>> m_endBesideHedge;
    /** From the arrival to the start of the last attempt. */
    Duration m_placedAfter{0};
    int m_attempts = 0;
    bool m_hasHedged = false;
    bool m_isPlacingHedge = false;
    /** An attempt may have run the request. */
    bool m_mayHaveRun = false;
    bool m_isDone = false;
};

} // namespace Filbertmount
