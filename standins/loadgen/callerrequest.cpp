#include "callerrequest.h"

#include <string_view>

namespace Filbertmount::StandIn {

bool isCompleteAnswer(const std::string &body, const std::string &id, std::size_t expectedBytes)
{
    const std::string_view text(body);
    return text.size() >= expectedBytes && text.starts_with(id + " ") && text.ends_with("\n" + id + "\n");
}

CallerOutcome classifyAnswer(const AnswerSummary &answer)
{
    if (!answer.transferred) {
        return CallerOutcome::NoAnswer;
    }
    if (answer.status == 200) {
        return answer.complete ? CallerOutcome::Answered : CallerOutcome::WrongAnswer;
    }
    if (answer.runHeader == "ran") {
        return CallerOutcome::Answered;
    }
    if (answer.runHeader == "not-run") {
        return CallerOutcome::NotRun;
    }
    if (answer.runHeader == "may-have-run") {
        return CallerOutcome::MayHaveRun;
    }
    return CallerOutcome::ServerError;
}

bool shouldResend(const CallerRequest &request, CallerOutcome outcome, int maxResends)
{
    if (outcome == CallerOutcome::Answered || outcome == CallerOutcome::WrongAnswer) {
        return false;
    }
    // A conflict on the idempotency key is final: a resend gets the same answer.
    constexpr int conflict = 409;
    if (outcome == CallerOutcome::MayHaveRun && request.order && request.lastStatus == conflict) {
        return false;
    }
    return request.attempts <= maxResends;
}

} // namespace Filbertmount::StandIn
