#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/measuring/probebudget.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Filbertmount {

/** Why an upstream should be probed, most urgent first. */
enum class ProbeReason : std::uint8_t {
    /** A notice or the instance list contradicts the condition that this instance assumes. */
    Confirm,
    Down,
    Cold,
    /** No request or probe of this instance has reached the upstream yet. */
    Unknown,
};

/** An upstream that should be probed. */
struct ProbeCandidate {
    UpstreamId upstream;
    /** "IP:port". */
    std::string address;
    ProbeReason reason = ProbeReason::Unknown;
};

/** A probe to send now. It must be cancelled after timeout, which is the slot time reserved for it. */
struct ProbeCommand {
    std::uint64_t id = 0;
    ServiceName service;
    UpstreamId upstream;
    std::string address;
    std::string path;
    Duration timeout{0};
};

/** Chooses the upstreams to probe next within the ProbeBudget. Not thread-safe. */
class ProbeScheduler
{
public:
    /** Shortest time between two probes of an upstream, whatever the budget. */
    static constexpr Duration MinInterval = std::chrono::milliseconds(250);
    /** Maximum reservation for one probe, as a multiple of the probe cost in the service document. */
    static constexpr int MaxCostFactor = 16;

    /** @p budget must outlive this object. */
    explicit ProbeScheduler(ProbeBudget &budget);

    /** Replaces the upstreams of @p service that should be probed. */
    void setCandidates(const ServiceName &service, std::vector<ProbeCandidate> candidates, const MeasuringSettings &settings);
    void removeService(const ServiceName &service);

    /** Reserves budget for the next probes and returns them; at most one for each service. */
    std::vector<ProbeCommand> tick(Instant now);
    /** Ends a probe. @param measured slot time from connecting to the complete answer, or until it was cancelled */
    void finished(std::uint64_t id, Duration measured, Instant now);

private:
    struct Service {
        std::vector<ProbeCandidate> candidates;
        std::string path;
        Duration configuredCost{0};
        /** Slot time to reserve for the next probe, between configuredCost and MaxCostFactor times that. */
        Duration nextCost{0};
        std::map<UpstreamId, Instant> probedAt;
    };
    struct RunningProbe {
        ServiceName service;
        Duration reserved{0};
    };

    static const ProbeCandidate *chooseCandidate(const Service &service, Instant now);

    ProbeBudget &m_budget;
    std::map<ServiceName, Service> m_services;
    std::map<std::uint64_t, RunningProbe> m_running;
    std::uint64_t m_lastId = 0;
};

} // namespace Filbertmount
