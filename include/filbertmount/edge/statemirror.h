#pragma once

#include <filbertmount/edge/evacuationtable.h>
#include <filbertmount/edge/knownera.h>
#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/edge/startconfirmation.h>
#include <filbertmount/edge/storecontact.h>
#include <filbertmount/types/instant.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/** Options for handling an outage of the store or its return from an older copy. */
struct StateMirrorOptions {
    /**
     * Upstream entries expire during an outage of the store, because upstreams cannot renew them. Removed entries are kept
     * for this time after the outage, within which live upstreams renew theirs.
     */
    Duration expiredEntryGrace = std::chrono::milliseconds(2100);
    /**
     * Entries that an older copy lacks are kept for this time after its first listing, within which upstreams and operators write
     * them again.
     */
    Duration lostEntryGrace = std::chrono::milliseconds(2100);
    StoreContactOptions contact;
};

/** Where an update comes from. */
enum class StateSource : std::uint8_t {
    Store,
    /** Another instance, which marks deletions that may be expiries. */
    Instance,
};

/** The message that an update was taken from. */
enum class StateOrigin : std::uint8_t {
    /** A change that this instance, as a reader, received from the store. */
    Watch,
    /** A listing with the store's current state. */
    Listing,
    /** A listing that may be seconds old. */
    OldListing,
    /** A message of another instance. */
    Instance,
};

/** Returns the name of @p origin as it appears in logs. */
std::string_view stateOriginName(StateOrigin origin);

/** What became of an upstream whose entry the store no longer has. */
enum class DeletionOutcome : std::uint8_t {
    /** It was removed: it has left. */
    Removed,
    /** It stays in use until the end of the grace time, because its entry may have expired during an outage. */
    Kept,
    /** It was kept and is removed now, because another instance had contact with the store while its entry was deleted. */
    NotExpired,
    /** It was kept and is removed now, because it did not renew its entry within the grace time. */
    NotRenewed,
};

/** Returns the name of @p outcome as it appears in logs. */
std::string_view deletionOutcomeName(DeletionOutcome outcome);

/** A decision on a deleted entry of an upstream, for the log. */
struct DeletionDecision {
    std::string upstream;
    /** Revision of the deletion. */
    Revision revision;
    DeletionOutcome outcome = DeletionOutcome::Removed;
    /** Whether the store's response or a message of another instance reported the deletion. */
    StateSource source = StateSource::Store;
    /** Of an upstream that is or was kept. */
    std::optional<PossibleExpiry> expiry = {};
};

/** What became of an evacuation that the store may have lost by its return from an older copy. */
enum class LostEvacuationStep : std::uint8_t {
    /** Its entry is missing; the evacuation holds for a grace time. */
    Missing,
    /** Its entry was written again. */
    WrittenAgain,
    /** It ends, because its entry was not written again within the grace time. */
    Ended,
};

/** Returns the name of @p step as it appears in logs. */
std::string_view lostEvacuationStepName(LostEvacuationStep step);

/** A step of an evacuation that the store may have lost, for the log. */
struct LostEvacuation {
    std::string zone;
    LostEvacuationStep step = LostEvacuationStep::Missing;
    /** Of the listing without the entry, of the new entry, or of the end. */
    Revision revision;
    /** Whether the store's response or a message of another instance led to it. */
    StateSource source = StateSource::Store;
};

/** The effect of an update on the mirror. */
struct MirrorChanges {
    StateOrigin origin = StateOrigin::Instance;
    std::vector<StateChange> routes;
    std::vector<StateChange> upstreams;
    std::vector<StateChange> evacuations;
    /** Whether the list of instances changed. */
    bool haveInstancesChanged = false;
    /** Names of malformed objects, each with the reason; a revision of an object appears once. */
    std::vector<std::pair<std::string, std::string>> rejected;
    std::vector<DeletionDecision> deletions;
    std::vector<LostEvacuation> lostEvacuations;

    /** Returns the changes of @p kind, which is one that instances replicate. */
    [[nodiscard]] const std::vector<StateChange> &of(StateKind kind) const;
    /** Adds the effect of a further update. */
    void append(MirrorChanges other);
};

