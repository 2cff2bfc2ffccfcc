#include <filbertmount/routing/router.h>

#include <absl/random/distributions.h>

#include <algorithm>

namespace Filbertmount {

void Router::updateUpstreams(const ServiceName &service, std::vector<RoutedUpstream> upstreams)
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<Candidate> &current = m_services[service];
    std::vector<Candidate> updated;
    updated.reserve(upstreams.size());
    for (RoutedUpstream &upstream : upstreams) {
        const auto known = std::find_if(current.begin(), current.end(), [&](const Candidate &candidate) {
            return candidate.upstream.id == upstream.id;
        });
        const int inFlight = known == current.end() ? 0 : known->inFlight;
        updated.push_back({.upstream = std::move(upstream), .inFlight = inFlight});
    }
    current = std::move(updated);
}

void Router::place(const PlacementQuery &query, PlacementHandler handler)
{
    handler(choose(query));
}

PlacementResult Router::choose(const PlacementQuery &query)
{
    const absl::MutexLock lock(&m_mutex);
    const auto service = m_services.find(query.service);
    if (service == m_services.end()) {
        return PlacementRefusal{.reason = RefusalReason::UnknownService};
    }
    std::vector<Candidate *> usable;
    for (Candidate &candidate : service->second) {
        const auto &excluded = query.excluded;
        if (std::find(excluded.begin(), excluded.end(), candidate.upstream.id) == excluded.end()) {
            usable.push_back(&candidate);
        }
    }
    if (usable.empty()) {
        return PlacementRefusal{.reason = RefusalReason::NoUpstream};
    }
    Candidate *first = usable[absl::Uniform<std::size_t>(m_random, 0, usable.size())];
    Candidate *second = usable[absl::Uniform<std::size_t>(m_random, 0, usable.size())];
    Candidate *chosen = second->inFlight < first->inFlight ? second : first;
    ++chosen->inFlight;
    return Placement{.service = query.service, .upstream = chosen->upstream.id, .address = chosen->upstream.address};
}

void Router::release(const Placement &placement, const AttemptReport & /*report*/)
{
    const absl::MutexLock lock(&m_mutex);
    const auto service = m_services.find(placement.service);
    if (service == m_services.end()) {
        return;
    }
    for (Candidate &candidate : service->second) {
        if (candidate.upstream.id == placement.upstream && candidate.inFlight > 0) {
            --candidate.inFlight;
        }
    }
}

} // namespace Filbertmount
