// Checks the bounds of the policy table with fixed seeds and shorter runs than scripts/bench policy.

#include "../../bench/policysim/runs.h"

#include <doctest/doctest.h>

#include <map>

using namespace Filbertmount;
using namespace Filbertmount::PolicySim;

namespace {

constexpr Nanoseconds Second = 1'000'000'000;

std::map<std::string, RunResult> runAll(const ServiceProfile &profile, double load)
{
    std::map<std::string, RunResult> results;
    const Trace trace = generateTrace(profile, {.load = load, .seed = 1, .length = 20 * Second});
    for (RunResult &result : AllPolicies::run(trace)) {
        results[result.policy] = std::move(result);
    }
    return results;
}

} // namespace

TEST_CASE("policy table: no policy beats the bound")
{
    for (const ServiceProfile &profile : serviceProfiles()) {
        for (const double load : {0.5, 0.85, 0.95}) {
            const std::map<std::string, RunResult> results = runAll(profile, load);
            const RunResult &bound = results.at("bound");
            for (const auto &named : results) {
                const RunResult &result = named.second;
                INFO("service " << profile.name << " load " << load << " policy " << result.policy);
                CHECK(result.p50Ms >= bound.p50Ms);
                CHECK(result.p99Ms >= bound.p99Ms);
                CHECK(result.p999Ms >= bound.p999Ms);
                CHECK(result.missed >= bound.missed);
            }
        }
    }
}

namespace {

/** Sums of the p99 at 85% load over three seeds, since one 20 s run has too few requests above its p99. */
struct TailSums {
    double lateBinding = 0;
    double twoChoices = 0;
    double bound = 0;
};

TailSums tailSums(const ServiceProfile &profile)
{
    TailSums sums;
    for (const std::uint64_t seed : {1, 2, 3}) {
        const Trace trace = generateTrace(profile, {.load = 0.85, .seed = seed, .length = 20 * Second});
        const RunResult lateBinding = Simulation<LateBinding>(trace).run();
        CHECK(lateBinding.measuringShare <= 0.01);
        CHECK(lateBinding.budgetShare <= 1);
        CHECK(lateBinding.unsafeRepeats == 0);
        sums.lateBinding += lateBinding.p99Ms;
        sums.twoChoices += Simulation<LocalTwoChoices>(trace).run().p99Ms;
        sums.bound += runBound(trace).p99Ms;
    }
    return sums;
}

void checkHalfOfTwoChoices(const ServiceProfile &profile)
{
    const TailSums sums = tailSums(profile);
    INFO("bound " << sums.bound);
    CHECK(sums.lateBinding <= 0.5 * sums.twoChoices);
}

} // namespace

TEST_CASE("policy table: the p99 is within 1.25 times the bound, and measuring within the budget")
{
    for (const ServiceProfile &profile : serviceProfiles()) {
        const TailSums sums = tailSums(profile);
        INFO("service " << profile.name);
        CHECK(sums.lateBinding <= 1.25 * sums.bound);
    }
}

TEST_CASE("policy table: the p99 of shopfront is at most half of that of local two choices")
{
    checkHalfOfTwoChoices(serviceProfiles()[0]);
}

TEST_CASE("policy table: the p99 of workshop is at most half of that of local two choices")
{
    checkHalfOfTwoChoices(serviceProfiles()[1]);
}

// Listed in KNOWN-RED.txt. should_fail reports an error when one of them passes, so that the list stays accurate.
TEST_CASE("policy table: the p99 of fitting-bench is at most half of that of local two choices" * doctest::should_fail())
{
    checkHalfOfTwoChoices(serviceProfiles()[2]);
}

TEST_CASE("policy table: the p99 of catalogue is at most half of that of local two choices" * doctest::should_fail())
{
    checkHalfOfTwoChoices(serviceProfiles()[3]);
}

// In longer runs, a drain coincides more often with a straggler, which makes the queue grow.
void checkLongRun(const ServiceProfile &profile)
{
    const Trace trace = generateTrace(profile, {.load = 0.85, .seed = 1, .length = 60 * Second});
    CHECK(Simulation<LateBinding>(trace).run().p99Ms <= 1.25 * runBound(trace).p99Ms);
}

TEST_CASE("policy table: over 60 s, the p99 of shopfront is within 1.25 times the bound" * doctest::should_fail())
{
    checkLongRun(serviceProfiles()[0]);
}

TEST_CASE("policy table: over 60 s, the p99 of the other services is within 1.25 times the bound")
{
    for (const std::size_t service : {1, 2, 3}) {
        checkLongRun(serviceProfiles()[service]);
    }
}

TEST_CASE("late binding: faults of the dispatcher cost latency only")
{
    using Kind = InstanceFault::Kind;
    const ServiceProfile profile = serviceProfiles()[0];
    const Trace trace = generateTrace(profile, {.load = 0.7, .seed = 3, .length = 15 * Second});
    for (const Kind kind : {Kind::Disagreement, Kind::Crash, Kind::Freeze, Kind::Partition}) {
        const Nanoseconds end = kind == Kind::Crash ? 1000 * Second : 8 * Second;
        Simulation<LateBinding> simulation(trace, {.kind = kind, .from = 5 * Second, .to = end});
        const RunResult result = simulation.run();
        INFO("fault " << static_cast<int>(kind));
        CHECK(simulation.requestsWithoutSingleResult() == 0);
        CHECK(result.unsafeRepeats == 0);
        CHECK(result.missedShare() < 0.01);
        CHECK((result.ungrantedPlacements > 0) == (kind != Kind::Disagreement));
    }
}

TEST_CASE("late binding: goodput recovers after half of the upstreams were slow at 95% load")
{
    const TraceOptions options{.load = 0.95,
                               .seed = 1,
                               .length = 20 * Second,
                               .slowdownStart = 8 * Second,
                               .slowdownEnd = 10 * Second,
                               .hasDrains = false,
                               .hasStragglers = false};
    const RunResult result = Simulation<LateBinding>(generateTrace(serviceProfiles()[0], options)).run();
    const auto sum = [&](std::size_t from, std::size_t to) {
        std::uint64_t total = 0;
        for (std::size_t interval = 2 * from; interval < 2 * to; ++interval) {
            total += result.goodput[interval];
        }
        return total;
    };
    const double before = static_cast<double>(sum(4, 8));
    CHECK(static_cast<double>(sum(8, 10)) < 0.45 * before);
    CHECK(static_cast<double>(sum(12, 16)) > 0.95 * before);
}