/**
 * An entry instance's local copy of the store's objects. Sans-I/O, not thread-safe.
 *
 * Updates never replace newer data by older: of two revisions of an object the higher one is kept, a listing that is older
 * than the mirror is ignored, and a route set replaces only one with a lower version, except for accounts that the store changed
 * under the same version.
 *
 * When the store returns from an older copy, its listing is newer than the mirror although it may lack what was written since the
 * copy. The version of the routes never goes back then, nor do the accounts of a version that the copy has too. Upstreams and
 * evacuations that the copy lacks are kept for a grace time.
 *
 * Upstreams whose entry may have expired during an outage stay in use for a grace time, but the mirror no longer counts them
 * among the objects of the store: they are not part of the hash, so mirrors at the same revision agree. A mirror that had a
 * state before never adds such an upstream from a message of another instance, so a wrong suspicion of an outage cannot bring a
 * removed upstream back.
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
    /**
     * Applies all objects of another instance. Those that it keeps after a possible expiry are marked as deleted; the mirror adds
     * them only if it has no state of @p kind yet.
     */
    MirrorChanges applyFullState(StateKind kind, std::vector<StateChange> objects, Revision storeRevision, Instant now);
    /** Applies @p changes and raises the revision of @p kind to the one stated with them. */
    MirrorChanges applyChanges(StateKind kind, const StateChanges &changes, Instant now, StateSource source = StateSource::Store);
    /**
     * Raises the revision of @p kind without a change of objects, after another instance with the same objects reported
     * @p revision. The objects are those of the store in the era of that revision.
     */
    void advanceRevision(StateKind kind, Revision revision);
    /**
     * Records that the instance that reads the store has other routes under the same version. The next route set of at least this
     * version replaces those in force, also when it comes from another instance.
     */
    void recordContradiction();
    /** The era of the store; a higher one shows that the store has returned from an older copy. */
    [[nodiscard]] KnownEra &knownEra();
    [[nodiscard]] const KnownEra &knownEra() const;
    /** Records whether the store responded to a call, to detect outages. */
    void recordStoreCall(bool hasResponded, Instant now);
    /** What is known about the reachability of the store; decides whether a deletion may be an expiry. */
    [[nodiscard]] StoreContact &contact();
    [[nodiscard]] const StoreContact &contact() const;
    /** What is known about the age of the state since the start of the process. */
    [[nodiscard]] StartConfirmation &startConfirmation();
    [[nodiscard]] const StartConfirmation &startConfirmation() const;
    /**
     * Removes kept upstreams and evacuations whose grace time is over, and upstreams whose entry was deleted while another
     * instance had contact.
     */
    MirrorChanges tick(Instant now);

    /** Null before the first valid route set. */
    [[nodiscard]] std::shared_ptr<const RouteIndex> routes() const;
    /** Upstreams of all services, draining ones included. */
    [[nodiscard]] std::vector<UpstreamRecord> upstreams() const;
    [[nodiscard]] const std::map<std::string, StateObject> &instances() const;
    /** Zones whose upstreams get no further requests. */
    [[nodiscard]] const EvacuationTable &evacuations() const;
    /**
     * All objects of @p kind, and as deletions the upstreams that are kept after a possible expiry and the evacuations that
     * have ended; empty for kinds that instances do not replicate.
     */
    [[nodiscard]] std::vector<StateChange> objects(StateKind kind, Instant now) const;
    /**
     * Returns the changes of the upstreams after revision @p from, oldest first. Returns nothing when removals since then may
     * have been forgotten.
     */
    [[nodiscard]] std::optional<std::vector<StateChange>> upstreamChangesSince(Revision from, Instant now) const;
    /** Hash over all objects of @p kind, independent of the order in which they arrived. */
    [[nodiscard]] std::uint64_t hash(StateKind kind) const;
    /** Returns routesHash() of the route set in force; 0 if there is none. */
    [[nodiscard]] std::uint64_t routesHash() const;
    /** Revision from which a watch of @p kind starts; empty before the first listing. */
    [[nodiscard]] std::optional<Revision> revision(StateKind kind) const;

