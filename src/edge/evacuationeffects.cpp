#include "edge/evacuationeffects.h"

#include <filbertmount/telemetry/log.h>

namespace Filbertmount {

EvacuationEffects::EvacuationEffects(Metrics &metrics)
    : m_metrics(metrics)
{
}

void EvacuationEffects::startUpdate(const EvacuationTable &evacuations)
{
    m_upstreams.clear();
    for (auto &[name, zone] : m_zones) {
        zone.isInForce = false;
        zone.upstreams = 0;
    }
    for (const std::string &name : evacuations.zones()) {
        m_zones[name].isInForce = true;
    }
}

bool EvacuationEffects::add(const UpstreamId &upstream, const AvailabilityZone &zone)
{
    const auto evacuated = m_zones.find(zone.value());
    if (evacuated == m_zones.end() || !evacuated->second.isInForce) {
        return false;
    }
    ++evacuated->second.upstreams;
    m_upstreams.push_back(upstream);
    return true;
}

void EvacuationEffects::finishUpdate(Instant now)
{
    for (auto entry = m_zones.begin(); entry != m_zones.end();) {
        const std::string &name = entry->first;
        Zone &zone = entry->second;
        if (zone.isInForce && !zone.isLogged) {
            zone.since = now;
            zone.isLogged = true;
            setMetric(name, true);
            logLine(LogLevel::Info,
                    "a zone is evacuated; its upstreams get no further requests",
                    {{.name = "zone", .value = name}, {.name = "upstreams", .value = zone.upstreams}});
        }
        if (zone.isInForce) {
            ++entry;
            continue;
        }
        setMetric(name, false);
        logLine(LogLevel::Info,
                "the evacuation of a zone has ended; its upstreams start cold",
                {{.name = "zone", .value = name}, {.name = "lasted_ms", .value = toMilliseconds(now - zone.since)}});
        entry = m_zones.erase(entry);
    }
}

void EvacuationEffects::setMetric(const std::string &zone, bool isEvacuated)
{
    m_metrics.gauge(MetricNames::ZoneEvacuated, {{"zone", zone}}).Set(isEvacuated ? 1 : 0);
}

const std::vector<UpstreamId> &EvacuationEffects::upstreams() const
{
    return m_upstreams;
}

} // namespace Filbertmount
