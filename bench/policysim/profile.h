#pragma once

#include <filbertmount/routing/router.h>

#include <array>
#include <string>

namespace Filbertmount::PolicySim {

/** One service of the benchmark: its size, its requests and the routing part of its document. */
struct ServiceProfile {
    std::string name;
    int upstreams = 10;
    int slots = 2;
    int zones = 4;
    /** Mean service time on an undisturbed, warm upstream. */
    Duration meanDemand = std::chrono::milliseconds(20);
    /** Standard deviation of the logarithm of the service time. */
    double sigma = 1.0;
    double repeatableShare = 0.7;
    double patientShare = 0.0;
    Duration deadline = std::chrono::seconds(1);
    /** Measuring budget of the document in percent of slot time. */
    double measuringPercent = 1.0;
    /** The queue holds what the service can answer within the deadline. */
    ServiceRouting routing;
};

inline constexpr int EntryInstances = 14;

/** The four services of the design page with the settings of their documents. */
inline std::array<ServiceProfile, 4> serviceProfiles()
{
    using std::chrono::milliseconds;
    return {
        ServiceProfile{.name = "shopfront",
                       .upstreams = 10,
                       .slots = 2,
                       .zones = 4,
                       .meanDemand = milliseconds(20),
                       .repeatableShare = 0.8,
                       .deadline = milliseconds(1000),
                       .routing = {.limits = {.queue = 800}}},
        ServiceProfile{.name = "workshop",
                       .upstreams = 15,
                       .slots = 2,
                       .zones = 4,
                       .meanDemand = milliseconds(30),
                       .repeatableShare = 0.5,
                       .deadline = milliseconds(1500),
                       .routing = {.limits = {.queue = 1200}}},
        ServiceProfile{.name = "fitting-bench",
                       .upstreams = 10,
                       .slots = 4,
                       .zones = 3,
                       .meanDemand = milliseconds(25),
                       .repeatableShare = 0.6,
                       .deadline = milliseconds(1250),
                       .routing = {.limits = {.queue = 1500}}},
        ServiceProfile{.name = "catalogue",
                       .upstreams = 12,
                       .slots = 4,
                       .zones = 3,
                       .meanDemand = milliseconds(40),
                       .repeatableShare = 0.95,
                       .patientShare = 1.0,
                       .deadline = milliseconds(3000),
                       .measuringPercent = 0.5,
                       .routing = {.hedging = {.budgetPercent = 1.0}, .limits = {.queue = 3000}}},
    };
}

} // namespace Filbertmount::PolicySim
