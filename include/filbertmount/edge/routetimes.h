#pragma once

#include <filbertmount/routes/routeset.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>

#include <string>

namespace Filbertmount {

/** Tracks the usual service time of each route, from which the delay of a hedge follows. Not thread-safe. */
class RouteTimes
{
public:
    /** Adds a sample: an upstream responded to a request of the route @p name after @p elapsed. */
    void record(const std::string &name, Duration elapsed);
    /** Removes the samples of routes that are not in @p routes. */
    void retain(const RouteSet &routes);

    /**
     * Returns how long to wait for the first attempt of a repeatable request before a hedge is sent.
     *
     * After this time the request takes clearly longer than usual. Where possible, the hedge can still meet the latency
     * objective. With too few samples, the usual time is estimated from the route's objective.
     *
     * @param objectiveLeft time left until the latency objective; may be negative
     */
    [[nodiscard]] Duration hedgeDelay(const ForwardRoute &route, Duration objectiveLeft) const;

private:
    struct UsualTime {
        /** Smoothed mean of the service times in seconds, with outliers capped. */
        double seconds = 0;
        int samples = 0;
    };

    absl::flat_hash_map<std::string, UsualTime> m_routes;
};

} // namespace Filbertmount
