#include "callerrequest.h"

#include <string_view>

namespace Filbertmount::StandIn {

bool isWholeAnswer(const std::string &body, const std::string &id, std::size_t expectedBytes)
{
    const std::string_view text(body);
    return text.size() >= expectedBytes && text.starts_with(id + " ") && text.ends_with("\n" + id + "\n");
}

CallerOutcome judgeAnswer(const AnswerSummary &answer)
{
    if (!answer.transferred) {
        return CallerOutcome::NoAnswer;
    }
    if (answer.status == 200) {
        return answer.whole ? CallerOutcome::Answered : CallerOutcome::WrongAnswer;
    }
    if (answer.run == "ran") {
        return CallerOutcome::Answered;
    }
    if (answer.run == "not-run") {
        return CallerOutcome::NotRun;
    }
    if (answer.run == "may-have-run") {
        return CallerOutcome::MayHaveRun;
    }
    return CallerOutcome::ServerError;
}

bool sendsAgain(const CallerRequest &request, CallerOutcome outcome, int resends)
{
    if (outcome == CallerOutcome::Answered || outcome == CallerOutcome::WrongAnswer) {
        return false;
    }
    // A conflict on the idempotency key does not change by sending again.
    constexpr int conflict = 409;
    if (outcome == CallerOutcome::MayHaveRun && request.order && request.lastStatus == conflict) {
        return false;
    }
    return request.attempts <= resends;
}

} // namespace Filbertmount::StandIn
