#pragma once

#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/types/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** State of one upstream in this instance. */
struct UpstreamStatus {
    RoutedUpstream upstream;
    UpstreamState state = UpstreamState::Live;
    bool isEjected = false;
    bool isCold = false;
    /** Concurrency limit over the attempts of all instances. */
    int limit = 0;
    /** Attempts of this instance in flight. */
    int inFlight = 0;
    /** Attempts of all instances in flight; 0 unless this instance is the dispatcher. */
    int dispatchedInFlight = 0;
    /** Expected service time relative to the mean of the service. */
    double slowness = 1;
};

/** State of the routing of one service in this instance. */
struct ServiceRoutingStatus {
    ServiceName service;
    /** Empty when the instance places all attempts locally. */
    InstanceId dispatcher;
    bool isDispatcher = false;
    /** Requests in the queue of this instance's dispatcher. */
    std::size_t queued = 0;
    /** Requests of this instance that wait for a response from the dispatcher. */
    std::size_t waiting = 0;
    /** Attempts placed by a grant of the dispatcher since the start. */
    std::uint64_t granted = 0;
    /** Attempts that this instance placed without a grant since the start. */
    std::uint64_t localPlacements = 0;
    Duration meanServiceTime{0};
    std::vector<UpstreamStatus> upstreams;
};

class ServiceRouter;

/** Returns the status of the upstreams in the current list of the service. */
std::vector<UpstreamStatus> upstreamStatus(const ServiceRouter &router);

/** State of a Router. */
struct RouterStatus {
    /** Requests in progress in this instance; see AdmissionControl::inProgress. */
    int inProgress = 0;
    std::vector<ServiceRoutingStatus> services;
};

} // namespace Filbertmount
