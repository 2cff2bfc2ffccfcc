#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>

namespace Filbertmount::StandIn {

/** What the caller knows about one request after its last attempt. */
enum class CallerOutcome : std::uint8_t {
    Pending,
    /** A complete response to this request, or Filbertmount-Run: ran, which says that an earlier attempt ran. */
    Answered,
    /** The response to the last attempt says that the request was not run. */
    NotRun,
    /** The response says that the request may have run. */
    MayHaveRun,
    /** An error response that does not say whether the request ran. */
    ServerError,
    /** The transfer failed: connection error, timeout, or broken framing. */
    NoResponse,
    /** A response to another request, or a truncated response whose transfer ended without an error. */
    WrongResponse,
};

/** One request of a caller, with all of its attempts. */
struct CallerRequest {
    std::string id;
    /** Whether the request is an order, which may run at most once; the others are reads. */
    bool order = false;
    /** Latencies are measured from the scheduled time, so that they include the delay of a late send. */
    Instant due;
    Instant ended;
    int attempts = 0;
    CallerOutcome outcome = CallerOutcome::Pending;
    int lastStatus = 0;
    /** Whether every attempt so far was answered with "not run". */
    bool alwaysNotRun = true;
};

/** Returns whether @p body is the complete response of the stand-in upstream to request @p id. */
bool isCompleteResponse(const std::string &body, const std::string &id, std::size_t expectedBytes);

/** The parts of a response that determine its CallerOutcome. */
struct ResponseSummary {
    /** Whether the transfer ended without a connection or framing error. */
    bool transferred = false;
    int status = 0;
    /** Value of Filbertmount-Run; empty when absent. */
    std::string runHeader;
    /** Result of isCompleteResponse(). */
    bool complete = false;
};

CallerOutcome classifyResponse(const ResponseSummary &response);

/** Returns whether the caller resends the request after @p outcome. */
bool shouldResend(const CallerRequest &request, CallerOutcome outcome, int maxResends);

} // namespace Filbertmount::StandIn
