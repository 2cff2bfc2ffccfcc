#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Filbertmount {

/** Whether an upstream ran a request to which filbertmount itself responds with an error. */
enum class RunState : std::uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

/** Returns the value of the Filbertmount-Run header. */
std::string_view runStateName(RunState run);

/** An error response that filbertmount generates itself. */
struct Problem {
    int status = 500;
    RunState run = RunState::NotRun;
    std::string detail;
    /** Whether sending the request again is safe and may succeed. */
    bool retry = false;
    /** Sent to the caller rounded up to whole seconds. */
    std::optional<Duration> retryAfter;
    /** Additional headers of the response. */
    Headers headers{};
};

/** Headers and application/problem+json body (RFC 9457) of an error response. */
struct ProblemResponse {
    Headers headers;
    std::string body;
};

ProblemResponse renderProblem(const Problem &problem);

} // namespace Filbertmount
