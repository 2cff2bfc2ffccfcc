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

struct RouterOptions {
    /** The instance itself. */
    InstanceId self = InstanceId("self");
    AvailabilityZone zone;
    /** Sends to another member; empty when there are none. */
    PeerSender send;
    /** Source of time for calls that carry none; the process clock when empty. */
    std::function<Instant()> clock;
    AdmissionOptions admission;
    std::uint64_t seed = 1;
};

/** The part of a service document that concerns routing. */
struct ServiceRouting {
    TeamName team;
    Duration coldStart = std::chrono::seconds(5);
    RetrySettings retries;
    HedgingSettings hedging;
    LimitSettings limits;
    /** See SlotDispatcherOptions. */
    double ownZoneAdvantage = SlotDispatcherOptions().ownZoneAdvantage;
};

/** Returns the routing part of @p document. */
ServiceRouting routingOf(const ServiceDocument &document);

/**
 * Chooses an upstream for each attempt, by late binding through the dispatcher of the service. Thread-safe.
 *
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
    /** Forgets @p service. Waiting requests are refused. */
    void removeService(const ServiceName &service);

    /** Replaces the upstreams of @p service; attempts in flight keep theirs. */
    void updateUpstreams(const ServiceName &service, const std::vector<RoutedUpstream> &upstreams);
    /** Sets a state that was learned from the instance list, a notice or a probe. Unknown upstreams are ignored. */
    void setUpstreamState(const ServiceName &service, const UpstreamId &upstream, UpstreamState state);

    /** Sets the live entry instances of the region, from which the dispatchers are taken. */
    void setMembers(const std::vector<InstanceId> &members, const std::vector<InstanceId> &dispatchers = {});
    /** Takes a message of a member. Returns false for one that is malformed or about an unknown service. */
    bool handleMessage(const InstanceId &from, const Wire::Body &body);

    /** Calls @p handler exactly once with an upstream or a refusal. A deadline of zero means none. */
    void place(const PlacementQuery &query, PlacementHandler handler);
    /** Ends an attempt. Each placement is released exactly once. */
    void release(const Placement &placement, const AttemptReport &report);

    /** Takes one retry out of the service's budget; returns false when the budget is used up. */
    bool takeRetry(const ServiceName &service);
    /** Takes one retry for an attempt beside a slow one; leaves most of the budget to retries after failures. */
    bool takeRetryForHedge(const ServiceName &service);
    /** Gives back a retry that was not made. */
    void refundRetry(const ServiceName &service);
    /** Time after which a repeatable request may be hedged; nothing while too little is known. */
    std::optional<Duration> hedgeDelay(const ServiceName &service);
    /**
     * Takes one hedged attempt out of the service's budget; returns false when the budget is used up. The budget gets
     * it back when place() refuses the hedged attempt.
     */
    bool takeHedge(const ServiceName &service);

    /** Takes into account what an upstream says of its load outside of an attempt, such as to a probe. */
    void recordPace(const ServiceName &service, const UpstreamId &upstream, double pace);
    /** Usable upstreams of services that this instance dispatches and whose pace should be asked for, those first that are
     * likely to get the next requests. */
    [[nodiscard]] std::vector<std::pair<ServiceName, RoutedUpstream>> upstreamsToPoll(const PacePollingOptions &polling) const;

    /** Handles what is due. Call every few milliseconds. */
    void tick(Instant now);

    /** The dispatcher of each service that has one. */
    [[nodiscard]] std::vector<std::pair<ServiceName, InstanceId>> dispatchers() const;
    [[nodiscard]] RouterStatus status() const;

private:
    struct Service;
    struct DeferredEffects;

    Instant now() const;
    Service &findOrCreateService(const ServiceName &name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::shared_ptr<Service> find(const ServiceName &name) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void assignDispatcher(Service &service, Instant now, DeferredEffects &effects) ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    bool admit(const TeamName &team, Priority priority);
    void finish(const TeamName &team);
    void collectOutput(Service &service, DeferredEffects &effects) ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    bool receive(Service &service, MemberIndex from, const Wire::Body &body, DeferredEffects &effects)
        ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void startPlacement(Service &service, const PlacementQuery &query, PlacementHandler handler, DeferredEffects &effects)
        ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void runEffects(DeferredEffects &effects);

    RouterOptions m_options;
    /** Taken before the mutex of a service, which is taken before m_admissionMutex. */
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<ServiceName, std::shared_ptr<Service>> m_services ABSL_GUARDED_BY(m_mutex);
    MemberRegistry m_members ABSL_GUARDED_BY(m_mutex);
    mutable absl::Mutex m_admissionMutex ABSL_ACQUIRED_AFTER(m_mutex);
    AdmissionControl m_admission ABSL_GUARDED_BY(m_admissionMutex);
};

} // namespace Filbertmount
