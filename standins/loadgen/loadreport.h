#pragma once

#include "callerrequest.h"
#include "loadoptions.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Filbertmount::StandIn {

/** Runs of each request id, counted over the execution logs of all upstreams. */
using ExecutionCounts = std::map<std::string, int>;

/** Reads execution logs; a file that does not exist counts as empty. */
ExecutionCounts readExecutionLogs(const std::vector<std::string> &files);

/** The figures of one load, latencies in milliseconds. */
struct LoadReport {
    std::string service;
    std::int64_t requests = 0;
    std::int64_t orders = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    std::int64_t resent = 0;
    /** Requests that ended without any answer, and orders answered as run that no upstream ran. */
    std::int64_t lost = 0;
    /** Orders that ran more than once. */
    std::int64_t doubled = 0;
    /** Orders of which every answer said "not run" although an upstream ran them. */
    std::int64_t falseNotRun = 0;
    std::int64_t wrongAnswers = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;

    /** Whether every promise to the callers held. */
    [[nodiscard]] bool promisesHeld() const;
};

/** Runs are checked only when the options name execution logs. */
LoadReport makeReport(const LoadOptions &options, const std::vector<CallerRequest> &requests, const ExecutionCounts &counts);

std::string reportLine(const LoadReport &report);
std::string reportHeading();
std::string reportJson(const LoadReport &report);

} // namespace Filbertmount::StandIn
