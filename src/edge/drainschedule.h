#pragma once

#include <filbertmount/routes/routeset.h>
#include <filbertmount/types/instant.h>

namespace Filbertmount {

/** The course of a shutdown, which decides what is still sent to upstreams. */
struct DrainSchedule {
    /** From this time on, the platform's load balancer sends no new connections. */
    Instant removedFromBalancerAt;
    /** When the process ends, whatever is still in progress. */
    Instant exitAt;

    /**
     * Whether a request that is sent to an upstream at @p now may be in progress for as long as its caller waits for it.
     *
     * While the balancer sends new connections, many requests arrive, and a refusal costs each caller an attempt. Most end within
     * their objective, and the caller of a repeatable one that is cut off can send it again; so these are sent as well.
     */
    [[nodiscard]] bool allows(const ForwardRoute &route, Instant deadline, Instant now) const
    {
        const bool isStillInBalancer = now < removedFromBalancerAt;
        const bool isLikelyInTime = route.isRepeatable && isStillInBalancer && now + route.latencyObjective <= exitAt;
        return deadline <= exitAt || isLikelyInTime;
    }
};

} // namespace Filbertmount
