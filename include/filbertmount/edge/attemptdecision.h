#pragma once

#include <filbertmount/routing/placement.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Filbertmount {

/** How one attempt of a forwarded call ended. Determines whether the call is retried and what the caller receives. */
enum class AttemptEnd : std::uint8_t {
    /** The upstream sent a complete response with a status below 500. */
    Responded,
    /** The upstream sent a complete response with a status of 500 or above and without the "not run" header. */
    Failed,
    /** The upstream reported that it did not run the request. */
    NotRun,
    /** The address now belongs to another upstream, which refused the request without running it. */
    WrongUpstream,
    /** No connection was established, so no byte was sent. */
    NotSent,
    /** The connection ended early or the received bytes were no valid response; the request may have run. */
    Broken,
    /** No complete response arrived in time; the request may have run. */
    TimedOut,
};

/** Returns the name of @p end as it appears in logs and metrics. */
std::string_view attemptEndName(AttemptEnd end);

/** What a call may still spend on retries after an attempt. */
struct RetryAllowance {
    /** The request may run more than once. */
    bool isRepeatable = false;
    /** Number of further attempts allowed. */
    int attempts = 0;
    /** Time until the deadline of the call. */
    Duration timeLeft{0};
};

/** What a call does after an attempt ended. */
enum class AttemptDecision : std::uint8_t {
    /** Forward the response from the upstream to the caller. */
    Deliver,
    /** Send the request to another upstream, if the retry budget allows it. */
    Retry,
    /** Respond that the request was not run and may be sent again. */
    RefuseNotRun,
    /** Respond that the request may have run. */
    FailMayHaveRun,
    /** Respond that no response arrived in time. */
    FailTimedOut,
};

/**
 * Decides what a call does after an attempt that ended with @p end.
 *
 * @param mayHaveRun whether an earlier attempt of the same call may have run the request
 */
AttemptDecision decideAfterAttempt(AttemptEnd end, const RetryAllowance &allowance, bool mayHaveRun);

/** Decides what a call does after an attempt when no retry is possible, e.g. because the retry budget is used up. */
AttemptDecision decideWithoutRetry(AttemptEnd end, bool mayHaveRun);

/** Returns the outcome to report to the router. @p load is the load that the upstream reported in its response. */
AttemptOutcome outcomeOf(AttemptEnd end, const std::optional<UpstreamLoad> &load);

} // namespace Filbertmount
