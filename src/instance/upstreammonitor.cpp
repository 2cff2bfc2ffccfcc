#include "instance/upstreammonitor.h"

#include "instance/probetransfer.h"

#include "peer.pb.h"

#include <memory>
#include <optional>
#include <utility>

namespace Filbertmount {

namespace {

std::optional<UpstreamObservation> observationFromOutcome(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Success:
        return UpstreamObservation::Responded;
    case AttemptOutcome::RefusedDraining:
        return UpstreamObservation::Draining;
    case AttemptOutcome::ConnectFailed:
        return UpstreamObservation::ConnectFailed;
    default:
        return std::nullopt;
    }
}

UpstreamState toUpstreamState(UpstreamCondition condition)
{
    switch (condition) {
    case UpstreamCondition::Live:
        return UpstreamState::Live;
    case UpstreamCondition::Draining:
        return UpstreamState::Draining;
    case UpstreamCondition::Down:
        return UpstreamState::Down;
    }
    return UpstreamState::Down;
}

const char *eventKind(UpstreamCondition condition)
{
    switch (condition) {
    case UpstreamCondition::Live:
        return "upstream.live";
    case UpstreamCondition::Draining:
        return "upstream.draining";
    case UpstreamCondition::Down:
        return "upstream.down";
    }
    return "upstream.unknown";
}

} // namespace

UpstreamMonitor::UpstreamMonitor(Options options, const Modules &modules)
    : m_options(std::move(options))
    , m_modules(modules)
    , m_upstreamNotices({.self = m_options.self, .seed = m_options.seed})
    , m_budget({.self = m_options.self, .instanceLimit = m_options.instanceLimit})
    , m_scheduler(m_budget)
{
}

void UpstreamMonitor::applyListing(const ServiceDocument &document, const std::vector<ListedInstance> &instances)
{
    const Instant now = ProcessClock::now();
    m_upstreamNotices.applyListing(document.service, instances, now);
    {
        const absl::MutexLock lock(&m_mutex);
        const auto [entry, isNew] = m_services.try_emplace(document.service);
        Service &service = entry->second;
        if (isNew) {
            service.since = now;
        }
        service.slots = document.upstreams.slots;
        service.measuring = document.measuring;
        service.totalSlots = service.slots * static_cast<int>(instances.size());
        m_budget.setService(document.service, document.measuring.budgetPercent, service.totalSlots, now);
    }
    updateRouter(document.service, now);
}

void UpstreamMonitor::removeService(const ServiceName &service)
{
    m_upstreamNotices.removeService(service);
    m_budget.removeService(service);
    const absl::MutexLock lock(&m_mutex);
    m_scheduler.removeService(service);
    m_services.erase(service);
}

void UpstreamMonitor::attemptEnded(const Placement &placement, const AttemptReport &report)
{
    if (const std::optional<UpstreamObservation> observation = observationFromOutcome(report.outcome)) {
        observe(placement.service, placement.upstream, *observation);
    }
}

void UpstreamMonitor::observe(const ServiceName &service, const UpstreamId &upstream, UpstreamObservation observation)
{
    const Instant now = ProcessClock::now();
    PeerOutbox notices = m_upstreamNotices.observe(service, upstream, observation, now);
    if (notices.empty()) {
        return;
    }
    m_modules.peers.send(std::move(notices));
    updateRouter(service, now);
}

void UpstreamMonitor::receive(const InstanceId &from, const Wire::Body &body)
{
    const Instant now = ProcessClock::now();
    if (body.has_budget_transfer()) {
        m_budget.receive(from, body.budget_transfer(), now);
        return;
    }
    m_modules.peers.send(m_upstreamNotices.receive(body, now));
    if (body.has_upstream_notice()) {
        updateRouter(ServiceName(body.upstream_notice().service()), now);
    }
}

void UpstreamMonitor::setMembers(std::vector<InstanceId> others, int live)
{
    m_upstreamNotices.setRegionMembers(std::move(others));
    m_budget.setMemberCount(live);
}

