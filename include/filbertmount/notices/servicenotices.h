#pragma once

#include <filbertmount/notices/trackedupstream.h>
#include <filbertmount/store/objectstore.h>
#include <filbertmount/types/instant.h>

#include <map>
#include <optional>
#include <vector>

namespace Filbertmount {

/** A state that another instance saw at an upstream. */
struct PeerNotice {
    InstanceId origin;
    UpstreamId upstream;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    UpstreamCondition state = UpstreamCondition::Live;
};

/**
 * Decides which upstreams of one service are usable, from the instance list, own observation and notices of peers.
 * Own observation always applies. Peers and the list are believed as long as half of the upstreams stay usable. Not
 * thread-safe.
 */
class ServiceNotices
{
public:
    static constexpr Duration FirstBackOff = std::chrono::milliseconds(250);
    static constexpr Duration LongestBackOff = std::chrono::seconds(10);
    /** A peer repeats the notice with each refused connection, so an older one says nothing. */
    static constexpr Duration PeerDownValidity = std::chrono::seconds(5);
    /** Load endpoints lag: a live answer sooner after a peer's draining notice proves nothing. */
    static constexpr Duration DrainingRecheck = std::chrono::seconds(10);
    /** How long a list that ends most upstreams must repeat it. */
    static constexpr Duration EndConfirmationTime = std::chrono::seconds(10);
    static constexpr Duration ConfirmationInterval = std::chrono::seconds(1);
    /** Origins remembered per upstream; further ones add no evidence. */
    static constexpr std::size_t MaxOrigins = 64;

    /** Takes a complete listing; call only with a successful one. */
    void takeListing(const std::vector<ListedInstance> &rows, Instant now);

    /** Takes an own observation. Returns the state to tell the peers when it changed. */
    std::optional<UpstreamCondition> observe(const UpstreamId &upstream, UpstreamObservation observation, Instant now);

    /** Takes a notice. Returns false when it is old, repeated or about an unknown upstream. */
    bool applyPeerNotice(const PeerNotice &notice, Instant now);

    /** The listed upstreams, sorted by id. */
    [[nodiscard]] std::vector<TrackedUpstream> states(Instant now) const;
    /** Incarnation in the list; 0 when unknown. */
    [[nodiscard]] Incarnation incarnation(const UpstreamId &upstream) const;
    /** Earliest time after @p now at which states() may change by itself; the far future when there is none. */
    [[nodiscard]] Instant nextChange(Instant now) const;

private:
    struct PeerReport {
        std::uint64_t sequence = 0;
        UpstreamCondition state = UpstreamCondition::Live;
        Instant at;
    };
    struct Entry {
        ListedInstance row;
        /** Since when the list says that the upstream is leaving or gone. */
        std::optional<Instant> endedSince;
        bool endAccepted = false;
        bool missing = false;
        bool ownDraining = false;
        Instant downUntil;
        int failures = 0;
        Instant probedAt;
        std::map<InstanceId, PeerReport> reports;
    };

    void updateRow(Entry &entry, const ListedInstance *row, Instant now);
    void acceptEnds(Instant now);
    /** When the first report of a peer that still counts arrived; nothing without one. */
    static std::optional<std::pair<Instant, UpstreamCondition>> firstPeerReport(const Entry &entry, Instant now);
    static UpstreamCondition ownCondition(const Entry &entry, Instant now);

    std::map<UpstreamId, Entry> m_entries;
};

} // namespace Filbertmount
