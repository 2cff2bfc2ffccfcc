#include <filbertmount/notices/upstreamnotices.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Filbertmount {

namespace {

UpstreamCondition conditionFromWire(Wire::UpstreamNotice::State state)
{
    switch (state) {
    case Wire::UpstreamNotice::DRAINING:
        return UpstreamCondition::Draining;
    case Wire::UpstreamNotice::DOWN:
        return UpstreamCondition::Down;
    default:
        return UpstreamCondition::Live;
    }
}

} // namespace

UpstreamNotices::UpstreamNotices(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

void UpstreamNotices::setRegionMembers(std::vector<InstanceId> members)
{
    const absl::MutexLock lock(&m_mutex);
    m_members = std::move(members);
}

void UpstreamNotices::applyListing(const ServiceName &service, const std::vector<ListedInstance> &rows, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    Service &entry = m_services[service];
    entry.notices.applyListing(rows, now);
    entry.isChanged = true;
}

void UpstreamNotices::removeService(const ServiceName &service)
{
    const absl::MutexLock lock(&m_mutex);
    m_services.erase(service);
}

PeerOutbox
UpstreamNotices::observe(const ServiceName &service, const UpstreamId &upstream, UpstreamObservation observation, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return outbox;
    }
    Service &entry = found->second;
    const auto changedCondition = entry.notices.observe(upstream, observation, now);
    entry.isChanged = entry.isChanged || changedCondition || observation == UpstreamObservation::ProbeLive;
    if (!changedCondition) {
        return outbox;
    }
    Wire::UpstreamNotice notice;
    notice.set_service(service.value());
    notice.set_upstream(upstream.value());
    notice.set_incarnation(entry.notices.incarnation(upstream).value());
    notice.set_state(static_cast<Wire::UpstreamNotice::State>(*changedCondition));
    notice.set_sequence(++m_lastSequence);
    notice.set_origin(m_options.self.value());
    notice.set_remaining_hops(1);
    for (const InstanceId &member : m_members) {
        *appendBody(outbox, member).mutable_upstream_notice() = notice;
    }
    return outbox;
}

PeerOutbox UpstreamNotices::receive(const Wire::Body &body, Instant now)
{
    PeerOutbox outbox;
    if (!body.has_upstream_notice() || body.upstream_notice().origin() == m_options.self.value()) {
        return outbox;
    }
    const Wire::UpstreamNotice &notice = body.upstream_notice();
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_services.find(ServiceName(notice.service()));
    if (found == m_services.end()) {
        return outbox;
    }
    const PeerNotice peerNotice{.origin = InstanceId(notice.origin()),
                                .upstream = UpstreamId(notice.upstream()),
                                .incarnation = Incarnation(notice.incarnation()),
                                .sequence = notice.sequence(),
                                .condition = conditionFromWire(notice.state())};
    if (!found->second.notices.applyPeerNotice(peerNotice, now)) {
        return outbox;
    }
    found->second.isChanged = true;
    if (notice.remaining_hops() == 0) {
        return outbox;
    }
    std::vector<InstanceId> chosen;
    std::sample(m_members.begin(), m_members.end(), std::back_inserter(chosen), m_options.fanout, m_random);
    for (const InstanceId &member : chosen) {
        Wire::UpstreamNotice &forwarded = *appendBody(outbox, member).mutable_upstream_notice();
        forwarded = notice;
        // Never forwarded twice: remaining_hops comes from the peer, and a faulty one must not cause forwarding over many hops.
        forwarded.set_remaining_hops(0);
    }
    return outbox;
}

std::vector<TrackedUpstream> UpstreamNotices::trackedUpstreams(const ServiceName &service, Instant now) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::vector<TrackedUpstream>{} : found->second.notices.trackedUpstreams(now);
}

std::vector<UpstreamNotices::Confirmation> UpstreamNotices::confirmations(Instant now) const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<Confirmation> result;
    for (const auto &[service, entry] : m_services) {
        for (const TrackedUpstream &status : entry.notices.trackedUpstreams(now)) {
            if (status.needsConfirmation) {
                result.push_back({.service = service, .upstream = status.id});
            }
        }
    }
    return result;
}

std::vector<ServiceName> UpstreamNotices::takeChanges(Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<ServiceName> changed;
    for (auto &[service, entry] : m_services) {
        if (!entry.isChanged && now < entry.recheckAt) {
            continue;
        }
        entry.isChanged = false;
        entry.recheckAt = entry.notices.nextChange(now);
        changed.push_back(service);
    }
    return changed;
}

} // namespace Filbertmount
