#pragma once

#include "edge/fleet.h"
#include "edge/partcollector.h"
#include "edge/statewire.h"

#include <filbertmount/edge/pullbackoff.h>
#include <filbertmount/edge/readerelection.h>
#include <filbertmount/edge/statemirror.h>
#include <filbertmount/routes/routesetdelta.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Filbertmount {

/** What a StateReplicator replicates, and how readers are elected. */
struct StateReplicatorOptions {
    ReaderElectionOptions election;
    /** Whether evacuations of zones are replicated; messages on them are ignored otherwise. */
    bool hasEvacuations = false;
};

/**
 * Replicates routes, upstreams and evacuations between instances, so that few of them read the store. Runs on the IoLoop.
 *
 * An instance that receives a response from the store pushes the changes and a digest of its state to all others. An instance
 * whose state is older than the digest pulls the later changes from the sender; one whose state differs although it is not older,
 * or whose missing changes are no longer known, pulls all objects. An instance without a state pulls it from any other one, and
 * one whose state is not confirmed since its start asks others for their digests (see StartConfirmation).
 */
class StateReplicator
{
public:
    using ChangeHandler = std::function<void(const MirrorChanges &)>;

    /** Lists one kind from the store, for states that are too large to be sent to all instances (see SingleListing). */
    struct Lister {
        std::function<void(StateKind)> start;
        /** Whether a listing is in progress. */
        std::function<bool(StateKind)> isRunning;
    };

    StateReplicator(StateMirror &mirror, Fleet &fleet, const StateReplicatorOptions &options, ChangeHandler onChange);

    void setLister(Lister lister);

    /**
     * Records that the store confirmed the state, and sends the changes in its response and a digest to the other instances.
     * @param before the mirror's revision before the response; empty before the first one
     */
    void onStoreResponse(StateKind kind, std::optional<Revision> before, const MirrorChanges &changes, Instant now);
    /** Records that the store confirmed the state in a single listing, and sends a digest to the other instances. */
    void onConfirmed(StateKind kind, Instant now);
    /**
     * Returns when the store last confirmed this instance's state of @p kind to any instance; nothing if unknown, or if another
     * instance has announced a state that this one does not have yet.
     */
    [[nodiscard]] std::optional<Instant> confirmedAt(StateKind kind) const;
    /** Returns how long ago another instance first announced a state that this one does not have yet; nothing if none did. */
    [[nodiscard]] std::optional<Duration> behindFor(StateKind kind, Instant now) const;
    /** Whether this instance should read @p kind from the store now. */
    bool shouldRead(StateKind kind, Instant now);
    /** Discards received confirmations and contact after a suspension of the process, because their age is unknown. */
    void forgetConfirmations();
    /** Repeats digests and pulls; call about every 50 ms. */
    void tick(Instant now);

private:
    /** The state that another instance announced by a digest. */
    struct Announcement {
        Revision revision;
        std::uint64_t hash = 0;
        /** When the store confirmed it; nothing before the first announcement. */
        std::optional<Instant> confirmedAt = {};
    };

    /** State of the replication of one kind. */
    struct KindState {
        ReaderElection election;
        /** Time of the store's last response to this instance. */
        std::optional<Instant> confirmedAt;
        /** The newest state that another instance announced. */
        Announcement announced;
        /** When a state that this instance does not have yet was first announced. */
        std::optional<Instant> behindSince;
        /** When the digest is sent again, in case it was lost. */
        std::optional<Instant> repeatAt;
        /** When this instance last reported that it is a seeker. */
        std::optional<Instant> seekingSentAt;
        PullBackoff pulls;
        /** Requests for digests that confirm the state after the start. */
        PullBackoff digestRequests;
        /** Whether a large state was last fetched by a single listing; the next fetch is a pull, in case the listing failed. */
        bool wasLastFetchListing = false;
        PartCollector incoming;
    };

