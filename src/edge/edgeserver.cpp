#include "edge/edgeserver.h"

#include "edge/randomseed.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);
constexpr std::uint64_t TicksPerProbe = 2;
constexpr std::uint64_t TicksPerMaintenance = 40;
// A process that did not run for this long was suspended or starved of CPU time; its state may be outdated.
constexpr Duration SuspensionThreshold = std::chrono::milliseconds(700);
// Before an instance has joined others, it may grant slots that others grant too, so requests wait up to this long.
constexpr Duration JoinTimeout = std::chrono::milliseconds(300);
// The platform's load balancer removes an instance after two failed readiness checks, one second apart; until then it sends new
// connections.
constexpr Duration BalancerRemovalTime = std::chrono::milliseconds(2600);
// The process exits this long before the platform would kill it.
constexpr Duration ShutdownMargin = std::chrono::milliseconds(400);
// Time in which responses reach their callers before the process exits.
constexpr Duration LastResponseTime = std::chrono::milliseconds(150);
// File descriptors for connections to upstreams and the store and for files, not available to connections of callers.
constexpr int ReservedDescriptors = 1200;
constexpr int MinCallerSessions = 64;
// For the readiness port and the metrics port, each.
constexpr std::size_t MaxMonitoringSessions = 32;
// Remembered successes protect valid requests against wrong reports of a faulty instance; each takes about 200 bytes,
// and memory use is charged.
constexpr std::size_t MaxRememberedSuccesses = 256;
constexpr double ThousandthsPerCore = 1000.0;
// A probe takes about 60 us of a core, so probes use at most a quarter of the processor.
constexpr double ProbesPerCoreSecond = 4000.0;

// A buffer that grows takes up to twice its content, and a response is copied once when it is passed on.
constexpr std::size_t PartsOfMemoryPerResponseBuffers = 8;

// Short because every message between instances contains it.
constexpr const char *Cluster = "fm";

Member selfMember(const EdgeSettings &settings)
{
    constexpr std::size_t suffixDigits = 6;
    // A restarted process is a new member, so the id gets a random suffix; the name comes first for readability of the log.
    const std::string suffix = std::to_string(randomSeed()).substr(0, suffixDigits);
    return {.id = InstanceId(settings.name + "/" + suffix),
            .peerAddress = settings.ip + ":" + std::to_string(settings.peerPort),
            .adminAddress = {},
            .zone = settings.zone,
            .region = {},
            .capacity = static_cast<std::uint32_t>(settings.processors * ThousandthsPerCore)};
}

/** Returns "IP:port" of the other seeds. All instances use the same peer port, so the settings hold only IP addresses. */
std::vector<std::string> seedAddresses(const EdgeSettings &settings)
{
    std::vector<std::string> addresses;
    for (const std::string &ip : settings.seeds) {
        if (ip != settings.ip) {
            addresses.push_back(ip + ":" + std::to_string(settings.peerPort));
        }
    }
    return addresses;
}

/** Whether other instances join through this one; without configured seeds, every instance is a seed. */
bool isSeed(const EdgeSettings &settings)
{
    const std::vector<std::string> &seeds = settings.seeds;
    return seeds.empty() || std::find(seeds.begin(), seeds.end(), settings.ip) != seeds.end();
}

Tcp::endpoint listenAddress(const Endpoint &endpoint)
{
    return *toTcpEndpoint(endpoint.text());
}

std::size_t responseBufferBytes(const EdgeSettings &settings)
{
    return (static_cast<std::size_t>(settings.memoryMegabytes) << 20U) / PartsOfMemoryPerResponseBuffers;
}

int probesPerSecond(const EdgeSettings &settings)
{
    return static_cast<int>(settings.processors * ProbesPerCoreSecond);
}

std::uint64_t revisionNumber(const StateMirror &mirror, StateKind kind)
{
    return mirror.revision(kind).value_or(Revision()).value();
}

std::size_t sessionLimit(const EdgeSettings &settings)
{
    return static_cast<std::size_t>(std::max(MinCallerSessions, settings.descriptors - ReservedDescriptors));
}

} // namespace

