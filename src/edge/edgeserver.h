#pragma once

#include "edge/callerhandler.h"
#include "edge/evacuationeffects.h"
#include "edge/fleet.h"
#include "edge/listener.h"
#include "edge/probeloop.h"
#include "edge/quotaservice.h"
#include "edge/singlepathhandler.h"
#include "edge/statereplicator.h"

#include <filbertmount/edge/edgesettings.h>
#include <filbertmount/edge/evacuationstart.h>
#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/edge/statemirror.h>
#include <filbertmount/membership/knowninstances.h>
#include <filbertmount/quarantine/crashhistorysync.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Filbertmount {

/** One entry instance: owns its listeners and components and controls their startup and shutdown. Runs on the IoLoop. */
class EdgeServer
{
public:
    /** @throws boost::system::system_error when listening on an address fails */
    EdgeServer(IoLoop &loop, EdgeSettings settings, HttpDialect dialect);

    [[nodiscard]] StateMirror &mirror();
    [[nodiscard]] StateReplicator &replicator();
    [[nodiscard]] const Fleet &fleet() const;
    [[nodiscard]] const KnownInstances &knownInstances() const;
    /** Whether this instance leads the owners of quotas; false if there are none. */
    [[nodiscard]] bool leadsQuotas() const;
    [[nodiscard]] Metrics &metrics();
    [[nodiscard]] std::string peerAddress() const;

    /** Applies changes of the mirrored state to the router, the probes and the fleet. */
    void onStateChange(const MirrorChanges &changes);
    /** Records that a current listing of the instances, requested at @p sentAt, has been applied. */
    void confirmInstances(Instant sentAt);
    /** Applies the settings that can change at run time: retries, own-zone advantage and shutdown grace period. */
    void applySettings(const EdgeSettings &changed);
    /**
     * Returns true if the process was suspended until just now: the state and whatever had arrived before may be old. Requests
     * are then held until the state is confirmed.
     */
    bool detectSuspension();
    /** Sets a function that is called after a suspension of the process, because the mirrored state may be outdated. */
    void setResumeHandler(std::function<void()> handler);
    /** Sets the function that is called after the store has returned from an older copy. */
    void setStoreReturnHandler(std::function<void()> handler);
    /** Reports not ready, finishes requests in progress and calls @p done, at the latest when the grace period ends. */
    void shutDown(std::function<void()> done);
    /** Routes, upstreams and, if they are enabled, evacuations are in force (see EvacuationStart) and no shutdown is in progress.
     */
    [[nodiscard]] bool isReady() const;

private:
    void tick();
    /** Logs what could not be read as written in a configuration that this instance has read from the store. */
    void reportDefects(const RouteSet &routes);
    /** Reports a return of the store from an older copy. */
    void followStoreEra();
    /** Starts forwarding once the state is known and this instance has joined others, or JoinTimeout has passed. */
    void startForwardingWhenReady(Instant now);
    [[nodiscard]] bool hasState(Instant now) const;
    /** Whether routes and upstreams are known and may be put in force (see StartConfirmation). */
    [[nodiscard]] bool mayUseTargets(Instant now) const;
    /** Puts routes and upstreams in force for the first time once they may be used. */
    void putStateInForce(Instant now);
    /** Closes idle connections to evacuated upstreams, also those that attempts have returned since their evacuation. */
    void closeEvacuatedConnections();
    void applyRoutes();
    void applyUpstreams();
    void applyInstances();
    /** Passes changes of the members on to m_known. */
    void followMembers(Instant now);
    void configureServices();
    [[nodiscard]] WarmupOptions warmupOptions(const ServiceAccess &service) const;
    void onWarmupChange(const ServiceName &service, const UpstreamId &upstream, const WarmupChange &change);
    /** Called when another upstream responded at the address of @p upstream. */
    void markUpstreamDown(const ServiceName &service, const UpstreamId &upstream);
    /** Ends the shutdown when all requests are answered and all connections closed, or when the grace period ends. */
    void checkShutdown();
    /** Number of instances, including those that may come back, among which the retry budgets are divided. */
    [[nodiscard]] double instanceCount() const;
    [[nodiscard]] double retryBurst() const;
    [[nodiscard]] double retriesPerSecond() const;

    EdgeSettings m_settings;
    HttpDialect m_dialect;
    /** Generated once, because its id has a random suffix and every component must use the same id. */
    Member m_self;
    Metrics m_metrics;
    StateMirror m_mirror;
    Fleet m_fleet;
    KnownInstances m_known;
    StateReplicator m_replicator;
    Router m_router;
    /** Null if quotas of client accounts are not enforced. */
    std::unique_ptr<QuotaService> m_quotas;
    ConnectionPool m_connectionPool;
    EvacuationEffects m_evacuationEffects;
    EvacuationStart m_evacuationStart;
    CrashGuard m_crashGuard;
    CrashHistorySync m_crashHistory;
    CrashCheck m_crashCheck;
    RouteTimes m_routeTimes;
    RouteSizes m_routeSizes;
    BufferBudget m_responseBuffers;
    ProbeLoop m_probeLoop;
    CallEnvironment m_environment;
    CallerHandler m_callerHandler;
    SinglePathHandler m_readinessHandler;
    SinglePathHandler m_metricsHandler;
    Listener m_callerListener;
    Listener m_readinessListener;
    Listener m_metricsListener;
    PeriodicTask m_tickTask;
    std::vector<ServiceAccess> m_services;
    std::function<void()> m_onResume;
    std::function<void()> m_onStoreReturn;
    /** Era of the last current listing of the instances. */
    std::optional<StoreEra> m_instancesEra;
    /** Era of the store that the metrics show. */
    StoreEra m_storeEra;
    /** Returns of the store that have been reported. */
    std::uint64_t m_storeReturns = 0;
    /** Set once a shutdown has started. */
    std::function<void()> m_onShutDownDone;
    Instant m_shutdownStartedAt{};
    Instant m_startedAt;
    Instant m_lastTick;
    /** Where the newest route set came from. */
    StateOrigin m_routesOrigin = StateOrigin::Instance;
    /** Whether routes and upstreams have been put in force since the start. */
    bool m_isStateInForce = false;
    bool m_isForwarding = false;
    /** Instance count by which the configured retry budgets are divided. */
    double m_configuredInstances = 0;
    std::uint64_t m_ticks = 0;
    std::uint64_t m_memberVersion = 0;
};

} // namespace Filbertmount
