#include "edge/statereplicator.h"

#include "edge/statewire.h"
#include "peer/wiretime.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// A digest may be lost; it is repeated before the receivers consider their state stale.
constexpr Duration DigestRepeatDelay = std::chrono::milliseconds(250);
// Two reports fit into ReaderElectionOptions::seekingTimeout, so that the loss of one does no harm.
constexpr Duration SeekingInterval = std::chrono::milliseconds(500);

} // namespace

StateReplicator::StateReplicator(StateMirror &mirror, Fleet &fleet, const StateReplicatorOptions &options, ChangeHandler onChange)
    : m_mirror(mirror)
    , m_fleet(fleet)
    , m_onChange(std::move(onChange))
{
    const Instant now = ProcessClock::now();
    std::vector<StateKind> kinds{StateKind::Routes, StateKind::Upstreams};
    if (options.hasEvacuations) {
        kinds.push_back(StateKind::Evacuations);
    }
    for (const StateKind kind : kinds) {
        m_kinds.emplace(kind, KindState{.election = ReaderElection(kind, fleet.self(), now, options.election)});
    }
    setHandlers();
}

std::optional<StateKind> StateReplicator::replicatedKind(Wire::StateKind wire) const
{
    const std::optional<StateKind> kind = fromWire(wire);
    return kind && m_kinds.contains(*kind) ? kind : std::nullopt;
}

void StateReplicator::setHandlers()
{
    using Wire::Body;
    m_fleet.setHandler(Body::kStateDigest, [this](const InstanceId &from, const Body &body) {
        onDigest(from, body.state_digest());
    });
    m_fleet.setHandler(Body::kStatePull, [this](const InstanceId &from, const Body &body) {
        onPull(from, body.state_pull());
    });
    m_fleet.setHandler(Body::kStateSeek, [this](const InstanceId &from, const Body &body) {
        if (const std::optional<StateKind> kind = replicatedKind(body.state_seek().kind())) {
            m_kinds.at(*kind).election.recordSeeking(from, ProcessClock::now());
        }
    });
    m_fleet.setHandler(Body::kStatePush, [this](const InstanceId &from, const Body &body) {
        onPush(from, body.state_push());
    });
}

Wire::Body StateReplicator::digestBody(StateKind kind, Instant confirmedAt, Instant now) const
{
    Wire::Body body;
    Wire::StateDigest &digest = *body.mutable_state_digest();
    digest.set_kind(*toWire(kind));
    setRevision(digest, m_mirror.revision(kind).value_or(Revision()));
    digest.set_hash(m_mirror.hash(kind));
    if (kind == StateKind::Routes) {
        digest.set_routes_hash(m_mirror.routesHash());
    }
    digest.set_age_us(toMicroseconds(now - confirmedAt));
    if (const std::optional<ContactSpan> &span = m_mirror.contact().span(); span && span->since <= confirmedAt) {
        digest.set_contact_us(toMicroseconds(confirmedAt - span->since));
    }
    digest.set_large(isLarge(kind));
    return body;
}

bool StateReplicator::isLarge(StateKind kind) const
{
    return kind == StateKind::Routes && routesWireBytes() > MaxPushBytes;
}

std::size_t StateReplicator::routesWireBytes() const
{
    const std::shared_ptr<const RouteIndex> routes = m_mirror.routes();
    if (routes != m_measuredRoutes) {
        m_measuredRoutes = routes;
        m_measuredBytes = routes ? wireBytes(routes->routes()) : 0;
    }
    return m_measuredBytes;
}

void StateReplicator::setLister(Lister lister)
{
    m_lister = std::move(lister);
}

void StateReplicator::sendDigest(StateKind kind, Instant now)
{
    Wire::Envelope envelope;
    *envelope.add_bodies() = digestBody(kind, m_kinds.at(kind).confirmedAt.value_or(now), now);
    m_fleet.sendToAll(envelope);
    // The changes before the digest took the same way, so that the digest does not overtake them.
    m_fleet.rotateRelays();
}