EdgeServer::EdgeServer(IoLoop &loop, EdgeSettings settings, HttpDialect dialect)
    : m_settings(std::move(settings))
    , m_dialect(std::move(dialect))
    , m_self(selfMember(m_settings))
    , m_fleet(loop, {.cluster = Cluster, .self = m_self, .seeds = seedAddresses(m_settings), .seed = randomSeed()}, m_metrics)
    , m_replicator(m_mirror,
                   m_fleet,
                   {.election = {.isSeed = isSeed(m_settings)}, .hasEvacuations = m_settings.zones.evacuations},
                   [this](const MirrorChanges &changes) {
                       onStateChange(changes);
                   })
    , m_router({.self = m_self.id,
                .zone = m_settings.zone,
                .send = m_fleet.sender(),
                .seed = randomSeed(),
                .onWarmupChange =
                    [this](const ServiceName &service, const UpstreamId &upstream, const WarmupChange &change) {
                        onWarmupChange(service, upstream, change);
                    }})
    , m_quotas(m_settings.quotas
                   ? std::make_unique<QuotaService>(loop, m_fleet, m_known, m_metrics, *m_settings.quotas, randomSeed())
                   : nullptr)
    , m_connectionPool(loop)
    , m_evacuationEffects(m_metrics)
    , m_evacuationStart(m_settings.zones.evacuations)
    , m_crashGuard(m_self.id,
                   [this](Wire::Body body) {
                       Wire::Envelope envelope;
                       *envelope.add_bodies() = std::move(body);
                       m_fleet.sendToAll(envelope);
                   },
                   {.maxSuccesses = MaxRememberedSuccesses})
    , m_crashHistory(m_self.id, m_crashGuard, randomSeed())
    , m_crashCheck(loop)
    , m_responseBuffers(responseBufferBytes(m_settings))
    , m_probeLoop(loop, m_dialect, m_router, m_metrics, {.perSecond = probesPerSecond(m_settings)})
    , m_environment{.loop = loop,
                    .dialect = m_dialect,
                    .router = m_router,
                    .pool = m_connectionPool,
                    .metrics = m_metrics,
                    .crashGuard = m_crashGuard,
                    .crashCheck = m_crashCheck,
                    .routeTimes = m_routeTimes,
                    .routeSizes = m_routeSizes,
                    .responseBuffers = m_responseBuffers,
                    .onWrongUpstream =
                        [this](const ServiceName &service, const UpstreamId &upstream) {
                            markUpstreamDown(service, upstream);
                        },
                    .routesConfirmedAt =
                        [this] {
                            return m_replicator.confirmedAt(StateKind::Routes);
                        },
                    .quotas = m_quotas.get(),
                    .beforeRequest =
                        [this] {
                            detectSuspension();
                        }}
    , m_callerHandler(m_environment, randomSeed())
    , m_readinessHandler(m_dialect.readinessPath,
                         [this]() -> ServerResponse {
                             return {.status = isReady() ? 200 : 503};
                         })
    , m_metricsHandler("/metrics",
                       [this]() -> ServerResponse {
                           return {.headers = {{.name = "Content-Type", .value = "text/plain; version=0.0.4"}},
                                   .body = m_metrics.exposition()};
                       })
    , m_callerListener(loop, listenAddress(m_settings.callers), m_callerHandler, sessionLimit(m_settings))
    , m_readinessListener(loop, listenAddress(m_settings.readiness), m_readinessHandler, MaxMonitoringSessions)
    , m_metricsListener(
          loop,
          Tcp::endpoint(listenAddress(m_settings.callers).address(), static_cast<std::uint16_t>(m_settings.metricsPort)),
          m_metricsHandler,
          MaxMonitoringSessions)
    , m_tickTask(loop,
                 TickInterval,
                 [this] {
                     tick();
                 })
    , m_startedAt(ProcessClock::now())
    , m_lastTick(m_startedAt)
{
    m_fleet.setRouter(m_router);
    m_fleet.setReceiveFilter([this] {
        return detectSuspension();
    });
    m_fleet.setHandler(Wire::Body::kCrashStrike, [this](const InstanceId &from, const Wire::Body &body) {
        m_crashGuard.receive(from, body.crash_strike());
    });
    m_fleet.setHandler(Wire::Body::kCrashHistoryPull, [this](const InstanceId &from, const Wire::Body &body) {
        for (PeerMessage &message : m_crashHistory.onPull(from, body.crash_history_pull())) {
            m_fleet.send(message.to, std::move(message.envelope));
        }
    });
    m_fleet.setHandler(Wire::Body::kCrashHistory, [this](const InstanceId &from, const Wire::Body &body) {
        m_crashHistory.onHistory(from, body.crash_history());
    });
}

