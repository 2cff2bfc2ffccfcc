#pragma once

#include "edge/fleet.h"

#include <filbertmount/edge/pullbackoff.h>
#include <filbertmount/edge/readerelection.h>
#include <filbertmount/edge/statemirror.h>
#include <filbertmount/routes/routesetdelta.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Filbertmount {

/**
 * Spreads routes and upstreams between instances, so that few of them read the store. Lives on the IoLoop.
 *
 * An instance that got an answer of the store tells all others what changed, and a digest of what it knows. One that
 * misses something asks the sender for all of it. An instance that knows nothing yet asks any other.
 */
class StateReplicator
{
public:
    using ChangeHandler = std::function<void(const MirrorChanges &)>;

    StateReplicator(StateMirror &mirror, Fleet &fleet, const ReaderElectionOptions &election, ChangeHandler onChange);

    /** @p reader reads one kind from the store once; used for sets that are too large to be sent to all. */
    void setStoreReader(std::function<void(StateKind)> reader);

    /** The store answered; @p before is the revision that was known until then. */
    void noteStoreAnswer(StateKind kind, std::optional<Revision> before, const MirrorChanges &changes, Instant now);
    /** Tells the others of changes that came without an answer of the store, such as the end of a grace. */
    void publishChanges(const MirrorChanges &changes, Instant now);
    /** Whether this instance should read @p kind from the store now. */
    bool shouldRead(StateKind kind, Instant now);
    /** The process stood still: the age of what was heard is not known. */
    void forgetConfirmations();
    /** Repeats digests and asks again; call every 50 ms or so. */
    void tick(Instant now);

private:
    struct KindState {
        ReaderElection election;
        /** Last time the store answered this instance. */
        std::optional<Instant> confirmedAt;
        /** When the digest is sent once more, in case it was lost. */
        std::optional<Instant> repeatAt;
        /** When the others were told last that this instance asks the store. */
        std::optional<Instant> seekingSentAt;
        PullBackoff pulls;
        /** The last attempt to get a large set asked the store; the next one asks an instance, should the store not answer. */
        bool wasStoreAskedLast = false;
        /** Parts of a set of objects that is being received. */
        InstanceId partsFrom;
        std::uint64_t partsRevision = 0;
        std::map<std::uint32_t, std::vector<StateObject>> parts;
    };

    void setHandlers();
    void sendChanges(StateKind kind, Revision base, const std::vector<StateChange> &changes, Instant now);
    /** Whether the objects of @p kind are read from the store rather than sent around when all of them change. */
    [[nodiscard]] bool isLarge(StateKind kind) const;
    /** Gets everything that @p digest of @p from stands for. */
    void fetchNewerState(StateKind kind, const InstanceId &from, const Wire::StateDigest &digest, Instant now);
    /** Sends changes to all, unless they are long and another reader comes first or each one reads them. */
    void sendPushes(StateKind kind, Revision base, std::vector<Wire::StatePush> pushes, Instant now);
    /** Sends the difference to the routes that the others know; returns false when it is too long for one message. */
    bool sendRoutesDelta(Revision base, const StateChange &change);
    /** Applies a difference of route sets; returns false when everything has to be asked for. */
    bool applyRoutesDelta(const Wire::SharedObject &object, const RouteSetDelta &delta, Revision revision);
    void sendDigest(StateKind kind, Instant now);
    void sendFullState(StateKind kind, const InstanceId &to);
    /** Asks for everything of at least @p wanted, of which @p from has told. */
    void pullIfDue(StateKind kind, const InstanceId &from, Revision wanted, Instant now);
    void sendPull(StateKind kind, const InstanceId &from, Revision wanted);
    /** Who is asked for what @p from has told: a small machine must not send a long state to a whole fleet. */
    [[nodiscard]] InstanceId pullSource(const InstanceId &from);
    /** Sends to all, or only to those that the others ask when this instance's machine is small. */
    void sendBulk(const Wire::Envelope &envelope);
    void pullMissingKinds(Instant now);
    void onDigest(const InstanceId &from, const Wire::StateDigest &digest);
    void onPull(const InstanceId &from, const Wire::StatePull &pull);
    void onPush(const InstanceId &from, const Wire::StatePush &push);
    void receivePart(const InstanceId &from, StateKind kind, const Wire::StatePush &push, std::vector<StateObject> objects);
    [[nodiscard]] Wire::Body digestBody(StateKind kind, Instant now) const;
    void followMembers();
    /** Tells the others that this instance asks a store that does not answer, so that few do. */
    void sendSeeking(StateKind kind, Instant now);

    StateMirror &m_mirror;
    Fleet &m_fleet;
    ChangeHandler m_onChange;
    std::function<void(StateKind)> m_readStore;
    std::map<StateKind, KindState> m_kinds;
    /** The version of the routes that the others know as far as this instance can tell. */
    std::shared_ptr<const RouteIndex> m_deltaBaseRoutes;
    std::vector<InstanceId> m_coordinators;
    std::uint64_t m_memberVersion = 0;
    std::size_t m_nextAsked = 0;
};

} // namespace Filbertmount
