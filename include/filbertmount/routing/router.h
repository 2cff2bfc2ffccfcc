#pragma once

#include <filbertmount/peer/peersender.h>
#include <filbertmount/routing/admissioncontrol.h>
#include <filbertmount/routing/hedgepolicy.h>
#include <filbertmount/routing/memberregistry.h>
#include <filbertmount/routing/placement.h>
#include <filbertmount/routing/retrybudget.h>
#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/routing/routerstatus.h>
#include <filbertmount/routing/servicerouter.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace filbertmount::peer {
class Body;
} // namespace filbertmount::peer

namespace Filbertmount {

/** Identity, connections and limits of a Router. */
struct RouterOptions {
    /** The instance itself. */
    InstanceId self = InstanceId("self");
    AvailabilityZone zone;
    /** Sends messages to another member; empty when there are no other members. */
    PeerSender send;
    /** Clock for calls that have no time parameter; the process clock when empty. */
    std::function<Instant()> clock;
    AdmissionOptions admission;
    std::uint64_t seed = 1;
    /** Called after an upstream turned cold or warm, on any thread, with no lock of the router held; may be empty. */
    std::function<void(const ServiceName &, const UpstreamId &, const WarmupChange &)> onWarmupChange;
};

/** Routing settings of a service document. */
struct ServiceRouting {
    TeamName team;
    Duration coldStart = std::chrono::seconds(5);
    RetrySettings retries;
    HedgingSettings hedging;
    LimitSettings limits;
    /** See SlotDispatcherOptions. */
    double ownZoneAdvantage = SlotDispatcherOptions().ownZoneAdvantage;
    /** The seed is replaced by one that differs between instances. */
    WarmupOptions warmup;
    std::optional<ZoneExitOptions> zoneExit;
};

/** Returns the routing settings of @p document. */
ServiceRouting routingOf(const ServiceDocument &document);

/**
 * Chooses an upstream for each attempt. Thread-safe.
 *
 * Uses late binding: a request stays in the queue of the service's dispatcher until an upstream has a free slot.
 * Handlers and the peer sender run on the calling thread, with no lock of the router held.
 */
class Router
{
public:
    explicit Router(RouterOptions options = {});
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /** Sets how @p service is routed; services that were never configured use the defaults. */
    void configure(const ServiceName &service, const ServiceRouting &routing);
    /** Removes @p service and refuses its waiting requests. */
    void removeService(const ServiceName &service);

    /** Replaces the upstreams of @p service; attempts in flight continue at their upstream. */
    void updateUpstreams(const ServiceName &service, const std::vector<RoutedUpstream> &upstreams);
    /** Sets the state of an upstream as reported by the instance list, a notice or a probe. Unknown upstreams are ignored. */
    void setUpstreamState(const ServiceName &service, const UpstreamId &upstream, UpstreamState state);

    /** Sets the live entry instances of the region; dispatchers are selected from @p dispatchers, or from all if empty. */
    void setMembers(const std::vector<InstanceId> &members, const std::vector<InstanceId> &dispatchers = {});
    /** Handles a message from a member. Returns false when it is malformed or names an unknown service. */
    bool handleMessage(const InstanceId &from, const Wire::Body &body);

    /** Calls @p handler exactly once with an upstream or a refusal. A deadline of zero means none. */
    void place(const PlacementQuery &query, PlacementHandler handler);
    /** Ends an attempt and frees its slot. Each placement must be released exactly once. */
    void release(const Placement &placement, const AttemptReport &report);

    /** Takes one retry from the service's retry budget; returns false when the budget is used up. */
    bool takeRetry(const ServiceName &service);
    /** Takes one retry from the retry budget for a hedged attempt; keeps most of the budget for retries after failures. */
    bool takeRetryForHedge(const ServiceName &service);
    /** Returns a retry that was not made to the budget. */
    void refundRetry(const ServiceName &service);
    /** Time after which a repeatable request may be hedged; nothing while too few service times were recorded. */
    std::optional<Duration> hedgeDelay(const ServiceName &service);
    /**
     * Takes one hedged attempt from the service's hedge budget; returns false when the budget is used up. When place()
     * refuses the hedged attempt, it is returned to the budget.
     */
    bool takeHedge(const ServiceName &service);

    /** Records a pace that an upstream reported outside of an attempt, for example in the response to a probe. */
    void recordPace(const ServiceName &service, const UpstreamId &upstream, double pace);
    /** Records what an upstream stated about further requests outside of an attempt. */
    void recordSignals(const ServiceName &service, const UpstreamId &upstream, const UpstreamSignals &signals);
    /**
     * Returns the usable upstreams whose pace should be polled now, of the services that this instance dispatches. Those
     * that are likely to get the next requests come first.
     */
    [[nodiscard]] std::vector<std::pair<ServiceName, RoutedUpstream>> upstreamsToPoll(const PacePollingOptions &polling) const;

    /** Handles timeouts, reports and queued requests. Call every few milliseconds. */
    void tick(Instant now);

    /** Returns the dispatcher of each service that has one. */
    [[nodiscard]] std::vector<std::pair<ServiceName, InstanceId>> dispatchers() const;
    /** Returns the state of admission control, services and upstreams. */
    [[nodiscard]] RouterStatus status() const;

private:
    struct Service;
    struct DeferredEffects;

    Instant now() const;
    /** Calls @p action with the service and the index of @p upstream if both are known, then runs the effects. */
    template<class Action>
    void updateUpstream(const ServiceName &service, const UpstreamId &upstream, Action action);
    Service &findOrCreateService(const ServiceName &name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::shared_ptr<Service> find(const ServiceName &name) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void assignDispatcher(Service &service, Instant now, DeferredEffects &effects) ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    bool admit(const TeamName &team, Priority priority);
    void finish(const TeamName &team);
    void collectOutput(Service &service, DeferredEffects &effects) ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    /** The exit of a placement whose upstream is in another zone than this instance; nothing if it is not decided by cost. */
    std::optional<ZoneExit> zoneExitOf(const Service &service, const SlotPlacement &placement) const;
    bool receive(Service &service, MemberIndex from, const Wire::Body &body, DeferredEffects &effects)
        ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void startPlacement(Service &service, const PlacementQuery &query, PlacementHandler handler, DeferredEffects &effects)
        ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void runEffects(DeferredEffects &effects);

    RouterOptions m_options;
    /** Lock order: m_mutex, then the mutex of a service, then m_admissionMutex. */
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<ServiceName, std::shared_ptr<Service>> m_services ABSL_GUARDED_BY(m_mutex);
    MemberRegistry m_members ABSL_GUARDED_BY(m_mutex);
    mutable absl::Mutex m_admissionMutex ABSL_ACQUIRED_AFTER(m_mutex);
    AdmissionControl m_admission ABSL_GUARDED_BY(m_admissionMutex);
};

} // namespace Filbertmount
