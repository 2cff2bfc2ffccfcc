#pragma once

#include "upstreamschedule.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount::PolicySim {

/** Costs of a policy, without the requests themselves. */
struct Costs {
    std::uint64_t probes = 0;
    /** Bytes of probes and of messages between entry instances, without TCP/IP headers. */
    std::uint64_t bytes = 0;
    /** Time that upstreams spend on probes. */
    Nanoseconds probeTime = 0;
};

/** Result of one run. The latency of a request that was refused or missed its deadline counts as the whole deadline. */
struct RunResult {
    std::string policy;
    std::uint64_t requests = 0;
    /** Requests that were refused or missed their deadline. */
    std::uint64_t missed = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double probesPerRequest = 0;
    double bytesPerRequest = 0;
    /** Share of the slot time that was spent on probes. */
    double measuringShare = 0;
    /** measuringShare as a share of the measuring budget in the service document. */
    double budgetShare = 0;
    /** Requests answered in time in each GoodputInterval. */
    std::vector<std::uint64_t> goodput;
    /** Attempts that upstreams started. */
    std::uint64_t started = 0;
    /** Second and further runs of non-repeatable requests. */
    std::uint64_t unsafeRepeats = 0;
    /** Placements that an entry instance made without a grant of the dispatcher. */
    std::uint64_t ungrantedPlacements = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;

    static constexpr Nanoseconds GoodputInterval = 500'000'000;

    [[nodiscard]] double missedShare() const
    {
        return requests == 0 ? 0 : static_cast<double>(missed) / static_cast<double>(requests);
    }
};

/** Returns the value at @p quantile in milliseconds; reorders @p latencies. */
inline double quantileMs(std::vector<Nanoseconds> &latencies, double quantile)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto position =
        std::min(latencies.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(latencies.size())));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(position), latencies.end());
    return static_cast<double>(latencies[position]) / 1e6;
}

inline void setQuantiles(RunResult &result, std::vector<Nanoseconds> &latencies)
{
    result.p50Ms = quantileMs(latencies, 0.5);
    result.p99Ms = quantileMs(latencies, 0.99);
    result.p999Ms = quantileMs(latencies, 0.999);
}

} // namespace Filbertmount::PolicySim
