#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/measuring/probebudget.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Filbertmount {

/** Why an upstream is worth a probe, most urgent first. */
enum class ProbeReason : std::uint8_t {
    /** A notice or the instance list contradicts what this instance uses. */
    Confirm,
    Down,
    Cold,
    /** No request or probe of this instance has reached it yet. */
    Unknown,
};

struct ProbeCandidate {
    UpstreamId upstream;
    /** "IP:port". */
    std::string address;
    ProbeReason reason = ProbeReason::Unknown;
};

/** A probe to send now. It must be cancelled after timeout, which is all that it was charged. */
struct ProbeCommand {
    std::uint64_t id = 0;
    ServiceName service;
    UpstreamId upstream;
    std::string address;
    std::string path;
    Duration timeout{0};
};

/** Chooses which upstream to probe next and spends only tokens that the budget holds. Not thread-safe. */
class ProbeScheduler
{
public:
    /** An upstream is not probed again sooner, whatever the budget. */
    static constexpr Duration MinInterval = std::chrono::milliseconds(250);
    /** Highest charge of one probe, as a multiple of the document's probe cost. */
    static constexpr int MaxCostFactor = 16;

    /** @p budget must outlive this object. */
    explicit ProbeScheduler(ProbeBudget &budget);

    /** Replaces the upstreams of @p service that are worth a probe. */
    void setCandidates(const ServiceName &service, std::vector<ProbeCandidate> candidates, const MeasuringSettings &settings);
    void remove(const ServiceName &service);

    /** Returns the probes to send now, each already charged; at most one for each service. */
    std::vector<ProbeCommand> tick(Instant now);
    /** Ends a probe. @param measured slot time from connecting to the whole answer, or until it was cancelled */
    void finished(std::uint64_t id, Duration measured, Instant now);

private:
    struct Service {
        std::vector<ProbeCandidate> candidates;
        std::string path;
        Duration configuredCost{0};
        /** What the next probe is charged. */
        Duration nextCost{0};
        std::map<UpstreamId, Instant> probedAt;
    };
    struct Running {
        ServiceName service;
        Duration reserved{0};
    };

    static const ProbeCandidate *choose(const Service &service, Instant now);

    ProbeBudget &m_budget;
    std::map<ServiceName, Service> m_services;
    std::map<std::uint64_t, Running> m_running;
    std::uint64_t m_lastId = 0;
};

} // namespace Filbertmount
