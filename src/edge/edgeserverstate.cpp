// The part of EdgeServer that applies the mirrored state and the members to the router, the probes and the fleet.
#include "edge/edgeserver.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr double PercentPerShare = 100.0;
// Part of the configured retry share that is used. The rest covers requests that an instance counts just outside of a window.
constexpr double UsedPartOfShare = 0.85;
// Parts of the configured extra retries that are used for bursts and for the tokens of one window. The rest covers restarted
// processes, each of which starts with one token.
constexpr double PartOfExtraForBursts = 0.45;
constexpr double PartOfExtraForWindow = 0.45;
constexpr double MaxRetryBurst = 2.0;

/** Nothing if the own zone is preferred by a constant. */
std::optional<ZoneExitOptions> zoneExitOptions(const ZoneSettings &zones)
{
    if (!zones.crossingMsPerKilobyte) {
        return std::nullopt;
    }
    return ZoneExitOptions{.msPerKilobyte = *zones.crossingMsPerKilobyte, .crossingMs = zones.crossingMs};
}

void logDeletion(const DeletionDecision &deletion)
{
    const PossibleExpiry expiry = deletion.expiry.value_or(PossibleExpiry());
    logLine(LogLevel::Info,
            "the entry of an upstream was deleted",
            {{.name = "upstream", .value = deletion.upstream},
             {.name = "revision", .value = static_cast<std::int64_t>(deletion.revision.value())},
             {.name = "source", .value = std::string(deletion.source == StateSource::Store ? "store" : "instance")},
             {.name = "outcome", .value = std::string(deletionOutcomeName(deletion.outcome))},
             {.name = "keep_ms", .value = toMilliseconds(expiry.keepFor)},
             {.name = "outage_age_ms", .value = toMilliseconds(expiry.outageAge)}});
}

} // namespace

void EdgeServer::onStateChange(const MirrorChanges &changes)
{
    for (const auto &[name, reason] : changes.rejected) {
        logLine(LogLevel::Warning,
                "an object of the store cannot be used",
                {{.name = "object", .value = name}, {.name = "reason", .value = reason}});
        m_metrics.counter(MetricNames::RejectedObjects, {}).Increment();
    }
    if (changes.origin != StateOrigin::Instance && !changes.routes.empty()) {
        reportDefects(std::get<RouteSet>(changes.routes.back().object.value));
    }
    for (const DeletionDecision &deletion : changes.deletions) {
        logDeletion(deletion);
    }
    for (const LostEvacuation &lost : changes.lostEvacuations) {
        logLine(LogLevel::Info,
                "the store may have lost an evacuation",
                {{.name = "zone", .value = lost.zone},
                 {.name = "step", .value = std::string(lostEvacuationStepName(lost.step))},
                 {.name = "revision", .value = static_cast<std::int64_t>(lost.revision.value())},
                 {.name = "source", .value = std::string(lost.source == StateSource::Store ? "store" : "instance")}});
    }
    if (!changes.routes.empty()) {
        m_routesOrigin = changes.origin;
    }
    if (m_isStateInForce && !changes.routes.empty()) {
        applyRoutes();
    }
    if (m_isStateInForce && (!changes.upstreams.empty() || !changes.evacuations.empty())) {
        applyUpstreams();
    }
    startForwardingWhenReady(ProcessClock::now());
    if (changes.haveInstancesChanged) {
        applyInstances();
    }
}

void EdgeServer::reportDefects(const RouteSet &routes)
{
    for (const std::string &reason : routes.defects) {
        logLine(LogLevel::Warning,
                "a part of a configuration cannot be used as written",
                {{.name = "version", .value = static_cast<std::int64_t>(routes.version.value())},
                 {.name = "reason", .value = reason}});
        m_metrics.counter(MetricNames::ConfigurationDefects, {}).Increment();
    }
}

void EdgeServer::putStateInForce(Instant now)
{
    if (m_isStateInForce || !mayUseTargets(now)) {
        return;
    }
    m_isStateInForce = true;
    m_evacuationStart.recordTargets(now);
    applyRoutes();
    applyUpstreams();
}

void EdgeServer::applyRoutes()
{
    const Instant now = ProcessClock::now();
    const std::shared_ptr<const RouteIndex> routes = m_mirror.routes();
    logLine(
        LogLevel::Info,
        "routes in force",
        {{.name = "version", .value = static_cast<std::int64_t>(routes->version().value())},
         {.name = "routes", .value = static_cast<std::int64_t>(routes->routes().routes.size())},
         {.name = "accounts", .value = static_cast<std::int64_t>(routes->routes().accounts.size())},
         {.name = "revision",
          .value = static_cast<std::int64_t>(m_mirror.revision(StateKind::Routes).value_or(Revision()).value())},
         {.name = "origin", .value = std::string(stateOriginName(m_routesOrigin))},
         {.name = "certainty",
          .value = std::string(stateCertaintyName(m_mirror.startConfirmation().certainty(StateKind::Routes)))},
         {.name = "after_start_ms", .value = toMilliseconds(now - m_startedAt)},
         {.name = "behind_ms", .value = toMilliseconds(m_replicator.behindFor(StateKind::Routes, now).value_or(Duration()))}});
    m_callerHandler.setRoutes(routes);
    m_probeLoop.setRoutes(routes->routes());
    m_services = routes->routes().services;
    if (m_quotas) {
        m_quotas->setVersion(routes->version().value());
    }
    configureServices();
    m_callerHandler.retryPendingRequests();
}

double EdgeServer::instanceCount() const
{
    return static_cast<double>(std::max({std::size_t{1}, m_known.registeredCount(ProcessClock::now()), m_fleet.memberCount()}));
}