void StateReplicator::sendChanges(StateKind kind, Revision base, const std::vector<StateChange> &changes, Instant now)
{
    const bool isSentAsDelta = kind == StateKind::Routes && !changes.empty() && sendRoutesDelta(base, changes.back());
    if (!changes.empty() && !isSentAsDelta) {
        sendPushes(kind, base, toPushes(kind, changes), now);
    }
    // If a part is lost, the hash of the digest differs and the receiver pulls the full state.
    sendDigest(kind, now);
    m_deltaBaseRoutes = m_mirror.routes();
}

void StateReplicator::sendPushes(StateKind kind, Revision base, std::vector<Wire::StatePush> pushes, Instant now)
{
    const bool isMultiPart = pushes.size() > 1;
    // Sending a large route set to all instances saturates the sender's link for seconds, so each instance reads it from the
    // store. After an outage there are several readers; only the first one sends, since the same state from each of them would
    // saturate the links too. In both cases the digest announces the change.
    const bool isDigestOnly = isMultiPart && (isLarge(kind) || !m_kinds.at(kind).election.isFirstReader(now));
    logLine(LogLevel::Info,
            isDigestOnly ? "announcing changes to the other instances by a digest" : "sending changes to the other instances",
            {{.name = "kind", .value = std::string(stateKindName(kind))},
             {.name = "base", .value = static_cast<std::int64_t>(base.value())},
             {.name = "parts", .value = static_cast<std::int64_t>(pushes.size())}});
    if (isDigestOnly) {
        return;
    }
    for (std::size_t part = 0; part < pushes.size(); ++part) {
        Wire::StatePush &push = pushes[part];
        if (kind == StateKind::Routes) {
            // A route set is one object, so the receiver needs all of its parts.
            push.set_part(static_cast<std::uint32_t>(part));
            push.set_parts(static_cast<std::uint32_t>(pushes.size()));
        } else if (isMultiPart) {
            push.set_difference_part(static_cast<std::uint32_t>(part));
            push.set_difference_parts(static_cast<std::uint32_t>(pushes.size()));
        }
        setBase(push, base);
        setRevision(push, m_mirror.revision(kind).value_or(Revision()));
        Wire::Envelope envelope;
        *envelope.add_bodies()->mutable_state_push() = std::move(push);
        if (kind == StateKind::Evacuations) {
            // A few dozen bytes that must take effect soon; a pull by each instance would take longer and cost more.
            m_fleet.sendToAll(envelope);
        } else {
            sendToAllOrCoordinators(envelope);
        }
    }
}

bool StateReplicator::sendRoutesDelta(Revision base, const StateChange &change)
{
    const auto *routes = std::get_if<RouteSet>(&change.object.value);
    if (routes == nullptr || !m_deltaBaseRoutes) {
        return false;
    }
    const std::optional<RouteSetDelta> delta = computeDelta(m_deltaBaseRoutes->routes(), *routes);
    if (!delta) {
        return false;
    }
    Wire::SharedObject object = toWire(change, *delta);
    if (object.ByteSizeLong() > MaxPushBytes) {
        return false;
    }
    Wire::Envelope envelope;
    Wire::StatePush &push = *envelope.add_bodies()->mutable_state_push();
    push.set_kind(*toWire(StateKind::Routes));
    setBase(push, base);
    setRevision(push, m_mirror.revision(StateKind::Routes).value_or(Revision()));
    *push.add_objects() = std::move(object);
    m_fleet.sendToAll(envelope);
    return true;
}

bool StateReplicator::applyRoutesDelta(const Wire::SharedObject &object, const RouteSetDelta &delta, Revision revision)
{
    const std::shared_ptr<const RouteIndex> known = m_mirror.routes();
    if (!known) {
        return false;
    }
    if (known->version() >= delta.changes.version) {
        return true;
    }
    std::optional<RouteSet> routes = applyDelta(known->routes(), delta);
    if (!routes) {
        return false;
    }
    const Instant now = ProcessClock::now();
    StateObject whole{.name = object.name(), .revision = positionOf(object), .value = std::move(*routes)};
    const StateChanges received{.changes = {{.object = std::move(whole), .isDeleted = false}}, .storeRevision = revision};
    const MirrorChanges changes = m_mirror.applyChanges(StateKind::Routes, received, now, StateSource::Instance);
    recordReceived(StateKind::Routes, now);
    m_onChange(changes);
    m_deltaBaseRoutes = m_mirror.routes();
    return true;
}

