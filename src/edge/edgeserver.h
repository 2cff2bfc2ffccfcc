#pragma once

#include "edge/callerhandler.h"
#include "edge/fleet.h"
#include "edge/listener.h"
#include "edge/probeloop.h"
#include "edge/singlepathhandler.h"
#include "edge/statespread.h"

#include <filbertmount/edge/edgesettings.h>
#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/edge/statemirror.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Filbertmount {

/** One entry instance: its ports, its parts and their order at start and shutdown. Lives on the IoLoop. */
class EdgeServer
{
public:
    /** @throws boost::system::system_error when an address cannot be listened on */
    EdgeServer(IoLoop &loop, EdgeSettings settings, HttpDialect dialect);

    [[nodiscard]] StateMirror &mirror();
    [[nodiscard]] StateSpread &spread();
    [[nodiscard]] Metrics &metrics();
    [[nodiscard]] std::string peerAddress() const;

    /** Applies what changed in the mirror. */
    void onStateChange(const MirrorChanges &changes);
    /** Takes the settings that may change while the process runs: retries, own zone, grace of a shutdown. */
    void applySettings(const EdgeSettings &changed);
    /** Calls @p handler after the process stood still for a while, since all it knows may be old. */
    void setResumeHandler(std::function<void()> handler);
    /** Stops being ready, finishes what is in progress and calls @p done, at the latest when the grace ends. */
    void shutDown(std::function<void()> done);
    [[nodiscard]] bool isReady() const;

private:
    void tick();
    /** Lets requests through that wait since the start, once there is enough to place them. */
    void startForwardingWhenReady(Instant now);
    void applyRoutes();
    void applyUpstreams();
    void applyInstances();
    void configureServices();
    void dropUpstream(const ServiceName &service, const UpstreamId &upstream);
    void checkShutdown();
    /** Instances that live or may come back, for the division of budgets. */
    [[nodiscard]] double instanceCount() const;
    [[nodiscard]] double retryBurst() const;
    [[nodiscard]] double retriesPerSecond() const;

    EdgeSettings m_settings;
    HttpDialect m_dialect;
    /** Drawn once: every part must know the instance under the same id. */
    Member m_self;
    Metrics m_metrics;
    StateMirror m_mirror;
    Fleet m_fleet;
    StateSpread m_spread;
    Router m_router;
    ConnectionPool m_connectionPool;
    CrashGuard m_crashGuard;
    CrashCheck m_crashCheck;
    RouteTimes m_routeTimes;
    ProbeLoop m_probeLoop;
    CallEnvironment m_environment;
    CallerHandler m_callerHandler;
    SinglePathHandler m_readinessHandler;
    SinglePathHandler m_metricsHandler;
    Listener m_callerListener;
    Listener m_readinessListener;
    Listener m_metricsListener;
    PeriodicTask m_tickTask;
    std::vector<ServiceName> m_services;
    std::function<void()> m_onResume;
    std::function<void()> m_onShutDownDone;
    Instant m_shutdownStarted{};
    Instant m_started;
    Instant m_lastTick;
    /** Instances by which the budgets in force are divided. */
    double m_configuredInstances = 0;
    std::uint64_t m_ticks = 0;
};

} // namespace Filbertmount
