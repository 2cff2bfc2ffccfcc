#include <filbertmount/edge/attemptdecision.h>

namespace Filbertmount {

namespace {

// No upstream responds within less time, so a shorter retry would only add load.
constexpr Duration MinRetryTime = std::chrono::milliseconds(20);

bool hasFreeSlot(const UpstreamLoad &load)
{
    return load.waiting == 0 && load.running < load.slots;
}

bool provesNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotRun || end == AttemptEnd::WrongUpstream || end == AttemptEnd::NotSent;
}

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Responded:
        return "answered";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::NotRun:
        return "not-run";
    case AttemptEnd::WrongUpstream:
        return "wrong-upstream";
    case AttemptEnd::NotSent:
        return "not-sent";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

AttemptDecision decideAfterAttempt(AttemptEnd end, const RetryAllowance &allowance, bool mayHaveRun)
{
    if (end == AttemptEnd::Responded) {
        return AttemptDecision::Deliver;
    }
    const bool mayRunAgain = allowance.isRepeatable || (provesNotRun(end) && !mayHaveRun);
    if (end != AttemptEnd::TimedOut && mayRunAgain && allowance.attempts > 0 && allowance.timeLeft >= MinRetryTime) {
        return AttemptDecision::Retry;
    }
    return decideWithoutRetry(end, mayHaveRun);
}

AttemptDecision decideWithoutRetry(AttemptEnd end, bool mayHaveRun)
{
    if (end == AttemptEnd::Failed) {
        return AttemptDecision::Deliver;
    }
    if (end == AttemptEnd::TimedOut) {
        return AttemptDecision::FailTimedOut;
    }
    return provesNotRun(end) && !mayHaveRun ? AttemptDecision::RefuseNotRun : AttemptDecision::FailMayHaveRun;
}

AttemptOutcome outcomeOf(AttemptEnd end, const std::optional<UpstreamLoad> &load)
{
    switch (end) {
    case AttemptEnd::Responded:
        return AttemptOutcome::Success;
    case AttemptEnd::Failed:
        return AttemptOutcome::ServerError;
    case AttemptEnd::NotRun:
        return load && hasFreeSlot(*load) ? AttemptOutcome::RefusedWithRoom : AttemptOutcome::RefusedShedding;
    case AttemptEnd::WrongUpstream:
    case AttemptEnd::NotSent:
        return AttemptOutcome::ConnectFailed;
    case AttemptEnd::Broken:
        return AttemptOutcome::Broken;
    case AttemptEnd::TimedOut:
        return AttemptOutcome::TimedOut;
    }
    return AttemptOutcome::Unused;
}

} // namespace Filbertmount
