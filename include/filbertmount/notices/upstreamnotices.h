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
 * Tracks which upstreams of all services are usable, and sends and receives the notices about them within a region.
 * Thread-safe. A notice is sent to every member of the region directly, and each receiver forwards it to a few random members
 * in case a direct message was lost.
 */
class UpstreamNotices
{
public:
    struct Options {
        InstanceId self;
        std::uint64_t seed = 1;
        /** Number of members to which a receiver forwards a new notice. */
        std::size_t fanout = 3;
    };
    /** An upstream that a probe should confirm. */
    struct Confirmation {
        ServiceName service;
        UpstreamId upstream;
    };

    explicit UpstreamNotices(Options options);

    /** Replaces the live members of this instance's region; @p members excludes this instance. */
    void setRegionMembers(std::vector<InstanceId> members);
    /** Applies a complete listing of the upstreams of @p service. */
    void applyListing(const ServiceName &service, const std::vector<ListedInstance> &rows, Instant now);
    void removeService(const ServiceName &service);

    /** Applies an observation of this instance; returns the notices to send. */
    PeerOutbox observe(const ServiceName &service, const UpstreamId &upstream, UpstreamObservation observation, Instant now);
    /** Applies an UpstreamNotice and returns the forwarded copies to send. Ignores other messages. */
    PeerOutbox receive(const Wire::Body &body, Instant now);

    [[nodiscard]] std::vector<TrackedUpstream> trackedUpstreams(const ServiceName &service, Instant now) const;
    /** Returns the upstreams that this instance should probe because a peer or the instance list contradicts their condition. */
    [[nodiscard]] std::vector<Confirmation> confirmations(Instant now) const;
    /** Returns the services whose trackedUpstreams() may have changed since the last call. */
    std::vector<ServiceName> takeChanges(Instant now);

private:
    struct Service {
        ServiceNotices notices;
        bool isChanged = true;
        /** When the condition of an upstream may change without a listing, an observation or a notice. */
        Instant recheckAt = Instant::max();
    };

    const Options m_options;
    mutable absl::Mutex m_mutex;
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastSequence ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<InstanceId> m_members ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<ServiceName, Service> m_services ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
