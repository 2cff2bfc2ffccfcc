#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/instant.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

struct StateMirrorOptions {
    /**
     * Upstream entries lapse while the store is away, because nobody can renew them. Those that live are back within
     * this time of its return; until then, removed entries are kept.
     */
    Duration expiredEntryGrace = std::chrono::milliseconds(2100);
    /** The store counts as away when no call got an answer for this long. */
    Duration outageAfter = std::chrono::milliseconds(1000);
};

/** What changed in the mirror. */
struct MirrorChanges {
    std::vector<StateChange> routes;
    std::vector<StateChange> upstreams;
    bool instances = false;
    /** Objects that cannot be used, with the reason. */
    std::vector<std::pair<std::string, std::string>> rejected;

    /** Changes of objects that instances tell each other. */
    [[nodiscard]] const std::vector<StateChange> &of(StateKind kind) const;
};

/** Where news come from. */
enum class StateSource : std::uint8_t {
    Store,
    /** Another instance, which has waited for lapsed entries already. */
    Instance,
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
    MirrorChanges takeListing(StateKind kind,
                              std::vector<StateObject> objects,
                              Revision storeRevision,
                              Instant now,
                              StateSource source = StateSource::Store);
    MirrorChanges takeChanges(StateKind kind, const StateChanges &changes, Instant now, StateSource source = StateSource::Store);
    /** All changes of @p kind up to @p revision are known, because an instance that knows them has the same objects. */
    void advanceRevision(StateKind kind, Revision revision);
    /** A call of the store got an answer or did not. */
    void noteStoreCall(bool isAnswered, Instant now);
    /** Ends the grace of entries that did not come back. */
    MirrorChanges tick(Instant now);

    /** Null before the first usable route set. */
    [[nodiscard]] std::shared_ptr<const RouteIndex> routes() const;
    /** Upstreams of all services by id, draining ones included. */
    [[nodiscard]] std::vector<UpstreamRecord> upstreams() const;
    [[nodiscard]] const std::map<std::string, StateObject> &instances() const;
    /** All objects of @p kind that instances tell each other. */
    [[nodiscard]] std::vector<StateChange> objects(StateKind kind) const;
    /** A number that is the same for the same objects of @p kind. */
    [[nodiscard]] std::uint64_t hash(StateKind kind) const;
    /** Where a watch of @p kind starts; nothing before the first listing. */
    [[nodiscard]] std::optional<Revision> revision(StateKind kind) const;

private:
    struct UpstreamEntry {
        UpstreamRecord record;
        Revision revision;
        /** When the entry is dropped; nothing while it is listed. */
        std::optional<Instant> dropAt;
        std::uint64_t hash = 0;
    };

    void apply(StateKind kind, StateObject object, MirrorChanges &changes);
    void applyRoutes(StateObject object, MirrorChanges &changes);
    void applyUpstream(StateObject object, MirrorChanges &changes);
    void
    remove(StateKind kind, const std::string &name, Revision revision, bool mayBeExpired, Instant now, MirrorChanges &changes);
    void removeUpstream(const std::string &name, Revision revision, bool mayBeExpired, Instant now, MirrorChanges &changes);
    std::map<std::string, UpstreamEntry>::iterator eraseUpstream(std::map<std::string, UpstreamEntry>::iterator entry);
    [[nodiscard]] std::vector<std::string> namesOf(StateKind kind) const;
    [[nodiscard]] bool isAfterOutage(Instant now) const;

    StateMirrorOptions m_options;
    std::shared_ptr<const RouteIndex> m_routes;
    std::string m_routesName;
    Revision m_routesRevision;
    std::map<std::string, UpstreamEntry> m_upstreams;
    /** Sum of the hashes of all upstream entries. */
    std::uint64_t m_upstreamsHash = 0;
    std::map<std::string, StateObject> m_instances;
    std::map<StateKind, Revision> m_revisions;
    std::optional<Instant> m_unansweredSince;
    bool m_isOutage = false;
    std::optional<Instant> m_outageEndedAt;
};

} // namespace Filbertmount
