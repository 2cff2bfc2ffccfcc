#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/instant.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/** Options for handling an outage of the store. */
struct StateMirrorOptions {
    /**
     * Upstream entries expire during an outage of the store, because upstreams cannot renew them. Removed entries are kept
     * for this time after the outage, within which live upstreams renew theirs.
     */
    Duration expiredEntryGrace = std::chrono::milliseconds(2100);
    /** An outage begins when no call to the store has received a response for this long. */
    Duration outageAfter = std::chrono::milliseconds(1000);
};

/** The effect of an update on the mirror. */
struct MirrorChanges {
    std::vector<StateChange> routes;
    std::vector<StateChange> upstreams;
    /** Whether the list of instances changed. */
    bool haveInstancesChanged = false;
    /** Names of malformed objects, each with the reason; a revision of an object appears once. */
    std::vector<std::pair<std::string, std::string>> rejected;

    /** Returns the changes of @p kind, which is one that instances replicate: routes or upstreams. */
    [[nodiscard]] const std::vector<StateChange> &of(StateKind kind) const;
};

/** Where an update comes from. */
enum class StateSource : std::uint8_t {
    Store,
    /** Another instance, which has already waited for expired entries to be renewed. */
    Instance,
};

/**
 * An entry instance's local copy of the store's objects. Sans-I/O, not thread-safe.
 *
 * Updates never replace newer data by older: of two revisions of an object the higher one is kept, a listing that is older
 * than the mirror is ignored, and a route set replaces only one with a lower version.
 */
class StateMirror
{
public:
    explicit StateMirror(StateMirrorOptions options = {});

    /** Applies a listing that is complete up to @p storeRevision; objects that it does not contain are removed. */
    MirrorChanges applyListing(StateKind kind,
                               std::vector<StateObject> objects,
                               Revision storeRevision,
                               Instant now,
                               StateSource source = StateSource::Store);
    /** Applies @p changes and raises the revision of @p kind to the one stated with them. */
    MirrorChanges applyChanges(StateKind kind, const StateChanges &changes, Instant now, StateSource source = StateSource::Store);
    /**
     * Raises the revision of @p kind without a change of objects, after another instance with the same objects reported
     * @p revision.
     */
    void advanceRevision(StateKind kind, Revision revision);
    /** Records whether the store responded to a call, to detect outages. */
    void recordStoreCall(bool hasResponded, Instant now);
    /** Removes expired entries that were not renewed within the grace time. */
    MirrorChanges tick(Instant now);

    /** Null before the first valid route set. */
    [[nodiscard]] std::shared_ptr<const RouteIndex> routes() const;
    /** Upstreams of all services, draining ones included. */
    [[nodiscard]] std::vector<UpstreamRecord> upstreams() const;
    [[nodiscard]] const std::map<std::string, StateObject> &instances() const;
    /** All objects of @p kind; empty for kinds that instances do not replicate. */
    [[nodiscard]] std::vector<StateChange> objects(StateKind kind) const;
    /**
     * Returns the changes of the upstreams after revision @p from, oldest first. Returns nothing when removals since then may
     * have been forgotten.
     */
    [[nodiscard]] std::optional<std::vector<StateChange>> upstreamChangesSince(Revision from) const;
    /** Hash over all objects of @p kind, independent of the order in which they arrived. */
    [[nodiscard]] std::uint64_t hash(StateKind kind) const;
    /** Revision from which a watch of @p kind starts; empty before the first listing. */
    [[nodiscard]] std::optional<Revision> revision(StateKind kind) const;

private:
    struct UpstreamEntry {
        UpstreamRecord record;
        Revision revision;
        /** Revision of the last change of the record; a renewal of the entry in the store raises only the revision. */
        Revision changedAt;
        /** When the entry is removed; set once the store no longer lists it. */
        std::optional<Instant> removeAt;
        std::uint64_t hash = 0;
    };

    void apply(StateKind kind, StateObject object, MirrorChanges &changes);
    /** Adds a malformed object to @p changes unless the same revision of it was rejected before. */
    void reject(const StateObject &object, const std::string &reason, MirrorChanges &changes);
    void applyRoutes(StateObject object, MirrorChanges &changes);
    void applyUpstream(StateObject object, MirrorChanges &changes);
    void
    remove(StateKind kind, const std::string &name, Revision revision, bool mayBeExpired, Instant now, MirrorChanges &changes);
    void removeUpstream(const std::string &name, Revision revision, bool mayBeExpired, Instant now, MirrorChanges &changes);
    std::map<std::string, UpstreamEntry>::iterator eraseUpstream(std::map<std::string, UpstreamEntry>::iterator entry,
                                                                 Revision revision);
    [[nodiscard]] std::vector<std::string> namesOf(StateKind kind) const;
    /** Whether upstreams may have been unable to renew their entries: during an outage and the grace time after it. */
    [[nodiscard]] bool isOutageOrGrace(Instant now) const;

    StateMirrorOptions m_options;
    std::shared_ptr<const RouteIndex> m_routes;
    std::string m_routesName;
    Revision m_routesRevision;
    std::map<std::string, UpstreamEntry> m_upstreams;
    /** Sum of the hashes of all entries in m_upstreams. */
    std::uint64_t m_upstreamsHash = 0;
    /** The last removals, oldest first. */
    std::deque<std::pair<std::string, Revision>> m_removals;
    /** Revision after which m_removals has all removals; empty before the first listing. */
    std::optional<Revision> m_removalsSince;
    std::map<std::string, StateObject> m_instances;
    /** Revisions of the malformed objects that were rejected most recently, by name. */
    std::map<std::string, Revision> m_rejected;
    std::map<StateKind, Revision> m_revisions;
    std::optional<Instant> m_noResponseSince;
    bool m_isOutage = false;
    std::optional<Instant> m_outageEndedAt;
};

} // namespace Filbertmount