    void setHandlers();
    /** Returns the position in the fields revision and era of @p message. */
    template<class Message>
    [[nodiscard]] Revision positionOf(const Message &message) const
    {
        return revisionOf(message, m_mirror.knownEra().first());
    }
    /** Returns nothing for kinds that this instance does not replicate. */
    [[nodiscard]] std::optional<StateKind> replicatedKind(Wire::StateKind wire) const;
    void sendChanges(StateKind kind, Revision base, const std::vector<StateChange> &changes, Instant now);
    /** Whether the state of @p kind is too large to be sent to all instances, so that each one reads it from the store itself. */
    [[nodiscard]] bool isLarge(StateKind kind) const;
    /** Returns how many bytes the routes in force take in messages; 0 if there are none. */
    [[nodiscard]] std::size_t routesWireBytes() const;
    /** Starts a single listing or a pull of the state that @p from announced by @p digest, unless the backoff defers it. */
    void fetchNewerState(StateKind kind, const InstanceId &from, const Wire::StateDigest &digest, Instant now);
    /**
     * Sends @p pushes. Sends nothing when there are several and either another reader sends them or each instance reads the
     * state from the store itself.
     */
    void sendPushes(StateKind kind, Revision base, std::vector<Wire::StatePush> pushes, Instant now);
    /** Sends the difference from m_deltaBaseRoutes; returns false when no delta exists or it does not fit into one message. */
    bool sendRoutesDelta(Revision base, const StateChange &change);
    /** Applies @p delta; returns false when its base is not the current version, so that the full set must be pulled. */
    bool applyRoutesDelta(const Wire::SharedObject &object, const RouteSetDelta &delta, Revision revision);
    void sendDigest(StateKind kind, Instant now);
    void sendFullState(StateKind kind, const InstanceId &to);
    /** Sends the changes of the upstreams after revision @p base; returns false when they are no longer known. */
    bool sendDifference(const InstanceId &to, Revision base);
    /** Requests the full state of at least revision @p wanted, which @p from has, unless the backoff defers it. */
    void pullIfDue(StateKind kind, const InstanceId &from, Revision wanted, Instant now);
    void sendPull(StateKind kind, const InstanceId &from, Revision wanted);
    /** Returns @p from, or a coordinator if @p from is none: a small machine cannot send the full state to a whole fleet. */
    [[nodiscard]] InstanceId pullSource(const InstanceId &from);
    /** Sends to all if this instance is a coordinator, else only to the coordinators, from which the others pull. */
    void sendToAllOrCoordinators(const Wire::Envelope &envelope);
    void pullMissingKinds(Instant now);
    /** Requests digests from other instances until the state of each kind is confirmed. */
    void requestConfirmations(Instant now);
    /** Returns another member, a different one each time; nothing if there is none. */
    [[nodiscard]] std::optional<InstanceId> nextMember();
    /** Sends a digest if the store has confirmed the state to any instance lately. */
    void sendConfirmation(StateKind kind, const InstanceId &to, Instant now);
    void onDigest(const InstanceId &from, const Wire::StateDigest &digest);
    void onPull(const InstanceId &from, const Wire::StatePull &pull);
    void onPush(const InstanceId &from, const Wire::StatePush &push);
    void receivePart(const InstanceId &from, StateKind kind, const Wire::StatePush &push, std::vector<StateChange> changes);
    /** Records that the store has confirmed the state to this instance. */
    void recordConfirmation(StateKind kind, Instant now);
    /** Applies the changes of @p push; the revision rises only if no earlier change is missing. */
    void applyDifference(StateKind kind, const Wire::StatePush &push, std::vector<StateChange> received, Instant now);
    /** Records that this instance has received the state of another one, which may be the one that was announced. */
    void recordReceived(StateKind kind, Instant now);
    /** Applies a complete set of parts. */
    void applyParts(StateKind kind, const Wire::StatePush &lastPart, std::vector<StateChange> all);
    /** @param confirmedAt when the store confirmed the state */
    [[nodiscard]] Wire::Body digestBody(StateKind kind, Instant confirmedAt, Instant now) const;
    void followMembers();
    /** Reports that this instance is a seeker (see ReaderElection), which limits the number of seekers. */
    void sendSeeking(StateKind kind, Instant now);

    StateMirror &m_mirror;
    Fleet &m_fleet;
    ChangeHandler m_onChange;
    std::optional<Lister> m_lister;
    std::map<StateKind, KindState> m_kinds;
    /** The last routes that were sent to or received from the other instances; deltas are computed against them. */
    std::shared_ptr<const RouteIndex> m_deltaBaseRoutes;
    /** The routes that routesWireBytes() measured last, and the result. */
    mutable std::shared_ptr<const RouteIndex> m_measuredRoutes;
    mutable std::size_t m_measuredBytes = 0;
    std::vector<InstanceId> m_coordinators;
    std::uint64_t m_memberVersion = 0;
    /** Counts pulls, to spread them over the members or the coordinators. */
    std::size_t m_nextPullSource = 0;
};

} // namespace Filbertmount
