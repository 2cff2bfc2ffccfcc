#include <filbertmount/routing/router.h>

#include "routing/routerservice.h"
#include "routing/slotwire.h"

#include "peer.pb.h"

#include <algorithm>

namespace Filbertmount {

namespace {

// Sent as the time left of a request without a deadline.
constexpr Duration TimeLeftWithoutDeadline = std::chrono::hours(1);

ServiceRouterOptions serviceOptions(const RouterOptions &options, const ServiceName &service)
{
    ServiceRouterOptions result;
    result.client.zone = options.zone;
    result.client.seed = options.seed ^ std::hash<std::string>()(service.value());
    return result;
}

} // namespace

ServiceRouting routingOf(const ServiceDocument &document)
{
    return {.team = document.team,
            .coldStart = document.upstreams.coldStart,
            .retries = document.retries,
            .hedging = document.hedging,
            .limits = document.limits};
}

Router::Router(RouterOptions options)
    : m_options(std::move(options))
    , m_members(m_options.self)
    , m_admission(m_options.admission)
{
}

Router::~Router() = default;

Instant Router::now() const
{
    return m_options.clock ? m_options.clock() : ProcessClock::now();
}

Router::Service &Router::findOrCreateService(const ServiceName &name)
{
    std::shared_ptr<Service> &service = m_services[name];
    if (!service) {
        service = std::make_shared<Service>(name, serviceOptions(m_options, name));
    }
    return *service;
}

std::shared_ptr<Router::Service> Router::find(const ServiceName &name) const
{
    const auto service = m_services.find(name);
    return service == m_services.end() ? nullptr : service->second;
}

void Router::configure(const ServiceName &name, const ServiceRouting &routing)
{
    DeferredEffects effects;
    {
        const absl::MutexLock lock(&m_mutex);
        Service &service = findOrCreateService(name);
        const absl::MutexLock serviceLock(&service.mutex);
        service.routing = routing;
        service.retryBudget.setPercent(routing.retries.budgetPercent);
        service.retryBudget.setMaxBurst(routing.retries.maxBurst);
        service.retryBudget.setTokensPerSecond(routing.retries.tokensPerSecond);
        service.hedgeBudget.setPercent(routing.hedging.budgetPercent);
        WarmupOptions warmup = routing.warmup;
        warmup.seed = m_options.seed ^ std::hash<std::string>()(name.value());
        service.router.setOptions({.coldStart = routing.coldStart, .warmup = warmup},
                                  {.queue = static_cast<std::size_t>(std::max(0, routing.limits.queue)),
                                   .ownZoneAdvantage = routing.ownZoneAdvantage,
                                   .zoneExit = routing.zoneExit});
        assignDispatcher(service, now(), effects);
    }
    runEffects(effects);
}

void Router::removeService(const ServiceName &name)
{
    DeferredEffects effects;
    {
        const absl::MutexLock lock(&m_mutex);
        const std::shared_ptr<Service> service = find(name);
        if (!service) {
            return;
        }
        m_services.erase(name);
        const absl::MutexLock serviceLock(&service->mutex);
        for (auto &[number, pending] : service->pendingPlacements) {
            finish(pending.team);
            effects.handlerCalls.push_back(
                {std::move(pending.handler), PlacementRefusal{.reason = RefusalReason::UnknownService}});
        }
        service->pendingPlacements.clear();
    }
    runEffects(effects);
}

void Router::updateUpstreams(const ServiceName &name, const std::vector<RoutedUpstream> &upstreams)
{
    DeferredEffects effects;
    {
        const absl::MutexLock lock(&m_mutex);
        Service &service = findOrCreateService(name);
        const absl::MutexLock serviceLock(&service.mutex);
        service.router.updateUpstreams(upstreams, now(), service.output);
        assignDispatcher(service, now(), effects);
    }
    runEffects(effects);
}

void Router::setMembers(const std::vector<InstanceId> &members, const std::vector<InstanceId> &dispatchers)
{
    DeferredEffects effects;
    {
        const absl::MutexLock lock(&m_mutex);
        const std::vector<MemberIndex> left = m_members.setMembers(members, dispatchers);
        for (const auto &[name, service] : m_services) {
            const absl::MutexLock serviceLock(&service->mutex);
            for (const MemberIndex member : left) {
                service->router.removeMember(member, now(), service->output);
            }
            assignDispatcher(*service, now(), effects);
        }
    }
    runEffects(effects);
}

void Router::assignDispatcher(Service &service, Instant now, DeferredEffects &effects)
{
    service.mutex.AssertHeld();
    service.router.setDispatcher(m_members.dispatcherOf(service.name), m_members.liveIndices(), now, service.output);
    collectOutput(service, effects);
}

bool Router::handleMessage(const InstanceId &from, const Wire::Body &body)
{
    DeferredEffects effects;
    bool isHandled = false;
    {
        const absl::MutexLock lock(&m_mutex);
        const std::shared_ptr<Service> service = find(ServiceName(std::string(serviceOf(body))));
        if (!service) {
            return false;
        }
        isHandled = receive(*service, m_members.intern(from), body, effects);
    }
    runEffects(effects);
    return isHandled;
}

bool Router::receive(Service &service, MemberIndex from, const Wire::Body &body, DeferredEffects &effects)
{
    const absl::MutexLock lock(&service.mutex);
    const ReceivedSlotMessage received = fromWire(body, service.router.table());
    if (std::holds_alternative<std::monostate>(received)) {
        return false;
    }
    if (const auto *unknown = std::get_if<UnknownUpstreamGrant>(&received)) {
        service.router.handleUnknownUpstream(from, unknown->grant, now(), service.output);
    } else {
        service.router.handle(from, std::get<SlotMessage>(received), now(), service.output);
    }
    collectOutput(service, effects);
    return true;
}

void Router::place(const PlacementQuery &query, PlacementHandler handler)
{
    DeferredEffects effects;
    {
        const absl::ReaderMutexLock lock(&m_mutex);
        const std::shared_ptr<Service> service = find(query.service);
        if (!service) {
            effects.handlerCalls.push_back({std::move(handler), PlacementRefusal{.reason = RefusalReason::UnknownService}});
        } else {
            const absl::MutexLock serviceLock(&service->mutex);
            startPlacement(*service, query, std::move(handler), effects);
        }
    }
    runEffects(effects);
}

void Router::startPlacement(Service &service, const PlacementQuery &query, PlacementHandler handler, DeferredEffects &effects)
{
    service.mutex.AssertHeld();
    if (!admit(service.routing.team, query.priority)) {
        const PlacementRefusal refusal{.reason = RefusalReason::Shed, .retryAfter = service.router.table().meanServiceTime()};
        effects.handlerCalls.push_back({std::move(handler), refusal});
        return;
    }
    if (!query.isHedge && query.excluded.empty()) {
        service.retryBudget.recordFirstAttempt(now());
        service.hedgeBudget.recordFirstAttempt(now());
    }
    const Instant time = now();
    SlotRequest request{.request = ++service.lastRequest,
                        .rank = query.rank.value_or(static_cast<std::uint8_t>(query.priority)),
                        .flow = query.flow,
                        .timeLeft = query.deadline == Instant{} ? TimeLeftWithoutDeadline : query.deadline - time,
                        .objectiveLeft = query.objective ? std::optional(*query.objective - time) : std::nullopt,
                        .excluded = {},
                        .isImmediate = query.isHedge,
                        .expectedBytes = service.routing.zoneExit ? query.expectedBytes : 0};
    for (const UpstreamId &upstream : query.excluded) {
        if (const auto index = service.router.table().find(upstream.value())) {
            request.excluded.push_back(*index);
        }
    }
    service.pendingPlacements.try_emplace(request.request,
                                          Service::PendingPlacement{std::move(handler), service.routing.team, query.isHedge});
    service.router.request(std::move(request), time, service.output);
    collectOutput(service, effects);
}

void Router::release(const Placement &placement, const AttemptReport &report)
{
    DeferredEffects effects;
    finish(placement.team);
    {
        const absl::ReaderMutexLock lock(&m_mutex);
        const std::shared_ptr<Service> service = find(placement.service);
        if (!service) {
            return;
        }
        const absl::MutexLock serviceLock(&service->mutex);
        if (report.outcome == AttemptOutcome::Success) {
            service->hedgePolicy.record(report.serviceTime);
        }
        const auto index = service->router.table().find(placement.upstream.value());
        if (!index) {
            return;
        }
        const SlotPlacement slot{.upstream = *index, .grant = placement.grant == 0 ? NoGrant : placement.grant};
        service->router.release(slot, report, now(), service->output);
        collectOutput(*service, effects);
    }
    runEffects(effects);
}

bool Router::takeRetry(const ServiceName &name)
{
    const absl::ReaderMutexLock lock(&m_mutex);
    const std::shared_ptr<Service> service = find(name);
    if (!service) {
        return false;
    }
    const absl::MutexLock serviceLock(&service->mutex);
    return service->retryBudget.take();
}

bool Router::takeRetryForHedge(const ServiceName &name)
{
    const absl::ReaderMutexLock lock(&m_mutex);
    const std::shared_ptr<Service> service = find(name);
    if (!service) {
        return false;
    }
    const absl::MutexLock serviceLock(&service->mutex);
    return service->retryBudget.takeForHedge();
}

void Router::refundRetry(const ServiceName &name)
{
    const absl::ReaderMutexLock lock(&m_mutex);
    const std::shared_ptr<Service> service = find(name);
    if (!service) {
        return;
    }
    const absl::MutexLock serviceLock(&service->mutex);
    service->retryBudget.refund();
}

std::optional<Duration> Router::hedgeDelay(const ServiceName &name)
{
    const absl::ReaderMutexLock lock(&m_mutex);
    const std::shared_ptr<Service> service = find(name);
    if (!service) {
        return std::nullopt;
    }
    const absl::MutexLock serviceLock(&service->mutex);
    return service->routing.hedging.budgetPercent > 0 ? service->hedgePolicy.delay() : std::nullopt;
}

bool Router::takeHedge(const ServiceName &name)
{
    const absl::ReaderMutexLock lock(&m_mutex);
    const std::shared_ptr<Service> service = find(name);
    if (!service) {
        return false;
    }
    const absl::MutexLock serviceLock(&service->mutex);
    return service->hedgeBudget.take();
}

bool Router::admit(const TeamName &team, Priority priority)
{
    const absl::MutexLock lock(&m_admissionMutex);
    return m_admission.admit(team, priority);
}

void Router::finish(const TeamName &team)
{
    const absl::MutexLock lock(&m_admissionMutex);
    m_admission.finish(team);
}

void Router::tick(Instant now)
{
    DeferredEffects effects;
    {
        const absl::ReaderMutexLock lock(&m_mutex);
        for (const auto &[name, service] : m_services) {
            const absl::MutexLock serviceLock(&service->mutex);
            service->router.tick(now, service->output);
            collectOutput(*service, effects);
        }
    }
    runEffects(effects);
}

std::optional<ZoneExit> Router::zoneExitOf(const Service &service, const SlotPlacement &placement) const
{
    service.mutex.AssertHeld();
    const AvailabilityZone &zone = service.router.table().upstream(placement.upstream).zone;
    if (!service.routing.zoneExit || zone == m_options.zone) {
        return std::nullopt;
    }
    return ZoneExit{.from = m_options.zone,
                    .to = zone,
                    .reason = placement.grant == NoGrant ? ZoneExitReason::LocalPlacement : placement.exitReason};
}

void Router::collectOutput(Service &service, DeferredEffects &effects)
{
    service.mutex.AssertHeld();
    const UpstreamTable &table = service.router.table();
    for (const AddressedSlotMessage &addressed : service.output.messages) {
        effects.addMessage(m_members.id(addressed.peer), toWire(addressed.message, service.name, table));
    }
    const auto deferResult = [&](std::uint64_t number, PlacementResult result) {
        auto node = service.pendingPlacements.extract(number);
        if (node.empty()) {
            return;
        }
        if (auto *placement = std::get_if<Placement>(&result)) {
            placement->team = node.mapped().team;
        }
        if (std::holds_alternative<PlacementRefusal>(result)) {
            finish(node.mapped().team);
            if (node.mapped().isHedge) {
                service.hedgeBudget.refund();
            }
        }
        effects.handlerCalls.push_back({std::move(node.mapped().handler), std::move(result)});
    };
    const std::optional<MemberIndex> dispatcher = service.router.client().dispatcher();
    for (const SlotPlacement &placement : service.output.decisions.placements) {
        const RoutedUpstream &upstream = table.upstream(placement.upstream);
        const bool isGranted = placement.grant != NoGrant;
        deferResult(placement.request,
                    Placement{.service = service.name,
                              .upstream = upstream.id,
                              .address = upstream.address,
                              .incarnation = upstream.incarnation,
                              .grant = isGranted ? placement.grant : 0,
                              .dispatcher = isGranted && dispatcher ? m_members.id(*dispatcher) : InstanceId(),
                              .team = {},
                              .zoneExit = zoneExitOf(service, placement)});
    }
    for (const SlotRefusal &refusal : service.output.decisions.refusals) {
        deferResult(refusal.request, PlacementRefusal{.reason = refusal.reason, .retryAfter = refusal.retryAfter});
    }
    service.output.clear();
    for (const WarmupChange &change : service.router.takeWarmupChanges()) {
        effects.warmupChanges.push_back({service.name, table.upstream(change.upstream).id, change});
    }
}

void Router::runEffects(DeferredEffects &effects)
{
    if (m_options.send) {
        for (auto &[to, envelope] : effects.messages) {
            m_options.send(to, std::move(envelope));
        }
    }
    if (m_options.onWarmupChange) {
        for (const DeferredEffects::UpstreamWarmup &item : effects.warmupChanges) {
            m_options.onWarmupChange(item.service, item.upstream, item.change);
        }
    }
    for (DeferredEffects::HandlerCall &call : effects.handlerCalls) {
        call.handler(std::move(call.result));
    }
}

} // namespace Filbertmount
