#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Filbertmount {

/** What is known about the work of a request that gets an error from filbertmount itself. */
enum class RunState : std::uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

/** Returns the value of the Filbertmount-Run header. */
std::string_view runStateName(RunState run);

/** An error answer of filbertmount itself. */
struct Problem {
    int status = 500;
    RunState run = RunState::NotRun;
    std::string detail;
    /** Whether a resend is harmless and may succeed. */
    bool retry = false;
    /** Rounded up to whole seconds. */
    std::optional<Duration> retryAfter;
    /** Further headers of the answer. */
    Headers headers{};
};

/** The headers and the application/problem+json body of an error answer. */
struct ProblemResponse {
    Headers headers;
    std::string body;
};

ProblemResponse renderProblem(const Problem &problem);

} // namespace Filbertmount
