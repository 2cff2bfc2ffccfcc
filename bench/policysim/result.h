#pragma once

#include "trajectory.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount::PolicySim {

/** Costs of a policy beside the requests themselves. */
struct Costs {
    std::uint64_t probes = 0;
    /** Bytes of messages between entry instances and of probes, without TCP/IP headers. */
    std::uint64_t bytes = 0;
    /** Upstream time spent on probes. */
    Ticks measuring = 0;
};

/** Outcome of one run. A request that was refused or missed its deadline counts with the whole deadline. */
struct RunResult {
    std::string policy;
    std::uint64_t requests = 0;
    std::uint64_t missed = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double probesPerRequest = 0;
    double bytesPerRequest = 0;
    double measuringShare = 0;
    /** Measuring as a share of the team's budget. */
    double budgetShare = 0;
    /** Requests answered in time per interval of goodputInterval. */
    std::vector<std::uint64_t> goodput;
    /** Attempts that were started at upstreams, and non-repeatable requests that were started more than once. */
    std::uint64_t started = 0;
    std::uint64_t repeatedUnsafely = 0;
    std::uint64_t ownChoices = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;

    static constexpr Ticks GoodputInterval = 500'000'000;

    [[nodiscard]] double missedShare() const
    {
        return requests == 0 ? 0 : static_cast<double>(missed) / static_cast<double>(requests);
    }
};

/** Sorts @p latencies and returns the value at @p quantile in milliseconds. */
inline double quantileMs(std::vector<Ticks> &latencies, double quantile)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto position =
        std::min(latencies.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(latencies.size())));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(position), latencies.end());
    return static_cast<double>(latencies[position]) / 1e6;
}

inline void setQuantiles(RunResult &result, std::vector<Ticks> &latencies)
{
    result.p50Ms = quantileMs(latencies, 0.5);
    result.p99Ms = quantileMs(latencies, 0.99);
    result.p999Ms = quantileMs(latencies, 0.999);
}

} // namespace Filbertmount::PolicySim
