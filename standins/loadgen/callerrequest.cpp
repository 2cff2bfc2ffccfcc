#include "callerrequest.h"

#include <string_view>

namespace Filbertmount::StandIn {

bool isCompleteResponse(const std::string &body, const std::string &id, std::size_t expectedBytes)
{
    const std::string_view text(body);
    return text.size() >= expectedBytes && text.starts_with(id + " ") && text.ends_with("\n" + id + "\n");
}

CallerOutcome classifyResponse(const ResponseSummary &response)
{
    if (!response.transferred) {
        return CallerOutcome::NoResponse;
    }
    if (response.status == 200) {
        return response.complete ? CallerOutcome::Answered : CallerOutcome::WrongResponse;
    }
    if (response.runHeader == "ran") {
        return CallerOutcome::Answered;
    }
    if (response.runHeader == "not-run") {
        return CallerOutcome::NotRun;
    }
    if (response.runHeader == "may-have-run") {
        return CallerOutcome::MayHaveRun;
    }
    return CallerOutcome::ServerError;
}

bool shouldResend(const CallerRequest &request, CallerOutcome outcome, int maxResends)
{
    if (outcome == CallerOutcome::Answered || outcome == CallerOutcome::WrongResponse) {
        return false;
    }
    // A conflict on the idempotency key is final: a resend gets the same response.
    constexpr int conflict = 409;
    if (outcome == CallerOutcome::MayHaveRun && request.order && request.lastStatus == conflict) {
        return false;
    }
    return request.attempts <= maxResends;
}

} // namespace Filbertmount::StandIn