void StateReplicator::onStoreResponse(StateKind kind, std::optional<Revision> before, const MirrorChanges &changes, Instant now)
{
    recordConfirmation(kind, now);
    m_kinds.at(kind).repeatAt = now + DigestRepeatDelay;
    if (before) {
        sendChanges(kind, *before, changes.of(kind), now);
    } else {
        sendDigest(kind, now);
    }
}

void StateReplicator::onConfirmed(StateKind kind, Instant now)
{
    recordConfirmation(kind, now);
    sendDigest(kind, now);
}

void StateReplicator::recordConfirmation(StateKind kind, Instant now)
{
    KindState &state = m_kinds.at(kind);
    state.confirmedAt = now;
    state.behindSince.reset();
    state.election.recordConfirmation(m_fleet.self(), now);
    m_mirror.startConfirmation().record(kind, StateCertainty::Current, now);
}

std::optional<Instant> StateReplicator::confirmedAt(StateKind kind) const
{
    const KindState &state = m_kinds.at(kind);
    const bool mayBeOlder = m_mirror.revision(kind).value_or(Revision()) <= state.announced.revision;
    return mayBeOlder && state.announced.hash != m_mirror.hash(kind) ? std::nullopt : state.election.lastConfirmed();
}

std::optional<Duration> StateReplicator::behindFor(StateKind kind, Instant now) const
{
    const std::optional<Instant> since = m_kinds.at(kind).behindSince;
    return since ? std::optional(now - *since) : std::nullopt;
}

bool StateReplicator::shouldRead(StateKind kind, Instant now)
{
    return m_kinds.at(kind).election.updateRole(now);
}

void StateReplicator::forgetConfirmations()
{
    for (auto &[kind, state] : m_kinds) {
        state.election.forgetConfirmations();
    }
    m_mirror.contact().forgetSpan();
}

void StateReplicator::followMembers()
{
    if (m_fleet.memberVersion() == m_memberVersion) {
        return;
    }
    m_memberVersion = m_fleet.memberVersion();
    const std::vector<InstanceId> members = m_fleet.memberIds();
    m_coordinators = m_fleet.coordinatorIds();
    for (auto &[kind, state] : m_kinds) {
        state.election.setMembers(members, m_coordinators);
    }
}

void StateReplicator::tick(Instant now)
{
    followMembers();
    for (auto &[kind, state] : m_kinds) {
        if (state.repeatAt && now >= *state.repeatAt) {
            state.repeatAt.reset();
            sendDigest(kind, now);
        }
        sendSeeking(kind, now);
    }
    pullMissingKinds(now);
    requestConfirmations(now);
}

void StateReplicator::sendSeeking(StateKind kind, Instant now)
{
    KindState &state = m_kinds.at(kind);
    const bool wasSentLately = state.seekingSentAt && now - *state.seekingSentAt < SeekingInterval;
    if (wasSentLately || !state.election.isSeeking(now)) {
        return;
    }
    state.seekingSentAt = now;
    Wire::Envelope envelope;
    envelope.add_bodies()->mutable_state_seek()->set_kind(*toWire(kind));
    m_fleet.sendToAll(envelope);
}

InstanceId StateReplicator::pullSource(const InstanceId &from)
{
    const bool isCoordinator = std::find(m_coordinators.begin(), m_coordinators.end(), from) != m_coordinators.end();
    for (std::size_t tries = 0; !isCoordinator && tries < m_coordinators.size(); ++tries) {
        const InstanceId &source = m_coordinators[m_nextPullSource++ % m_coordinators.size()];
        if (source != m_fleet.self()) {
            return source;
        }
    }
    return from;
}