double EdgeServer::retryBurst() const
{
    return std::clamp(m_settings.retries.extra * PartOfExtraForBursts / instanceCount(), 1.0, MaxRetryBurst);
}

double EdgeServer::retriesPerSecond() const
{
    const double window = std::chrono::duration<double>(m_settings.retries.window).count();
    return m_settings.retries.extra * PartOfExtraForWindow / instanceCount() / window;
}

void EdgeServer::configureServices()
{
    m_configuredInstances = instanceCount();
    const RetrySettings retries{.budgetPercent = m_settings.retries.share * UsedPartOfShare * PercentPerShare,
                                .maxBurst = retryBurst(),
                                .tokensPerSecond = retriesPerSecond()};
    for (const ServiceAccess &service : m_services) {
        m_router.configure(service.name,
                           {.retries = retries,
                            .ownZoneAdvantage = m_settings.ownZoneAdvantage,
                            .warmup = warmupOptions(service),
                            .zoneExit = zoneExitOptions(m_settings.zones)});
    }
}

WarmupOptions EdgeServer::warmupOptions(const ServiceAccess &service) const
{
    if (!m_settings.warmup) {
        return {};
    }
    return {.duration = service.warmup,
            .rate = service.warmupRate,
            .overshoot = m_settings.warmup->overshoot,
            .slack = m_settings.warmup->slack,
            .instances = m_configuredInstances};
}

void EdgeServer::onWarmupChange(const ServiceName &service, const UpstreamId &upstream, const WarmupChange &change)
{
    const std::string state = change.isCold ? "cold" : "warm";
    const std::string reason(warmupReasonName(change.reason));
    m_metrics.counter(MetricNames::WarmupChanges, {{"service", service.value()}, {"state", state}, {"reason", reason}})
        .Increment();
    if (!change.isUnexpected()) {
        return;
    }
    logLine(LogLevel::Info,
            "an upstream turned " + state,
            {{.name = "service", .value = service.value()},
             {.name = "upstream", .value = upstream.value()},
             {.name = "reason", .value = reason},
             {.name = "left_ms", .value = toMilliseconds(change.left)}});
}

void EdgeServer::applyUpstreams()
{
    absl::flat_hash_map<ServiceName, std::vector<RoutedUpstream>> byService;
    for (const ServiceAccess &service : m_services) {
        byService[service.name];
    }
    std::int64_t ready = 0;
    m_evacuationEffects.startUpdate(m_mirror.evacuations());
    for (const UpstreamRecord &record : m_mirror.upstreams()) {
        std::vector<RoutedUpstream> &list = byService[record.service];
        if (record.isDraining) {
            continue;
        }
        const bool isEvacuated = m_evacuationEffects.add(record.id, record.zone);
        ready += isEvacuated ? 0 : 1;
        list.push_back({.id = record.id,
                        .address = record.address,
                        .zone = record.zone,
                        .slots = record.slots,
                        .warmupLeft = record.warmupLeft,
                        .incarnation = record.incarnation,
                        .isEvacuated = isEvacuated});
    }
    for (const auto &[service, upstreams] : byService) {
        m_router.updateUpstreams(service, upstreams);
    }
    closeEvacuatedConnections();
    m_evacuationEffects.finishUpdate(ProcessClock::now());
    logLine(LogLevel::Info,
            "upstreams in force",
            {{.name = "ready", .value = ready},
             {.name = "revision",
              .value = static_cast<std::int64_t>(m_mirror.revision(StateKind::Upstreams).value_or(Revision()).value())}});
}

void EdgeServer::closeEvacuatedConnections()
{
    for (const UpstreamId &upstream : m_evacuationEffects.upstreams()) {
        m_connectionPool.closeIdle(upstream);
        m_probeLoop.closeIdle(upstream);
    }
}

void EdgeServer::applyInstances()
{
    std::vector<std::string> addresses;
    std::vector<RegisteredInstance> registered;
    std::vector<SilenceReport> reports;
    for (const auto &[name, object] : m_mirror.instances()) {
        const auto &record = std::get<InstanceRecord>(object.value);
        if (!record.silent.empty()) {
            reports.push_back({.name = name, .silent = record.silent, .isWithdrawal = record.isWithdrawal});
            continue;
        }
        registered.push_back({.peerAddress = record.peerAddress, .isDeparture = record.isDeparture});
        if (!record.isDeparture) {
            addresses.push_back(record.peerAddress);
        }
    }
    const Instant now = ProcessClock::now();
    m_fleet.setKnownAddresses(std::move(addresses));
    m_known.setRegistered(registered, now);
    m_known.setReports(std::move(reports), now);
    configureServices();
}

void EdgeServer::confirmInstances(Instant sentAt)
{
    const StoreEra era = m_mirror.revision(StateKind::Instances).value_or(Revision()).era();
    const bool hasReturned = m_instancesEra && era > *m_instancesEra;
    m_instancesEra = era;
    followMembers(ProcessClock::now());
    m_known.confirmListing(sentAt, ProcessClock::now(), hasReturned);
}

void EdgeServer::followMembers(Instant now)
{
    if (m_fleet.memberVersion() == m_memberVersion) {
        return;
    }
    m_memberVersion = m_fleet.memberVersion();
    m_known.setMembers(m_fleet.liveMembers(), m_fleet.leftMembers(), now);
}

void EdgeServer::markUpstreamDown(const ServiceName &service, const UpstreamId &upstream)
{
    logLine(LogLevel::Info,
            "another upstream has the address",
            {{.name = "service", .value = service.value()}, {.name = "upstream", .value = upstream.value()}});
    m_connectionPool.closeIdle(upstream);
    m_router.setUpstreamState(service, upstream, UpstreamState::Down);
}

} // namespace Filbertmount