StateMirror &EdgeServer::mirror()
{
    return m_mirror;
}

StateReplicator &EdgeServer::replicator()
{
    return m_replicator;
}

const Fleet &EdgeServer::fleet() const
{
    return m_fleet;
}

const KnownInstances &EdgeServer::knownInstances() const
{
    return m_known;
}

bool EdgeServer::leadsQuotas() const
{
    return m_quotas && m_quotas->isLeading();
}

Metrics &EdgeServer::metrics()
{
    return m_metrics;
}

std::string EdgeServer::peerAddress() const
{
    return m_settings.ip + ":" + std::to_string(m_settings.peerPort);
}

void EdgeServer::applySettings(const EdgeSettings &changed)
{
    m_settings.retries = changed.retries;
    m_settings.ownZoneAdvantage = changed.ownZoneAdvantage;
    m_settings.warmup = changed.warmup;
    m_settings.shutdownGrace = changed.shutdownGrace;
    configureServices();
}

void EdgeServer::setResumeHandler(std::function<void()> handler)
{
    m_onResume = std::move(handler);
}

void EdgeServer::setStoreReturnHandler(std::function<void()> handler)
{
    m_onStoreReturn = std::move(handler);
}

bool EdgeServer::isReady() const
{
    return !m_onShutDownDone && hasState(ProcessClock::now());
}

bool EdgeServer::hasState(Instant now) const
{
    return m_isStateInForce && mayUseTargets(now)
        && m_evacuationStart.mayForward(m_mirror.startConfirmation().mayUse(StateKind::Evacuations, now), now);
}

bool EdgeServer::mayUseTargets(Instant now) const
{
    const StartConfirmation &confirmation = m_mirror.startConfirmation();
    return m_mirror.routes() != nullptr && m_mirror.revision(StateKind::Upstreams) && confirmation.mayUse(StateKind::Routes, now)
        && confirmation.mayUse(StateKind::Upstreams, now);
}

void EdgeServer::tick()
{
    const Instant now = ProcessClock::now();
    detectSuspension();
    m_lastTick = now;
    m_fleet.tick(now);
    followStoreEra();
    followMembers(now);
    m_router.tick(now);
    if (m_quotas) {
        m_quotas->tick(now);
    }
    startForwardingWhenReady(now);
    ++m_ticks;
    if (m_ticks % TicksPerProbe == 0 && !m_onShutDownDone) {
        m_probeLoop.tick(now);
    }
    if (m_ticks % TicksPerMaintenance == 0) {
        m_connectionPool.closeExpired(now);
        closeEvacuatedConnections();
        m_crashGuard.tick(now);
        if (std::optional<PeerMessage> pull = m_crashHistory.tick(m_fleet.memberIds(), now)) {
            m_fleet.send(pull->to, std::move(pull->envelope));
        }
        onStateChange(m_mirror.tick(now));
        if (instanceCount() != m_configuredInstances) {
            configureServices();
        }
    }
    if (m_onShutDownDone) {
        checkShutdown();
    }
}

