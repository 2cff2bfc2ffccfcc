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

/** Probing of one service by this instance since its document came into force, in upstream slot time. */
struct ProbingStatus {
    /** This instance's share of the budget, without what others gave it. */
    Duration allowed{0};
    Duration spent{0};
    std::uint64_t probes = 0;
};

/**
 * Carries what is known of upstreams between the instance list, the attempts, the peers and the router, and probes where
 * only a probe can decide. Thread-safe. Must outlive the upstream client, whose transfers report to it.
 */
class UpstreamWatch
{
public:
    struct Options {
        InstanceId self;
        std::uint64_t seed = 1;
        /** Highest number of entry instances, by which the measuring budget is divided. */
        int instanceLimit = 1;
    };
    struct Modules {
        Router &router;
        UpstreamClient &client;
        PeerLink &peers;
        EventRing &events;
    };

    UpstreamWatch(Options options, const Modules &modules);

    /** Takes a complete listing of the service's upstreams. */
    void takeListing(const ServiceDocument &document, const std::vector<ListedInstance> &rows);
    void forget(const ServiceName &service);
    void attemptEnded(const Placement &placement, const AttemptReport &report);
    /** Handles UpstreamNotice and BudgetTransfer. */
    void receive(const InstanceId &from, const Wire::Body &body);
    /** @param others members of the region without this instance @param live all live members */
    void setMembers(std::vector<InstanceId> others, int live);
    void tick(Instant now);

    /** Ends a probe; called by its transfer. */
    void probeEnded(const ProbeCommand &probe, UpstreamObservation sign, Duration measured);

    [[nodiscard]] ProbingStatus probing(const ServiceName &service, Instant now) const;

private:
    struct Service {
        /** Of one upstream. */
        int slots = 1;
        int totalSlots = 0;
        Instant since;
        MeasuringSettings measuring;
        std::map<UpstreamId, UpstreamCondition> applied;
        Duration spent{0};
        std::uint64_t probes = 0;
    };

    void observe(const ServiceName &service, const UpstreamId &upstream, UpstreamObservation sign);
    void apply(const ServiceName &service, Instant now);
    void chooseProbes(Instant now, std::vector<ProbeCommand> &probes);
    void startProbe(const ProbeCommand &probe);
    void giveTokens(Instant now);

    const Options m_options;
    const Modules m_modules;
    UpstreamNotices m_upstreamNotices;
    ProbeBudget m_budget;
    /** Taken before the locks of m_upstreamNotices and m_budget; never held while the router or the peers are called. */
    mutable absl::Mutex m_mutex;
    ProbeScheduler m_scheduler ABSL_GUARDED_BY(m_mutex);
    std::map<ServiceName, Service> m_services ABSL_GUARDED_BY(m_mutex);
    Instant m_tokensGivenAt ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
