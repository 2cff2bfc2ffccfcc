#pragma once

#include "callerrequest.h"
#include "loadoptions.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Filbertmount::StandIn {

/** Number of runs by request id, over the execution logs of all upstreams. */
using ExecutionCounts = std::map<std::string, int>;

/** Reads execution logs; a file that does not exist counts as empty. */
ExecutionCounts readExecutionLogs(const std::vector<std::string> &files);

/** Results of one load. */
struct LoadReport {
    std::string service;
    std::int64_t requests = 0;
    std::int64_t orders = 0;
    std::int64_t answered = 0;
    /** Requests whose last response said "not run". */
    std::int64_t refused = 0;
    /** Requests whose last response said "may have run" or was an error that does not say whether the request ran. */
    std::int64_t unknown = 0;
    std::int64_t resent = 0;
    /** Requests that got no response, and orders that were answered although no upstream ran them. */
    std::int64_t lost = 0;
    /** Orders that ran more than once. */
    std::int64_t doubled = 0;
    /** Orders whose responses all said "not run" although an upstream ran them. */
    std::int64_t falseNotRun = 0;
    std::int64_t wrongResponses = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;

    /** Whether at least one request was sent and all guarantees to the callers held. */
    [[nodiscard]] bool guaranteesHeld() const;
};

/** Checks the runs of orders only if @p options names execution logs. */
LoadReport summarizeLoad(const LoadOptions &options, const std::vector<CallerRequest> &requests, const ExecutionCounts &counts);

std::string formatRow(const LoadReport &report);
std::string formatHeading();
std::string formatJson(const LoadReport &report);

} // namespace Filbertmount::StandIn
