#include "instance/upstreamwatch.h"

#include "instance/probetransfer.h"

#include "peer.pb.h"

#include <memory>
#include <optional>
#include <utility>

namespace Filbertmount {

namespace {

std::optional<UpstreamObservation> signOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Success:
        return UpstreamObservation::Answered;
    case AttemptOutcome::RefusedDraining:
        return UpstreamObservation::Draining;
    case AttemptOutcome::ConnectFailed:
        return UpstreamObservation::ConnectFailed;
    default:
        return std::nullopt;
    }
}

UpstreamState stateOf(UpstreamCondition condition)
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

UpstreamWatch::UpstreamWatch(Options options, const Modules &modules)
    : m_options(std::move(options))
    , m_modules(modules)
    , m_upstreamNotices({.self = m_options.self, .seed = m_options.seed})
    , m_budget({.self = m_options.self, .instanceLimit = m_options.instanceLimit})
    , m_scheduler(m_budget)
{
}

void UpstreamWatch::takeListing(const ServiceDocument &document, const std::vector<ListedInstance> &rows)
{
    const Instant now = ProcessClock::now();
    m_upstreamNotices.applyListing(document.service, rows, now);
    {
        const absl::MutexLock lock(&m_mutex);
        const auto [entry, isNew] = m_services.try_emplace(document.service);
        Service &service = entry->second;
        if (isNew) {
            service.since = now;
        }
        service.slots = document.upstreams.slots;
        service.measuring = document.measuring;
        service.totalSlots = service.slots * static_cast<int>(rows.size());
        m_budget.setService(document.service, document.measuring.budgetPercent, service.totalSlots, now);
    }
    apply(document.service, now);
}

void UpstreamWatch::forget(const ServiceName &service)
{
    m_upstreamNotices.removeService(service);
    m_budget.removeService(service);
    const absl::MutexLock lock(&m_mutex);
    m_scheduler.removeService(service);
    m_services.erase(service);
}

void UpstreamWatch::attemptEnded(const Placement &placement, const AttemptReport &report)
{
    if (const std::optional<UpstreamObservation> sign = signOf(report.outcome)) {
        observe(placement.service, placement.upstream, *sign);
    }
}

void UpstreamWatch::observe(const ServiceName &service, const UpstreamId &upstream, UpstreamObservation sign)
{
    const Instant now = ProcessClock::now();
    PeerOutbox notices = m_upstreamNotices.observe(service, upstream, sign, now);
    if (notices.empty()) {
        return;
    }
    m_modules.peers.send(std::move(notices));
    apply(service, now);
}

void UpstreamWatch::receive(const InstanceId &from, const Wire::Body &body)
{
    const Instant now = ProcessClock::now();
    if (body.has_budget_transfer()) {
        m_budget.receive(from, body.budget_transfer(), now);
        return;
    }
    m_modules.peers.send(m_upstreamNotices.receive(body, now));
    if (body.has_upstream_notice()) {
        apply(ServiceName(body.upstream_notice().service()), now);
    }
}

void UpstreamWatch::setMembers(std::vector<InstanceId> others, int live)
{
    m_upstreamNotices.setRegionMembers(std::move(others));
    m_budget.setMemberCount(live);
}

void UpstreamWatch::apply(const ServiceName &name, Instant now)
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
            const auto before = service->second.applied.find(state.id);
            const UpstreamCondition known = before == service->second.applied.end() ? UpstreamCondition::Live : before->second;
            if (known != state.condition) {
                changed.push_back(state);
            }
            applied[state.id] = state.condition;
        }
        service->second.applied = std::move(applied);
    }
    m_modules.router.updateUpstreams(name, upstreams);
    for (const TrackedUpstream &state : changed) {
        m_modules.router.setUpstreamState(name, state.id, stateOf(state.condition));
        m_modules.events.record(
            {.kind = eventKind(state.condition), .service = name.value(), .request = {}, .text = state.id.value()});
    }
}

void UpstreamWatch::tick(Instant now)
{
    for (const ServiceName &service : m_upstreamNotices.takeChanges(now)) {
        apply(service, now);
    }
    std::vector<ProbeCommand> probes;
    chooseProbes(now, probes);
    for (const ProbeCommand &probe : probes) {
        startProbe(probe);
    }
    giveTokens(now);
}

void UpstreamWatch::chooseProbes(Instant now, std::vector<ProbeCommand> &probes)
{
    std::map<ServiceName, std::vector<ProbeCandidate>> candidates;
    for (const UpstreamNotices::Confirmation &wanted : m_upstreamNotices.confirmations(now)) {
        for (const TrackedUpstream &state : m_upstreamNotices.trackedUpstreams(wanted.service, now)) {
            if (state.id == wanted.upstream) {
                candidates[wanted.service].push_back(
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

void UpstreamWatch::startProbe(const ProbeCommand &probe)
{
    TransferRequest request{.address = probe.address,
                            .head = {.method = "GET",
                                     .target = probe.path,
                                     .headers = {{.name = "Host", .value = probe.address}},
                                     .contentLength = 0},
                            .timeout = probe.timeout};
    m_modules.client.start(std::move(request), std::make_shared<ProbeTransfer>(probe, *this));
}

void UpstreamWatch::probeEnded(const ProbeCommand &probe, UpstreamObservation sign, Duration measured)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_scheduler.finished(probe.id, measured, ProcessClock::now());
        if (const auto service = m_services.find(probe.service); service != m_services.end()) {
            service->second.spent += measured;
            ++service->second.probes;
        }
    }
    observe(probe.service, probe.upstream, sign);
}

void UpstreamWatch::giveTokens(Instant now)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (now - m_tokensGivenAt < ProbeBudget::TransferInterval) {
            return;
        }
        m_tokensGivenAt = now;
    }
    m_modules.peers.send(m_budget.transfer(m_modules.router.dispatchers(), now));
}

ProbingStatus UpstreamWatch::probing(const ServiceName &name, Instant now) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto known = m_services.find(name);
    if (known == m_services.end()) {
        return {};
    }
    const Service &service = known->second;
    const double share = service.measuring.budgetPercent / 100 * service.totalSlots / m_options.instanceLimit;
    const auto uptime = static_cast<double>((now - service.since).count());
    return {.allowed = Duration(static_cast<Duration::rep>(uptime * share)), .spent = service.spent, .probes = service.probes};
}

} // namespace Filbertmount
