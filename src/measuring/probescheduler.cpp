#include <filbertmount/measuring/probescheduler.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Filbertmount {

ProbeScheduler::ProbeScheduler(ProbeBudget &budget)
    : m_budget(budget)
{
}

void ProbeScheduler::setCandidates(const ServiceName &service,
                                   std::vector<ProbeCandidate> candidates,
                                   const MeasuringSettings &settings)
{
    Service &entry = m_services[service];
    entry.candidates = std::move(candidates);
    entry.path = settings.probePath;
    if (entry.configuredCost != settings.probeCost) {
        entry.configuredCost = settings.probeCost;
        entry.nextCost = settings.probeCost;
    }
}

void ProbeScheduler::removeService(const ServiceName &service)
{
    m_services.erase(service);
}

const ProbeCandidate *ProbeScheduler::chooseCandidate(const Service &service, Instant now)
{
    const ProbeCandidate *best = nullptr;
    std::tuple<ProbeReason, Instant> bestRank;
    for (const ProbeCandidate &candidate : service.candidates) {
        const auto probed = service.probedAt.find(candidate.upstream);
        const Instant last = probed == service.probedAt.end() ? Instant::min() : probed->second;
        if (probed != service.probedAt.end() && now - last < MinInterval) {
            continue;
        }
        const std::tuple<ProbeReason, Instant> rank{candidate.reason, last};
        if (best == nullptr || rank < bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

std::vector<ProbeCommand> ProbeScheduler::tick(Instant now)
{
    std::vector<ProbeCommand> commands;
    for (auto &[name, service] : m_services) {
        std::erase_if(service.probedAt, [&](const auto &probed) {
            return now - probed.second > 100 * MinInterval;
        });
        const ProbeCandidate *candidate = chooseCandidate(service, now);
        if (candidate == nullptr || !m_budget.reserve(name, service.nextCost, now)) {
            continue;
        }
        service.probedAt[candidate->upstream] = now;
        m_running[++m_lastId] = RunningProbe{.service = name, .reserved = service.nextCost};
        commands.push_back({.id = m_lastId,
                            .service = name,
                            .upstream = candidate->upstream,
                            .address = candidate->address,
                            .path = service.path,
                            .timeout = service.nextCost});
    }
    return commands;
}

void ProbeScheduler::finished(std::uint64_t id, Duration measured, Instant now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const RunningProbe running = found->second;
    m_running.erase(found);
    m_budget.settle(running.service, running.reserved, measured, now);
    const auto service = m_services.find(running.service);
    if (service == m_services.end()) {
        return;
    }
    // A probe that used all of its reservation was cancelled before its answer, so the next one gets more time.
    Duration &cost = service->second.nextCost;
    const Duration configured = service->second.configuredCost;
    cost = measured >= running.reserved ? std::min(cost * 2, configured * MaxCostFactor)
                                        : std::max(configured, std::min(cost, 2 * measured));
}

} // namespace Filbertmount
