#pragma once

#include <filbertmount/edge/evacuationtable.h>
#include <filbertmount/telemetry/metrics.h>
#include <filbertmount/types/ids.h>

#include <map>
#include <string>
#include <vector>

namespace Filbertmount {

/**
 * The evacuated upstreams of the lists that this instance routes by. Logs when an evacuation takes effect and when it ends, and
 * reports the evacuated zones as a metric.
 */
class EvacuationEffects
{
public:
    explicit EvacuationEffects(Metrics &metrics);

    /** Starts an update of all lists by @p evacuations, which must not change before finishUpdate(). */
    void startUpdate(const EvacuationTable &evacuations);
    /** Adds an upstream of the new lists; returns whether its zone is evacuated. */
    bool add(const UpstreamId &upstream, const AvailabilityZone &zone);
    /** Call when the new lists are in force. */
    void finishUpdate(Instant now);

    /** Evacuated upstreams of the last update. */
    [[nodiscard]] const std::vector<UpstreamId> &upstreams() const;

private:
    struct Zone {
        Instant since;
        /** Upstreams of the zone in the last update. */
        std::int64_t upstreams = 0;
        bool isInForce = false;
        bool isLogged = false;
    };

    void setMetric(const std::string &zone, bool isEvacuated);

    Metrics &m_metrics;
    std::map<std::string, Zone> m_zones;
    std::vector<UpstreamId> m_upstreams;
};

} // namespace Filbertmount