void StateReplicator::sendToAllOrCoordinators(const Wire::Envelope &envelope)
{
    const InstanceId &self = m_fleet.self();
    if (std::find(m_coordinators.begin(), m_coordinators.end(), self) != m_coordinators.end()) {
        m_fleet.sendToAll(envelope);
        return;
    }
    for (const InstanceId &coordinator : m_coordinators) {
        m_fleet.send(coordinator, envelope);
    }
}

void StateReplicator::onDigest(const InstanceId &from, const Wire::StateDigest &digest)
{
    const std::optional<StateKind> kind = replicatedKind(digest.kind());
    if (!kind) {
        return;
    }
    const Instant now = ProcessClock::now();
    const Instant confirmedAt = now - fromMicroseconds(digest.age_us());
    m_mirror.contact().recordSpan({.since = confirmedAt - fromMicroseconds(digest.contact_us()), .until = confirmedAt});
    const Revision theirs = positionOf(digest);
    if (digest.has_era()) {
        m_mirror.knownEra().record(theirs.era());
    }
    const std::optional<Revision> own = m_mirror.revision(*kind);
    const bool hasSameObjects = own && digest.hash() == m_mirror.hash(*kind);
    const bool hasOtherRoutes =
        hasSameObjects && *kind == StateKind::Routes && digest.has_routes_hash() && digest.routes_hash() != m_mirror.routesHash();
    if (hasSameObjects && !hasOtherRoutes) {
        const bool isCurrent = now - confirmedAt <= StartConfirmation::MaxAge;
        m_mirror.startConfirmation().record(*kind, isCurrent ? StateCertainty::Current : StateCertainty::Instance, now);
    }
    if (own && theirs < *own) {
        return;
    }
    KindState &state = m_kinds.at(*kind);
    if (theirs >= state.announced.revision) {
        state.announced = {.revision = theirs, .hash = digest.hash(), .confirmedAt = confirmedAt};
    }
    if (hasOtherRoutes) {
        logLine(
            LogLevel::Warning,
            "another instance has other routes under the same version",
            {{.name = "from", .value = from.value()}, {.name = "revision", .value = static_cast<std::int64_t>(theirs.value())}});
        m_mirror.recordContradiction();
    }
    if (hasSameObjects && !hasOtherRoutes) {
        m_mirror.advanceRevision(*kind, theirs);
        state.behindSince.reset();
        state.pulls.reset();
        state.wasLastFetchListing = false;
        state.election.recordConfirmation(from, confirmedAt);
        return;
    }
    state.behindSince = state.behindSince.value_or(now);
    fetchNewerState(*kind, from, digest, now);
}

void StateReplicator::fetchNewerState(StateKind kind, const InstanceId &from, const Wire::StateDigest &digest, Instant now)
{
    KindState &state = m_kinds.at(kind);
    // A pull would share a slow link with the listing, and the result of both would arrive later.
    const bool isListing = m_lister && m_lister->isRunning(kind);
    if (isListing || !state.pulls.tryPull(now)) {
        return;
    }
    if (!digest.large() || !m_lister || state.wasLastFetchListing) {
        state.wasLastFetchListing = false;
        sendPull(kind, from, positionOf(digest));
        return;
    }
    state.wasLastFetchListing = true;
    // Defers pulls from other instances while the store's response is pending.
    state.pulls.recordPart(now);
    m_lister->start(kind);
}

void StateReplicator::recordReceived(StateKind kind, Instant now)
{
    const Announcement &announced = m_kinds.at(kind).announced;
    const bool isAnnounced = announced.confirmedAt && announced.hash == m_mirror.hash(kind);
    const bool isCurrent = isAnnounced && now - *announced.confirmedAt <= StartConfirmation::MaxAge;
    m_mirror.startConfirmation().record(kind, isCurrent ? StateCertainty::Current : StateCertainty::Instance, now);
}

