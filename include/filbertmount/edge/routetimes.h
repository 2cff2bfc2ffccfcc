#pragma once

#include <filbertmount/routes/routeset.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>

#include <string>

namespace Filbertmount {

/** How long upstreams usually take for the requests of each route. Not thread-safe. */
class RouteTimes
{
public:
    /** Takes into account that an upstream answered a request of the route @p name within @p elapsed. */
    void record(const std::string &name, Duration elapsed);
    /** Forgets routes that are not in @p routes. */
    void retain(const RouteSet &routes);

    /**
     * Time after which a request of @p route that may run more than once is worth a second attempt: it takes far
     * longer than usual, and a second attempt that starts then still has a chance to be in time.
     *
     * While little is known of the route, its latency objective tells what is usual.
     *
     * @param objectiveLeft time within which an answer is of full use
     */
    [[nodiscard]] Duration hedgeDelay(const ForwardRoute &route, Duration objectiveLeft) const;

private:
    struct UsualTime {
        /** Smoothed mean of the service times that are not far above it, in seconds. */
        double seconds = 0;
        int samples = 0;
    };

    absl::flat_hash_map<std::string, UsualTime> m_routes;
};

} // namespace Filbertmount
