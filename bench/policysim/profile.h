#pragma once

#include <filbertmount/document/parseservicedocument.h>
#include <filbertmount/routing/router.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace Filbertmount::PolicySim {

/** One simulated service: its size, its requests and the routing settings of its document. */
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
    /** Measuring budget of the document in percent of the slot time. */
    double measuringPercent = 1.0;
    ServiceRouting routing;
};

inline constexpr int EntryInstances = 14;

/** Reads examples/<name>.toml; its path is derived from the path of this source file. */
inline ServiceDocument readDocument(const std::string &name)
{
    const std::string source = __FILE__;
    const std::string path = source.substr(0, source.rfind("bench/policysim/")) + "examples/" + name + ".toml";
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return boost::leaf::try_handle_all(
        [&] {
            return parseServiceDocument(text.str(), path);
        },
        [&]() -> ServiceDocument {
            throw std::runtime_error("service document " + path + " is missing or not valid");
        });
}

/**
 * Sets the slots, the measuring budget and the routing settings (cold start, budgets, queue) from the service document,
 * and the deadline and priority from its first GET route.
 */
inline ServiceProfile applyDocument(ServiceProfile profile)
{
    const ServiceDocument document = readDocument(profile.name);
    profile.slots = document.upstreams.slots;
    profile.measuringPercent = document.measuring.budgetPercent;
    profile.routing = routingOf(document);
    const auto getRoute = std::find_if(document.routes.begin(), document.routes.end(), [](const Route &route) {
        return route.method == "GET";
    });
    profile.deadline = getRoute->deadline;
    profile.patientShare = getRoute->priority == Priority::Patient ? 1 : 0;
    return profile;
}

/** Returns the four example services of the design page, with the settings of their example documents. */
inline std::array<ServiceProfile, 4> serviceProfiles()
{
    using std::chrono::milliseconds;
    return {
        applyDocument({.name = "shopfront", .upstreams = 10, .zones = 4, .meanDemand = milliseconds(20), .repeatableShare = 0.8}),
        applyDocument({.name = "workshop", .upstreams = 15, .zones = 4, .meanDemand = milliseconds(30), .repeatableShare = 0.5}),
        applyDocument(
            {.name = "fitting-bench", .upstreams = 10, .zones = 3, .meanDemand = milliseconds(25), .repeatableShare = 0.6}),
        applyDocument(
            {.name = "catalogue", .upstreams = 12, .zones = 3, .meanDemand = milliseconds(40), .repeatableShare = 0.95}),
    };
}

} // namespace Filbertmount::PolicySim
