#pragma once

#include <filbertmount/routing/placement.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Filbertmount {

/** How one attempt of a forwarded call ended, as far as it matters for what comes next. */
enum class AttemptEnd : std::uint8_t {
    /** A whole answer of the upstream with a status below 500. */
    Answered,
    /** A whole answer of the upstream with a status of 500 or above that does not say "not run". */
    Failed,
    /** The upstream states that it did not run the request. */
    NotRun,
    /** The address belongs to another upstream now, which did not run the request. */
    WrongUpstream,
    /** No connection was made, so no byte was sent. */
    NotSent,
    /** The connection ended, or what came was no answer: the request may have run. */
    Broken,
    TimedOut,
};

/** Returns the name of @p end as it appears in logs and metrics. */
std::string_view attemptEndName(AttemptEnd end);

/** What a call may still do after an attempt. */
struct RetryAllowance {
    /** The request may run more than once. */
    bool isRepeatable = false;
    /** Further upstreams that the request may be sent to. */
    int attempts = 0;
    Duration timeLeft{0};
};

enum class AttemptDecision : std::uint8_t {
    /** Pass the upstream's answer on. */
    Deliver,
    /** Send the request to another upstream if the retry budget allows it. */
    Retry,
    /** Answer that the request was not run and may be sent again. */
    RefuseNotRun,
    /** Answer that the request may have run. */
    FailMayHaveRun,
    /** Answer that no answer came in time. */
    FailTimedOut,
};

/**
 * Decides what follows an attempt.
 *
 * @param mayHaveRun an earlier attempt of the same call may have run
 */
AttemptDecision decideAfterAttempt(AttemptEnd end, const RetryAllowance &allowance, bool mayHaveRun);

/** What follows when a retry was wanted and there is no budget or no upstream for it. */
AttemptDecision decideWithoutRetry(AttemptEnd end, bool mayHaveRun);

/** How the router counts an attempt that ended this way at an upstream that stated @p load in its answer. */
AttemptOutcome outcomeOf(AttemptEnd end, const std::optional<UpstreamLoad> &load);

} // namespace Filbertmount