void StateReplicator::onPush(const InstanceId &from, const Wire::StatePush &push)
{
    const std::optional<StateKind> kind = replicatedKind(push.kind());
    if (!kind) {
        return;
    }
    const std::optional<RouteSetDelta> delta = push.objects_size() == 1 ? deltaFromWire(push.objects(0)) : std::nullopt;
    if (delta) {
        if (!applyRoutesDelta(push.objects(0), *delta, positionOf(push))) {
            pullIfDue(*kind, from, positionOf(push), ProcessClock::now());
        }
        return;
    }
    std::vector<StateChange> changes;
    changes.reserve(static_cast<std::size_t>(push.objects_size()));
    for (const Wire::SharedObject &object : push.objects()) {
        if (std::optional<StateChange> change = fromWire(object, *kind, m_mirror.knownEra().first())) {
            changes.push_back(std::move(*change));
        }
    }
    if (push.parts() > 0 || push.difference_parts() > 0) {
        receivePart(from, *kind, push, std::move(changes));
        return;
    }
    const std::optional<Revision> own = m_mirror.revision(*kind);
    if (!own) {
        pullIfDue(*kind, from, positionOf(push), ProcessClock::now());
        return;
    }
    if (positionOf(push) < *own) {
        return;
    }
    // Each change is valid by itself. The digest that follows shows whether earlier ones were missed.
    applyDifference(*kind, push, std::move(changes), ProcessClock::now());
}

void StateReplicator::applyDifference(StateKind kind, const Wire::StatePush &push, std::vector<StateChange> received, Instant now)
{
    const Revision own = *m_mirror.revision(kind);
    const StoreEra baseEra = push.has_base_era() ? StoreEra(push.base_era()) : m_mirror.knownEra().first();
    const bool isComplete = own >= Revision(push.base(), baseEra);
    const Revision revision = isComplete ? positionOf(push) : own;
    const MirrorChanges changes =
        m_mirror.applyChanges(kind, {.changes = std::move(received), .storeRevision = revision}, now, StateSource::Instance);
    if (isComplete) {
        recordReceived(kind, now);
    }
    m_onChange(changes);
}

void StateReplicator::receivePart(const InstanceId &from,
                                  StateKind kind,
                                  const Wire::StatePush &push,
                                  std::vector<StateChange> changes)
{
    const bool isDifference = push.difference_parts() > 0;
    ChangePart received{.from = from,
                        .revision = positionOf(push),
                        .isDifference = isDifference,
                        .part = isDifference ? push.difference_part() : push.part(),
                        .parts = isDifference ? push.difference_parts() : push.parts(),
                        .changes = std::move(changes)};
    if (!received.isValid()) {
        return;
    }
    KindState &state = m_kinds.at(kind);
    std::optional<std::vector<StateChange>> all = state.incoming.add(std::move(received));
    if (!all) {
        state.pulls.recordPart(ProcessClock::now());
        return;
    }
    state.pulls.reset();
    applyParts(kind, push, std::move(*all));
}

void StateReplicator::applyParts(StateKind kind, const Wire::StatePush &lastPart, std::vector<StateChange> all)
{
    const Instant now = ProcessClock::now();
    const Revision revision = positionOf(lastPart);
    const std::optional<Revision> own = m_mirror.revision(kind);
    if (lastPart.difference_parts() > 0) {
        // Without the base, the changes are valid, but earlier ones are missing.
        if (own && *own < revision) {
            applyDifference(kind, lastPart, std::move(all), now);
        }
        return;
    }
    if (kind != StateKind::Routes) {
        const MirrorChanges changes = m_mirror.applyFullState(kind, std::move(all), revision, now);
        recordReceived(kind, now);
        m_onChange(changes);
        return;
    }
    std::vector<StateObject> objects;
    objects.reserve(all.size());
    for (StateChange &change : all) {
        objects.push_back(std::move(change.object));
    }
    const MirrorChanges changes =
        m_mirror.applyListing(kind, joinPieces(std::move(objects)), revision, now, StateSource::Instance);
    recordReceived(kind, now);
    m_onChange(changes);
    m_deltaBaseRoutes = m_mirror.routes();
}

} // namespace Filbertmount
