#pragma once

#include <filbertmount/notices/trackedupstream.h>
#include <filbertmount/store/objectstore.h>
#include <filbertmount/types/instant.h>

#include <map>
#include <optional>
#include <vector>

namespace Filbertmount {

/** The condition of an upstream as observed by another instance. */
struct PeerNotice {
    InstanceId origin;
    UpstreamId upstream;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    UpstreamCondition condition = UpstreamCondition::Live;
};

/**
 * Decides which upstreams of one service are usable, from the instance list, observations of this instance and notices of
 * peers. Own observations always apply. Notices apply only while half of the upstreams stay usable. An upstream has ended when
 * the list shows it as leaving or omits it. When more than half have ended, this applies only after the lists have repeated it
 * for EndConfirmationTime. Not thread-safe.
 */
class ServiceNotices
{
public:
    static constexpr Duration InitialBackOff = std::chrono::milliseconds(250);
    static constexpr Duration MaxBackOff = std::chrono::seconds(10);
    /** A down notice expires after this time; a peer repeats it with each refused connection. */
    static constexpr Duration PeerDownValidity = std::chrono::seconds(5);
    /** A live probe refutes a draining notice only this long after it, because load endpoints may report an outdated state. */
    static constexpr Duration DrainingRecheck = std::chrono::seconds(10);
    /** How long lists must show an upstream as ended when more than half of the upstreams ended within this time. */
    static constexpr Duration EndConfirmationTime = std::chrono::seconds(10);
    /** Shortest time between two probes that confirm the condition of an upstream. */
    static constexpr Duration ConfirmationInterval = std::chrono::seconds(1);
    /** Maximum number of peers per upstream whose last notices are kept; notices of further peers are ignored. */
    static constexpr std::size_t MaxOrigins = 64;

    /** Applies a complete listing. Must not be called with the result of a failed one. */
    void applyListing(const std::vector<ListedInstance> &rows, Instant now);

    /** Applies an observation of this instance. Returns the condition to send to the peers, when it changed. */
    std::optional<UpstreamCondition> observe(const UpstreamId &upstream, UpstreamObservation observation, Instant now);

    /** Applies a notice of a peer. Returns false when it is outdated, repeated or about an unknown upstream. */
    bool applyPeerNotice(const PeerNotice &notice, Instant now);

    /** Returns the listed upstreams, sorted by id. */
    [[nodiscard]] std::vector<TrackedUpstream> trackedUpstreams(Instant now) const;
    /** Returns the incarnation in the list; 0 for an unknown upstream. */
    [[nodiscard]] Incarnation incarnation(const UpstreamId &upstream) const;
    /**
     * Returns the earliest time after @p now at which trackedUpstreams() may change without a listing, an observation or a
     * notice; Instant::max() when there is none.
     */
    [[nodiscard]] Instant nextChange(Instant now) const;

private:
    /** The last notice of one peer about an upstream. */
    struct LastNotice {
        std::uint64_t sequence = 0;
        UpstreamCondition condition = UpstreamCondition::Live;
        Instant at;
    };
    struct Entry {
        ListedInstance row;
        /** Since when the list shows the upstream as leaving or omits it. */
        std::optional<Instant> endedSince;
        /** The end in the list was accepted, so the upstream counts as draining. */
        bool isEndAccepted = false;
        /** The last list does not contain the upstream. */
        bool isMissing = false;
        /** This instance observed that the upstream drains. */
        bool hasObservedDraining = false;
        Instant downUntil;
        /** Consecutive failures, which determine the back-off. */
        int failures = 0;
        Instant probedAt;
        std::map<InstanceId, LastNotice> lastNotices;
    };

    /** Applies the upstream's row of a listing; nullptr when the listing does not contain it. */
    void updateRow(Entry &entry, const ListedInstance *row, Instant now);
    /** Accepts the ends of upstreams, unless more than half ended recently, and removes missing ones whose end was accepted. */
    void acceptEnds(Instant now);
    /** Returns the time and the condition of the oldest peer notice that is still valid; nullopt when there is none. */
    static std::optional<std::pair<Instant, UpstreamCondition>> oldestValidNotice(const Entry &entry, Instant now);
    /** Returns the condition from the observations of this instance and the instance list, without the notices of peers. */
    static UpstreamCondition ownCondition(const Entry &entry, Instant now);

    std::map<UpstreamId, Entry> m_entries;
};

} // namespace Filbertmount
