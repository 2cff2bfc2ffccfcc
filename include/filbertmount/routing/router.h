#pragma once

#include <filbertmount/routing/placement.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <vector>

namespace Filbertmount {

/** An upstream as the router sees it. */
struct RoutedUpstream {
    UpstreamId id;
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
    int slots = 1;
};

/**
 * Chooses an upstream for each attempt. Thread-safe.
 */
class Router
{
public:
    /** Replaces the upstreams of @p service; attempts in flight keep theirs. */
    void updateUpstreams(const ServiceName &service, std::vector<RoutedUpstream> upstreams);

    /** Calls @p handler exactly once with an upstream or a refusal. */
    void place(const PlacementQuery &query, PlacementHandler handler);

    /** Ends an attempt. Each placement is released exactly once. */
    void release(const Placement &placement, const AttemptReport &report);

private:
    struct Candidate {
        RoutedUpstream upstream;
        int inFlight = 0;
    };

    PlacementResult choose(const PlacementQuery &query);

    absl::Mutex m_mutex;
    absl::flat_hash_map<ServiceName, std::vector<Candidate>> m_services ABSL_GUARDED_BY(m_mutex);
    absl::BitGen m_random ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