private:
    /** Why an upstream stays in use although the store no longer has its entry. */
    struct Expiry {
        /** End of the grace time. */
        Instant removeAt;
        /** Last response of the store before the suspected outage. */
        Instant lastContact;
        /** When this instance learned of the deletion. */
        Instant learnedAt;
        StateSource source = StateSource::Store;
        /** The store may have lost the entry by its return from an older copy, whether there was contact or not. */
        bool mayBeLost = false;
    };
    struct UpstreamEntry {
        UpstreamRecord record;
        /** Revision of the entry, or of its deletion while the upstream is kept. */
        Revision revision;
        /** Revision of the last change of the record; a renewal of the entry in the store raises only the revision. */
        Revision changedAt;
        /** Set while the upstream is kept after the deletion of its entry. */
        std::optional<Expiry> expiry;
        std::uint64_t hash = 0;
    };
    /** A reported deletion. */
    struct Deletion {
        std::string name;
        Revision revision;
        StateSource source = StateSource::Store;
        /** Of a report of another instance that suspects an outage. */
        std::optional<PossibleExpiry> expiry;
        /** The object is absent from a listing; nothing reports that it was deleted. */
        bool isAbsence = false;
    };

    void apply(StateKind kind, StateObject object, StateSource source, MirrorChanges &changes);
    /** Adds a malformed object to @p changes unless the same revision of it was rejected before. */
    void reject(const StateObject &object, const std::string &reason, MirrorChanges &changes);
    void applyRoutes(StateObject object, StateSource source, MirrorChanges &changes);
    /**
     * Whether @p received replaces the routes in force: its version is higher, or it is the same and the accounts differ, because
     * the store changed them later or those in force came through an instance of a program version that does not pass them on.
     */
    [[nodiscard]] bool isNewer(const RouteSet &received, Revision revision) const;
    /** Whether @p received has other routes under the known version, and the known ones may be wrong. */
    [[nodiscard]] bool isCorrection(const RouteSet &received, Revision revision, StateSource source) const;
    void applyUpstream(StateObject object, MirrorChanges &changes);
    void remove(StateKind kind, const Deletion &deletion, Instant now, MirrorChanges &changes);
    void removeUpstream(const Deletion &deletion, Instant now, MirrorChanges &changes);
    void removeEvacuation(const Deletion &deletion, Instant now, MirrorChanges &changes);
    void startEvacuation(StateObject object, StateSource source, MirrorChanges &changes);
    /** Keeps an evacuation whose entry the store may have lost for a grace time. */
    void markMissing(const Deletion &deletion, Instant now, MirrorChanges &changes);
    /**
     * Whether @p deletion only shows that a copy of the store lacks an entry of @p kind that was written before the store's
     * return: the entry has the revision @p known, and the state as a whole has not been confirmed since the return either.
     */
    [[nodiscard]] bool mayBeLost(StateKind kind, const Deletion &deletion, Revision known) const;
    /** Returns why @p entry is kept after @p deletion; empty if it is removed at once. */
    [[nodiscard]] std::optional<Expiry> expiryOf(const UpstreamEntry &entry, const Deletion &deletion, Instant now) const;
    /** Adds upstreams that another instance keeps. */
    void addKeptUpstreams(std::vector<StateChange> kept, Instant now, MirrorChanges &changes);
    void rememberRemoval(const std::string &name, Revision revision);
    [[nodiscard]] std::vector<std::string> namesOf(StateKind kind) const;
    /** Whether @p name is an upstream that stays in use after the deletion of its entry. */
    [[nodiscard]] bool isKept(StateKind kind, const std::string &name) const;
    [[nodiscard]] static PossibleExpiry toPossibleExpiry(const Expiry &expiry, Instant now);
    [[nodiscard]] static StateChange removalOf(const std::string &name, Revision revision);
    [[nodiscard]] static StateChange listedObject(const std::string &name, const UpstreamEntry &entry);
    /** The deletion of an entry whose upstream is kept, as it is sent to other instances. */
    [[nodiscard]] static StateChange keptDeletion(const std::string &name, const UpstreamEntry &entry, Instant now);

    StateMirrorOptions m_options;
    std::shared_ptr<const RouteIndex> m_routes;
    bool m_areRoutesContradicted = false;
    std::string m_routesName;
    Revision m_routesRevision;
    std::map<std::string, UpstreamEntry> m_upstreams;
    /** Sum of the hashes of all entries in m_upstreams that the store has. */
    std::uint64_t m_upstreamsHash = 0;
    /** The last removals, oldest first. */
    std::deque<std::pair<std::string, Revision>> m_removals;
    /** Revision after which m_removals has all removals; empty before the first listing. */
    std::optional<Revision> m_removalsSince;
    std::map<std::string, StateObject> m_instances;
    EvacuationTable m_evacuations;
    /** Revisions of the malformed objects that were rejected most recently, by name. */
    std::map<std::string, Revision> m_rejected;
    std::map<StateKind, Revision> m_revisions;
    KnownEra m_knownEra;
    StoreContact m_contact;
    StartConfirmation m_startConfirmation;
};

} // namespace Filbertmount
