#include <filbertmount/proxy/problem.h>

#include <nlohmann/json.hpp>

namespace Filbertmount {

namespace {

std::string_view titleOf(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Error";
    }
}

} // namespace

std::string_view runStateName(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return "not-run";
    case RunState::MayHaveRun:
        return "may-have-run";
    case RunState::Ran:
        return "ran";
    }
    return "may-have-run";
}

ProblemResponse renderProblem(const Problem &problem)
{
    const std::string run(runStateName(problem.run));
    nlohmann::json body = {
        {"type", "about:blank"},
        {"title", std::string(titleOf(problem.status))},
        {"status", problem.status},
        {"detail", problem.detail},
        {"run", run},
        {"retry", problem.retry},
    };
    ProblemResponse response{.headers = problem.headers, .body = {}};
    response.headers.push_back({.name = "Content-Type", .value = "application/problem+json"});
    response.headers.push_back({.name = "Filbertmount-Run", .value = run});
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter).count();
        body["retry_after"] = seconds;
        response.headers.push_back({.name = "Retry-After", .value = std::to_string(seconds)});
    }
    // The detail may quote bytes from an upstream that are not valid UTF-8.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace Filbertmount