void EdgeServer::followStoreEra()
{
    const KnownEra &known = m_mirror.knownEra();
    if (m_storeEra != known.latest()) {
        m_storeEra = known.latest();
        m_metrics.gauge(MetricNames::StoreEra).Set(static_cast<double>(m_storeEra.value()));
    }
    if (known.returns() == m_storeReturns) {
        return;
    }
    m_metrics.counter(MetricNames::StoreReturns, {}).Increment(static_cast<double>(known.returns() - m_storeReturns));
    m_storeReturns = known.returns();
    logLine(LogLevel::Warning,
            "the store has returned from an older copy; reading it again",
            {{.name = "era", .value = static_cast<std::int64_t>(known.latest().value())},
             {.name = "routes_revision", .value = static_cast<std::int64_t>(revisionNumber(m_mirror, StateKind::Routes))},
             {.name = "upstreams_revision", .value = static_cast<std::int64_t>(revisionNumber(m_mirror, StateKind::Upstreams))}});
    if (m_onStoreReturn) {
        m_onStoreReturn();
    }
}

bool EdgeServer::detectSuspension()
{
    const Instant now = ProcessClock::now();
    const Duration gap = now - m_lastTick;
    if (gap <= SuspensionThreshold) {
        return false;
    }
    m_lastTick = now;
    // The ages that messages state are relative to their arrival, which may be as long ago as the suspension.
    m_fleet.discardPending();
    logLine(LogLevel::Warning,
            "the process did not run for a while; reading the store again",
            {{.name = "gap_ms", .value = toMilliseconds(gap)}});
    m_mirror.startConfirmation().restart(now);
    m_evacuationStart.restart(now);
    m_isForwarding = false;
    m_callerHandler.holdRequests();
    if (m_quotas) {
        m_quotas->onResume(now);
    }
    if (m_onResume) {
        m_onResume();
    }
    return true;
}

void EdgeServer::startForwardingWhenReady(Instant now)
{
    putStateInForce(now);
    const bool hasJoined = m_fleet.memberCount() > 1 || now - m_startedAt >= JoinTimeout;
    if (m_isForwarding || !hasState(now) || !hasJoined) {
        return;
    }
    m_isForwarding = true;
    if (m_evacuationStart.isWithoutEvacuations(m_mirror.startConfirmation().mayUse(StateKind::Evacuations, now))) {
        logLine(LogLevel::Warning,
                "forwarding without knowing which zones are evacuated: not received from the store or another instance");
    }
    m_callerHandler.startForwarding();
}

void EdgeServer::shutDown(std::function<void()> done)
{
    if (m_onShutDownDone) {
        return;
    }
    m_onShutDownDone = std::move(done);
    m_shutdownStartedAt = ProcessClock::now();
    m_callerHandler.startDraining({.removedFromBalancerAt = m_shutdownStartedAt + BalancerRemovalTime,
                                   .exitAt = m_shutdownStartedAt + m_settings.shutdownGrace - ShutdownMargin});
    if (m_quotas) {
        m_quotas->startDraining();
    }
    m_fleet.leave();
    logLine(LogLevel::Info,
            "shutting down",
            {{.name = "unanswered", .value = static_cast<std::int64_t>(m_callerListener.pendingRequests())}});
}

void EdgeServer::checkShutdown()
{
    const Duration elapsed = ProcessClock::now() - m_shutdownStartedAt;
    const bool isGraceOver = elapsed >= m_settings.shutdownGrace - ShutdownMargin;
    if (elapsed < BalancerRemovalTime && !isGraceOver) {
        return;
    }
    m_callerListener.stopAccepting();
    m_callerListener.closeIdleSessions();
    if (elapsed >= m_settings.shutdownGrace - ShutdownMargin - LastResponseTime) {
        m_callerListener.endWaitingRequests();
    }
    const std::size_t pending = m_callerListener.pendingRequests();
    if (!isGraceOver && (pending > 0 || m_callerListener.openSessions() > 0)) {
        return;
    }
    logLine(LogLevel::Info,
            "shut down",
            {{.name = "unanswered", .value = static_cast<std::int64_t>(pending)},
             {.name = "elapsed_ms", .value = toMilliseconds(elapsed)}});
    m_callerListener.closeAll();
    if (m_quotas) {
        m_quotas->returnTokens();
    }
    const std::function<void()> done = m_onShutDownDone;
    done();
}

} // namespace Filbertmount
