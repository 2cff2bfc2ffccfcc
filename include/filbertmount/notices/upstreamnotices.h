#pragma once

#include <filbertmount/notices/servicenotices.h>
#include <filbertmount/peer/peermessage.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <random>
#include <vector>

namespace Filbertmount {

/**
 * Usable upstreams of all services, and the notices that instances of a region exchange about them. Thread-safe.
 * A notice goes to every member of the region at once, and each receiver passes it on to a few more in case the direct
 * message was lost.
 */
class UpstreamNotices
{
public:
    struct Options {
        InstanceId self;
        std::uint64_t seed = 1;
        /** Members to which a receiver passes a new notice on. */
        std::size_t fanout = 3;
    };
    struct Confirmation {
        ServiceName service;
        UpstreamId upstream;
    };

    explicit UpstreamNotices(Options options);

    /** Replaces the live members of the own region, without this instance. */
    void setRegionMembers(std::vector<InstanceId> members);
    void takeListing(const ServiceName &service, const std::vector<ListedInstance> &rows, Instant now);
    void removeService(const ServiceName &service);

    /** Takes what this instance saw; returns the notices to send. */
    PeerOutbox observe(const ServiceName &service, const UpstreamId &upstream, UpstreamObservation observation, Instant now);
    /** Handles UpstreamNotice; ignores other kinds. */
    PeerOutbox receive(const Wire::Body &body, Instant now);

    [[nodiscard]] std::vector<TrackedUpstream> states(const ServiceName &service, Instant now) const;
    /** Upstreams that an own probe should confirm, to be given to the ProbeScheduler. */
    [[nodiscard]] std::vector<Confirmation> confirmations(Instant now) const;
    /** Returns the services whose states() may have changed since the last call. */
    std::vector<ServiceName> takeChanges(Instant now);

private:
    struct Service {
        ServiceNotices notices;
        bool changed = true;
        Instant recheckAt = Instant::max();
    };

    const Options m_options;
    mutable absl::Mutex m_mutex;
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<InstanceId> m_members ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<ServiceName, Service> m_services ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
