#include "routing/routerservice.h"

namespace Filbertmount {

template<class Action>
void Router::updateUpstream(const ServiceName &name, const UpstreamId &upstream, Action action)
{
    DeferredEffects effects;
    {
        const absl::ReaderMutexLock lock(&m_mutex);
        const std::shared_ptr<Service> service = find(name);
        if (!service) {
            return;
        }
        const absl::MutexLock serviceLock(&service->mutex);
        if (const auto index = service->router.table().find(upstream.value())) {
            action(*service, *index);
        }
        collectOutput(*service, effects);
    }
    runEffects(effects);
}

void Router::setUpstreamState(const ServiceName &name, const UpstreamId &upstream, UpstreamState state)
{
    updateUpstream(name, upstream, [&](Service &service, UpstreamIndex index) {
        service.router.setUpstreamState(index, state, now(), service.output);
    });
}

void Router::recordPace(const ServiceName &name, const UpstreamId &upstream, double pace)
{
    updateUpstream(name, upstream, [&](Service &service, UpstreamIndex index) {
        service.router.recordPace(index, pace, now(), service.output);
    });
}

void Router::recordSignals(const ServiceName &name, const UpstreamId &upstream, const UpstreamSignals &signals)
{
    if (!signals.draining && !signals.pause && !signals.warmup && !signals.isHealthReport) {
        return;
    }
    updateUpstream(name, upstream, [&](Service &service, UpstreamIndex index) {
        service.router.recordSignals(index, signals, now(), service.output);
    });
}

std::vector<std::pair<ServiceName, RoutedUpstream>> Router::upstreamsToPoll(const PacePollingOptions &polling) const
{
    std::vector<std::pair<ServiceName, RoutedUpstream>> result;
    const Instant time = now();
    const absl::ReaderMutexLock lock(&m_mutex);
    const bool isAlone = m_members.live().size() < 2;
    for (const auto &[name, service] : m_services) {
        const absl::MutexLock serviceLock(&service->mutex);
        // Without other instances the pace is not needed, but a cold upstream states only in health responses that it is.
        const bool needsProbes = !isAlone || service->router.table().warmup().isEnabled();
        if (!needsProbes || service->router.client().dispatcher() != SelfMember) {
            continue;
        }
        for (const UpstreamIndex index : service->router.upstreamsToPoll(polling, time)) {
            result.emplace_back(name, service->router.table().upstream(index));
        }
    }
    return result;
}

std::vector<std::pair<ServiceName, InstanceId>> Router::dispatchers() const
{
    std::vector<std::pair<ServiceName, InstanceId>> result;
    const absl::ReaderMutexLock lock(&m_mutex);
    for (const auto &[name, service] : m_services) {
        const absl::MutexLock serviceLock(&service->mutex);
        if (const std::optional<MemberIndex> dispatcher = service->router.client().dispatcher()) {
            result.emplace_back(name, m_members.id(*dispatcher));
        }
    }
    return result;
}

RouterStatus Router::status() const
{
    RouterStatus result;
    const absl::ReaderMutexLock lock(&m_mutex);
    for (const auto &[name, service] : m_services) {
        const absl::MutexLock serviceLock(&service->mutex);
        const ServiceRouter &router = service->router;
        const std::optional<MemberIndex> dispatcher = router.client().dispatcher();
        ServiceRoutingStatus status{.service = name,
                                    .dispatcher = dispatcher ? m_members.id(*dispatcher) : InstanceId(),
                                    .isDispatcher = router.dispatcher().isRunning(),
                                    .queued = router.dispatcher().queued(),
                                    .waiting = router.client().waiting(),
                                    .granted = router.client().grants(),
                                    .localPlacements = router.client().localPlacements(),
                                    .meanServiceTime = router.table().meanServiceTime(),
                                    .upstreams = upstreamStatus(router)};
        result.services.push_back(std::move(status));
    }
    const absl::MutexLock admissionLock(&m_admissionMutex);
    result.inProgress = m_admission.inProgress();
    return result;
}

} // namespace Filbertmount
