#pragma once

#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/types/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** One upstream as this instance sees it. */
struct UpstreamStatus {
    RoutedUpstream upstream;
    UpstreamState state = UpstreamState::Live;
    bool isEjected = false;
    /** Attempts that it may run at a time, over all instances. */
    int limit = 0;
    /** Attempts of this instance. */
    int inFlight = 0;
    /** Attempts of all instances; 0 unless this instance is the dispatcher. */
    int dispatchedInFlight = 0;
    /** Recent service time over that of the service. */
    double slowness = 1;
};

struct ServiceRoutingStatus {
    ServiceName service;
    /** Empty when the instance chooses by itself. */
    InstanceId dispatcher;
    bool isDispatcher = false;
    /** Requests in the queue of this instance's dispatcher. */
    std::size_t queued = 0;
    /** Requests of this instance that wait for an answer. */
    std::size_t waiting = 0;
    /** Placements by grant and by own choice since the start. */
    std::uint64_t granted = 0;
    std::uint64_t localPlacements = 0;
    Duration meanServiceTime{0};
    std::vector<UpstreamStatus> upstreams;
};

class ServiceRouter;

/** Returns the status of the listed upstreams. */
std::vector<UpstreamStatus> upstreamStatus(const ServiceRouter &router);

struct RouterStatus {
    /** Requests that this instance holds. */
    int held = 0;
    std::vector<ServiceRoutingStatus> services;
};

} // namespace Filbertmount