void UpstreamMonitor::updateRouter(const ServiceName &name, Instant now)
{
    const std::vector<TrackedUpstream> states = m_upstreamNotices.trackedUpstreams(name, now);
    std::vector<RoutedUpstream> upstreams;
    std::vector<TrackedUpstream> changed;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto service = m_services.find(name);
        if (service == m_services.end()) {
            return;
        }
        std::map<UpstreamId, UpstreamCondition> applied;
        for (const TrackedUpstream &state : states) {
            upstreams.push_back({.id = state.id,
                                 .address = state.address,
                                 .zone = state.zone,
                                 .slots = service->second.slots,
                                 .incarnation = state.incarnation});
            const auto previous = service->second.applied.find(state.id);
            const UpstreamCondition previousCondition =
                previous == service->second.applied.end() ? UpstreamCondition::Live : previous->second;
            if (previousCondition != state.condition) {
                changed.push_back(state);
            }
            applied[state.id] = state.condition;
        }
        service->second.applied = std::move(applied);
    }
    m_modules.router.updateUpstreams(name, upstreams);
    for (const TrackedUpstream &state : changed) {
        m_modules.router.setUpstreamState(name, state.id, toUpstreamState(state.condition));
        m_modules.events.record(
            {.kind = eventKind(state.condition), .service = name.value(), .request = {}, .text = state.id.value()});
    }
}

void UpstreamMonitor::tick(Instant now)
{
    for (const ServiceName &service : m_upstreamNotices.takeChanges(now)) {
        updateRouter(service, now);
    }
    std::vector<ProbeCommand> probes;
    chooseProbes(now, probes);
    for (const ProbeCommand &probe : probes) {
        startProbe(probe);
    }
    transferTokens(now);
}

void UpstreamMonitor::chooseProbes(Instant now, std::vector<ProbeCommand> &probes)
{
    std::map<ServiceName, std::vector<ProbeCandidate>> candidates;
    for (const UpstreamNotices::Confirmation &confirmation : m_upstreamNotices.confirmations(now)) {
        for (const TrackedUpstream &state : m_upstreamNotices.trackedUpstreams(confirmation.service, now)) {
            if (state.id == confirmation.upstream) {
                candidates[confirmation.service].push_back(
                    {.upstream = state.id, .address = state.address, .reason = ProbeReason::Confirm});
            }
        }
    }
    const absl::MutexLock lock(&m_mutex);
    for (const auto &[name, service] : m_services) {
        m_scheduler.setCandidates(name, std::move(candidates[name]), service.measuring);
    }
    probes = m_scheduler.tick(now);
}

void UpstreamMonitor::startProbe(const ProbeCommand &probe)
{
    TransferRequest request{.address = probe.address,
                            .head = {.method = "GET",
                                     .target = probe.path,
                                     .headers = {{.name = "Host", .value = probe.address}},
                                     .contentLength = 0},
                            .timeout = probe.timeout};
    m_modules.client.start(std::move(request), std::make_shared<ProbeTransfer>(probe, *this));
}

void UpstreamMonitor::probeEnded(const ProbeCommand &probe, UpstreamObservation observation, Duration elapsed)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_scheduler.finished(probe.id, elapsed, ProcessClock::now());
        if (const auto service = m_services.find(probe.service); service != m_services.end()) {
            service->second.spent += elapsed;
            ++service->second.probes;
        }
    }
    observe(probe.service, probe.upstream, observation);
}

void UpstreamMonitor::transferTokens(Instant now)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (now - m_lastTokenTransfer < ProbeBudget::TransferInterval) {
            return;
        }
        m_lastTokenTransfer = now;
    }
    m_modules.peers.send(m_budget.transfer(m_modules.router.dispatchers(), now));
}

ProbingStatus UpstreamMonitor::probing(const ServiceName &name, Instant now) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto entry = m_services.find(name);
    if (entry == m_services.end()) {
        return {};
    }
    const Service &service = entry->second;
    const double share = service.measuring.budgetPercent / 100 * service.totalSlots / m_options.instanceLimit;
    const auto uptime = static_cast<double>((now - service.since).count());
    return {.allowed = Duration(static_cast<Duration::rep>(uptime * share)), .spent = service.spent, .probes = service.probes};
}

} // namespace Filbertmount
