#pragma once

#include "instance/peerlink.h"

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/measuring/probebudget.h>
#include <filbertmount/measuring/probescheduler.h>
#include <filbertmount/notices/upstreamnotices.h>
#include <filbertmount/proxy/upstreamclient.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/telemetry/eventring.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <string>
#include <vector>

namespace Filbertmount {

/** Upstream slot time that this instance has spent on probes of one service since the service was configured. */
struct ProbingStatus {
    /** This instance's share of the measuring budget, without tokens transferred from other instances. */
    Duration allowed{0};
    Duration spent{0};
    std::uint64_t probes = 0;
};

/**
 * Tracks the condition of all upstreams from instance lists, ended attempts, notices of peers and probes, and updates the
 * router. Sends probes only to confirm a suspected condition. Thread-safe. Must outlive the upstream client, whose
 * transfers report to this object.
 */
class UpstreamMonitor
{
public:
    struct Options {
        InstanceId self;
        std::uint64_t seed = 1;
        /** Highest number of entry instances; the measuring budget is divided by it. */
        int instanceLimit = 1;
    };
    struct Modules {
        Router &router;
        UpstreamClient &client;
        PeerLink &peers;
        EventRing &events;
    };

    UpstreamMonitor(Options options, const Modules &modules);

    /** Applies a complete list of the service's upstreams. */
    void applyListing(const ServiceDocument &document, const std::vector<ListedInstance> &instances);
    void removeService(const ServiceName &service);
    void attemptEnded(const Placement &placement, const AttemptReport &report);
    /** Handles UpstreamNotice and BudgetTransfer messages. */
    void receive(const InstanceId &from, const Wire::Body &body);
    /**
     * @param others live members of the region without this instance
     * @param live number of live members of all regions, this instance included
     */
    void setMembers(std::vector<InstanceId> others, int live);
    void tick(Instant now);

    /** Records the result of a probe; called by its transfer. */
    void probeEnded(const ProbeCommand &probe, UpstreamObservation observation, Duration elapsed);

    [[nodiscard]] ProbingStatus probing(const ServiceName &service, Instant now) const;

private:
    struct Service {
        /** Slots of one upstream. */
        int slots = 1;
        int totalSlots = 0;
        Instant since;
        MeasuringSettings measuring;
        /** Conditions last passed to the router. */
        std::map<UpstreamId, UpstreamCondition> applied;
        Duration spent{0};
        std::uint64_t probes = 0;
    };

    void observe(const ServiceName &service, const UpstreamId &upstream, UpstreamObservation observation);
    /** Passes the current upstreams of a service and their changed conditions to the router. */
    void updateRouter(const ServiceName &service, Instant now);
    void chooseProbes(Instant now, std::vector<ProbeCommand> &probes);
    void startProbe(const ProbeCommand &probe);
    /** Transfers unused probe budget to the services' dispatchers, at most once in each ProbeBudget::TransferInterval. */
    void transferTokens(Instant now);

    const Options m_options;
    const Modules m_modules;
    UpstreamNotices m_upstreamNotices;
    ProbeBudget m_budget;
    /** Locked before the mutexes of m_upstreamNotices and m_budget; never held during calls of the router or the peer link. */
    mutable absl::Mutex m_mutex;
    ProbeScheduler m_scheduler ABSL_GUARDED_BY(m_mutex);
    std::map<ServiceName, Service> m_services ABSL_GUARDED_BY(m_mutex);
    Instant m_lastTokenTransfer ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
