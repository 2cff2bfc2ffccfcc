#pragma once

#include "baselines.h"
#include "bound.h"
#include "latebinding.h"
#include "simulation.h"

#include <vector>

namespace Filbertmount::PolicySim {

template<class... Policies>
struct PolicyList {
    /** Runs every policy, and the bound, on the same trace. */
    static std::vector<RunResult> run(const Trace &trace)
    {
        std::vector<RunResult> results;
        (results.push_back(Simulation<Policies>(trace).run()), ...);
        results.push_back(runBound(trace));
        return results;
    }
};

using AllPolicies =
    PolicyList<RoundRobin, Random, LocalTwoChoices, LatencyAverage, ProbePool, LoadOnResponses, SharedCounts, LateBinding>;

inline constexpr const char *PolicyInForce = LateBinding::Name;

} // namespace Filbertmount::PolicySim
