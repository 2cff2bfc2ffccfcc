// Measures the time and the allocations of one decision of the dispatcher: granting a request and releasing its slot.

#include "allocationcounter.h"
#include "busyrouter.h"

#include <benchmark/benchmark.h>

using namespace Filbertmount;

namespace {

void decision(benchmark::State &state)
{
    BusyRouter router(static_cast<int>(state.range(0)));
    const std::uint64_t before = allocationsOfThread;
    for (const auto step : state) {
        static_cast<void>(step);
        router.decide();
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocationsOfThread - before), benchmark::Counter::kAvgIterations);
}

/** The same with zone exits decided by cost. */
void decisionByCost(benchmark::State &state)
{
    BusyRouter router(static_cast<int>(state.range(0)), ZoneExitOptions{.msPerKilobyte = 0.5});
    const std::uint64_t before = allocationsOfThread;
    for (const auto step : state) {
        static_cast<void>(step);
        router.decide();
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocationsOfThread - before), benchmark::Counter::kAvgIterations);
}

/** Measures the periodic work, which is done every 100 ms at any load. */
void tick(benchmark::State &state)
{
    BusyRouter router(static_cast<int>(state.range(0)));
    for (const auto step : state) {
        static_cast<void>(step);
        router.tick();
    }
}

} // namespace

BENCHMARK(decision)->Arg(10)->Arg(100)->Arg(1000)->Arg(18000);
BENCHMARK(decisionByCost)->Arg(10)->Arg(100)->Arg(1000)->Arg(18000);
BENCHMARK(tick)->Arg(10)->Arg(100)->Arg(1000)->Arg(18000);

BENCHMARK_MAIN();
