#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

struct StateMirrorOptions {
    /**
     * Upstream entries lapse while the store is away, because nobody can renew them. Those that live are back within
     * this time of its return; until then, removed entries are kept.
     */
    Duration lapsedEntryGrace = std::chrono::milliseconds(2100);
    /** The store counts as away when no call got an answer for this long. */
    Duration outageAfter = std::chrono::milliseconds(1000);
};

/** What changed in the mirror. */
struct MirrorChanges {
    bool routes = false;
    bool upstreams = false;
    bool instances = false;
    /** Objects that cannot be used, with the reason. */
    std::vector<std::pair<std::string, std::string>> rejected;
};

/**
 * The copy of the store's objects that one entry instance works with. Sans-I/O, not thread-safe.
 *
 * Nothing goes back: of two revisions of an object the higher one holds, a page or a watch that is older than what is
 * known changes nothing, and a route set replaces only one with a lower version.
 */
class StateMirror
{
public:
    explicit StateMirror(StateMirrorOptions options = {});

    /** Takes a listing that is complete up to @p storeRevision: objects that it does not name are gone. */
    MirrorChanges takeListing(StateKind kind, std::vector<StateObject> objects, Revision storeRevision, Instant now);
    MirrorChanges takeChanges(StateKind kind, const StateChanges &changes, Instant now);
    /** A call of the store got an answer or did not. */
    void noteContact(bool isAnswered, Instant now);
    /** Ends the grace of entries that did not come back. */
    MirrorChanges tick(Instant now);

    /** Null before the first usable route set. */
    [[nodiscard]] std::shared_ptr<const RouteIndex> routes() const;
    /** Upstreams of all services by id, draining ones included. */
    [[nodiscard]] std::vector<UpstreamRecord> upstreams() const;
    [[nodiscard]] const std::map<std::string, StateObject> &instances() const;
    /** Where a watch of @p kind starts; nothing before the first listing. */
    [[nodiscard]] std::optional<Revision> revision(StateKind kind) const;
    [[nodiscard]] bool isAway() const;

private:
    struct UpstreamEntry {
        UpstreamRecord record;
        Revision revision;
        /** When the entry is dropped; nothing while it is listed. */
        std::optional<Instant> dropAt;
    };

    void apply(StateKind kind, StateObject object, MirrorChanges &changes);
    void applyRoutes(StateObject object, MirrorChanges &changes);
    void applyUpstream(StateObject object, MirrorChanges &changes);
    void remove(StateKind kind, const std::string &name, Revision revision, Instant now, MirrorChanges &changes);
    void removeUpstream(const std::string &name, Revision revision, Instant now, MirrorChanges &changes);
    [[nodiscard]] bool isAfterOutage(Instant now) const;

    StateMirrorOptions m_options;
    std::shared_ptr<const RouteIndex> m_routes;
    std::map<std::string, UpstreamEntry> m_upstreams;
    std::map<std::string, StateObject> m_instances;
    std::map<StateKind, Revision> m_revisions;
    std::optional<Instant> m_silentSince;
    bool m_isAway = false;
    std::optional<Instant> m_returnedAt;
};

} // namespace Filbertmount
