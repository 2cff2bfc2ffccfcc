// Compares routing policies on a virtual clock. Each policy gets the same trace of requests and disturbances.

#include "policysim/runs.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

using namespace Filbertmount;
using namespace Filbertmount::PolicySim;

namespace {

constexpr std::array Loads = {0.50, 0.70, 0.85, 0.95};

struct Options {
    std::uint64_t seed = 1;
    std::string service;
    bool isJson = false;
    Nanoseconds duration = 0;
    /** Runs only this load; 0 runs all loads. */
    double load = 0;
};

nlohmann::json formatJson(const Trace &trace, const RunResult &result)
{
    return {{"service", trace.profile.name},
            {"load", trace.load},
            {"policy", result.policy},
            {"in_force", result.policy == PolicyInForce},
            {"p50_ms", result.p50Ms},
            {"p99_ms", result.p99Ms},
            {"p999_ms", result.p999Ms},
            {"missed_share", result.missedShare()},
            {"probes_per_request", result.probesPerRequest},
            {"bytes_per_request", result.bytesPerRequest},
            {"measuring_share", result.measuringShare},
            {"budget_share", result.budgetShare},
            {"goodput_share", 1 - result.missedShare()}};
}

void printHeader()
{
    std::printf("%-13s %4s %-18s %8s %8s %8s %8s %7s %7s %9s %7s %8s\n",
                "service",
                "load",
                "policy",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "missed",
                "probes",
                "bytes",
                "measuring",
                "budget",
                "goodput");
}

void printRow(const Trace &trace, const RunResult &result)
{
    const std::string name = result.policy + (result.policy == PolicyInForce ? " *" : "");
    std::printf("%-13s %3.0f%% %-18s %8.2f %8.2f %8.2f %7.3f%% %7.3f %7.0f %8.2f%% %6.0f%% %7.3f%%\n",
                trace.profile.name.c_str(),
                100 * trace.load,
                name.c_str(),
                result.p50Ms,
                result.p99Ms,
                result.p999Ms,
                100 * result.missedShare(),
                result.probesPerRequest,
                result.bytesPerRequest,
                100 * result.measuringShare,
                100 * result.budgetShare,
                100 * (1 - result.missedShare()));
}

void comparePolicies(const ServiceProfile &profile, const Options &options)
{
    for (const double load : Loads) {
        if (options.load != 0 && options.load != load) {
            continue;
        }
        const Trace trace = generateTrace(profile, {.load = load, .seed = options.seed, .length = options.duration});
        for (const RunResult &result : AllPolicies::run(trace)) {
            if (options.isJson) {
                std::cout << formatJson(trace, result) << '\n';
            } else {
                printRow(trace, result);
            }
        }
    }
}

void printFault(const char *name, const Trace &trace, const InstanceFault &fault)
{
    Simulation<LateBinding> simulation(trace, fault);
    const RunResult result = simulation.run();
    std::printf("%-13s %-13s %8.2f %8.2f %8.2f %7.3f%% %12llu %12llu %12llu\n",
                trace.profile.name.c_str(),
                name,
                result.p50Ms,
                result.p99Ms,
                result.p999Ms,
                100 * result.missedShare(),
                static_cast<unsigned long long>(result.ungrantedPlacements),
                static_cast<unsigned long long>(simulation.requestsWithoutSingleResult()),
                static_cast<unsigned long long>(result.unsafeRepeats));
}

/** Prints the effect of dispatcher faults that start at second 10, at a load of 85% of the slots. */
void printFaults(const ServiceProfile &profile, const Options &options)
{
    using Kind = InstanceFault::Kind;
    constexpr Nanoseconds second = 1'000'000'000;
    const Trace trace = generateTrace(profile, {.load = 0.85, .seed = options.seed, .length = 30 * second});
    printFault("none", trace, {});
    printFault("disagreement", trace, {.kind = Kind::Disagreement, .from = 10 * second, .to = 15 * second});
    printFault("crash", trace, {.kind = Kind::Crash, .from = 10 * second, .to = 100 * second});
    printFault("freeze", trace, {.kind = Kind::Freeze, .from = 10 * second, .to = 11 * second});
    printFault("partition", trace, {.kind = Kind::Partition, .from = 10 * second, .to = 15 * second});
}

template<class Policy>
void printRecovery(const Trace &trace)
{
    const RunResult result = Simulation<Policy>(trace).run();
    std::printf("%-13s %-18s", trace.profile.name.c_str(), Policy::Name);
    for (std::size_t interval = 16; interval < std::min<std::size_t>(result.goodput.size(), 40); interval += 2) {
        const std::uint64_t responses = result.goodput[interval] + result.goodput[interval + 1];
        std::printf(" %5llu", static_cast<unsigned long long>(responses));
    }
    std::printf("\n");
}

/** Prints the goodput when half of the upstreams run at a quarter of their speed from second 10 to 12, at 95% load. */
void printRecoveries(const ServiceProfile &profile, const Options &options)
{
    constexpr Nanoseconds second = 1'000'000'000;
    const Trace trace = generateTrace(profile,
                                      {.load = 0.95,
                                       .seed = options.seed,
                                       .length = 25 * second,
                                       .slowdownStart = 10 * second,
                                       .slowdownEnd = 12 * second,
                                       .hasDrains = false,
                                       .hasStragglers = false});
    printRecovery<LateBinding>(trace);
    printRecovery<LocalTwoChoices>(trace);
}

template<class Function>
void forEachService(const Options &options, Function function)
{
    for (const ServiceProfile &profile : serviceProfiles()) {
        if (options.service.empty() || options.service == profile.name) {
            function(profile, options);
        }
    }
}

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Compares routing policies on a virtual clock.");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the requests and disturbances", false, 1, "number", line);
    TCLAP::ValueArg<std::string> service("", "service", "Run only this service", false, "", "name", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "Length of a run in virtual seconds", false, 60, "number", line);
    TCLAP::ValueArg<double> load(
        "", "load", "Run only this load, as a share of the slots: 0.5, 0.7, 0.85 or 0.95", false, 0, "share", line);
    TCLAP::SwitchArg json("", "json", "Print one JSON object per line instead of tables", line);
    line.parse(argc, argv);
    return {.seed = seed.getValue(),
            .service = service.getValue(),
            .isJson = json.getValue(),
            .duration = Nanoseconds{seconds.getValue()} * 1'000'000'000,
            .load = load.getValue()};
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = parseOptions(argc, argv);
    if (options.isJson) {
        forEachService(options, comparePolicies);
        return 0;
    }
    std::printf("seed %llu; * marks the policy in force\n\n", static_cast<unsigned long long>(options.seed));
    printHeader();
    forEachService(options, comparePolicies);
    std::printf("\ndispatcher faults at 85%% load, late_binding\n%-13s %-13s %8s %8s %8s %8s %12s %12s %12s\n",
                "service",
                "fault",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "missed",
                "ungranted",
                "not 1 result",
                "unsafe runs");
    forEachService(options, printFaults);
    std::printf(
        "\nrequests answered in time per second, from second 8 on; half of the upstreams are slow from second 10 to 12\n");
    forEachService(options, printRecoveries);
    return 0;
}
