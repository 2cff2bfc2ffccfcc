#include "edge/statespread.h"

#include "edge/statewire.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// Objects of one datagram; an upstream takes about 110 bytes.
constexpr std::size_t ObjectsPerPart = 40;
constexpr std::uint32_t MaxParts = 4096;
// A digest may be lost; its repetition comes before the receivers count it as missing.
constexpr Duration DigestRepeat = std::chrono::milliseconds(250);
constexpr Duration PullInterval = std::chrono::milliseconds(100);

} // namespace

StateSpread::StateSpread(StateMirror &mirror, Fleet &fleet, ChangeHandler onChange)
    : m_mirror(mirror)
    , m_fleet(fleet)
    , m_onChange(std::move(onChange))
{
    const Instant now = ProcessClock::now();
    for (const StateKind kind : {StateKind::Routes, StateKind::Upstreams}) {
        m_kinds.emplace(kind, KindState{.election = ReaderElection(kind, fleet.self(), now)});
    }
    setHandlers();
}

void StateSpread::setHandlers()
{
    using Wire::Body;
    m_fleet.setHandler(Body::kStateDigest, [this](const InstanceId &from, const Body &body) {
        onDigest(from, body.state_digest());
    });
    m_fleet.setHandler(Body::kStatePull, [this](const InstanceId &from, const Body &body) {
        onPull(from, body.state_pull());
    });
    m_fleet.setHandler(Body::kStatePush, [this](const InstanceId &from, const Body &body) {
        onPush(from, body.state_push());
    });
}

Wire::Body StateSpread::digestBody(StateKind kind, Instant now) const
{
    Wire::Body body;
    Wire::StateDigest &digest = *body.mutable_state_digest();
    digest.set_kind(*toWire(kind));
    digest.set_revision(m_mirror.revision(kind).value_or(Revision()).value());
    digest.set_hash(m_mirror.hash(kind));
    const Duration age = now - m_kinds.at(kind).confirmed.value_or(now);
    digest.set_age_us(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(age).count()));
    return body;
}

void StateSpread::sendDigest(StateKind kind, Instant now)
{
    Wire::Envelope envelope;
    *envelope.add_bodies() = digestBody(kind, now);
    m_fleet.sendToAll(envelope);
}

void StateSpread::sendChanges(StateKind kind, Revision base, const std::vector<StateChange> &changes, Instant now)
{
    Wire::Envelope envelope;
    // More than fits into one message is left to the digest, after which the receivers ask for everything.
    if (!changes.empty() && changes.size() <= ObjectsPerPart) {
        Wire::StatePush &push = *envelope.add_bodies()->mutable_state_push();
        push.set_kind(*toWire(kind));
        push.set_base(base.value());
        push.set_revision(m_mirror.revision(kind).value_or(Revision()).value());
        for (const StateChange &change : changes) {
            *push.add_objects() = toWire(change);
        }
    }
    *envelope.add_bodies() = digestBody(kind, now);
    m_fleet.sendToAll(envelope);
}

void StateSpread::noteStoreAnswer(StateKind kind, std::optional<Revision> before, const MirrorChanges &changes, Instant now)
{
    KindState &state = m_kinds.at(kind);
    state.confirmed = now;
    state.election.noteConfirmed(m_fleet.self(), now);
    state.repeatAt = now + DigestRepeat;
    if (before) {
        sendChanges(kind, *before, changes.of(kind), now);
    } else {
        sendDigest(kind, now);
    }
}

void StateSpread::tellChanges(const MirrorChanges &changes, Instant now)
{
    const bool isReader = m_kinds.at(StateKind::Upstreams).election.isReading();
    if (isReader && !changes.upstreams.empty()) {
        const Revision revision = m_mirror.revision(StateKind::Upstreams).value_or(Revision());
        sendChanges(StateKind::Upstreams, revision, changes.upstreams, now);
    }
}

bool StateSpread::shouldRead(StateKind kind, Instant now)
{
    return m_kinds.at(kind).election.decide(now);
}

void StateSpread::forgetConfirmations()
{
    for (auto &[kind, state] : m_kinds) {
        state.election.forgetConfirmations();
    }
}

void StateSpread::followMembers()
{
    if (m_fleet.memberVersion() == m_memberVersion) {
        return;
    }
    m_memberVersion = m_fleet.memberVersion();
    const std::vector<InstanceId> members = m_fleet.memberIds();
    for (auto &[kind, state] : m_kinds) {
        state.election.setMembers(members);
    }
}

void StateSpread::tick(Instant now)
{
    followMembers();
    for (auto &[kind, state] : m_kinds) {
        if (state.repeatAt && now >= *state.repeatAt) {
            state.repeatAt.reset();
            sendDigest(kind, now);
        }
    }
    pullFromAny(now);
}

void StateSpread::pullFromAny(Instant now)
{
    for (auto &[kind, state] : m_kinds) {
        if (m_mirror.revision(kind)) {
            continue;
        }
        const std::vector<InstanceId> members = m_fleet.memberIds();
        if (members.size() < 2) {
            continue;
        }
        const InstanceId &asked = members[m_nextAsked++ % members.size()];
        if (asked != m_fleet.self()) {
            pull(kind, asked, now);
        }
    }
}

void StateSpread::pull(StateKind kind, const InstanceId &from, Instant now)
{
    KindState &state = m_kinds.at(kind);
    if (now - state.lastPull < PullInterval) {
        return;
    }
    state.lastPull = now;
    Wire::Envelope envelope;
    envelope.add_bodies()->mutable_state_pull()->set_kind(*toWire(kind));
    m_fleet.send(from, std::move(envelope));
}

void StateSpread::onPull(const InstanceId &from, const Wire::StatePull &pull)
{
    const std::optional<StateKind> kind = fromWire(pull.kind());
    if (kind && m_mirror.revision(*kind)) {
        sendAll(*kind, from);
    }
}

void StateSpread::sendAll(StateKind kind, const InstanceId &to)
{
    const std::vector<StateChange> objects = m_mirror.objects(kind);
    const auto parts =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, (objects.size() + ObjectsPerPart - 1) / ObjectsPerPart));
    for (std::uint32_t part = 0; part < parts; ++part) {
        Wire::Envelope envelope;
        Wire::StatePush &push = *envelope.add_bodies()->mutable_state_push();
        push.set_kind(*toWire(kind));
        push.set_revision(m_mirror.revision(kind)->value());
        push.set_part(part);
        push.set_parts(parts);
        const std::size_t last = std::min(objects.size(), (part + 1) * ObjectsPerPart);
        for (std::size_t position = part * ObjectsPerPart; position < last; ++position) {
            *push.add_objects() = toWire(objects[position]);
        }
        m_fleet.send(to, std::move(envelope));
    }
}

void StateSpread::onDigest(const InstanceId &from, const Wire::StateDigest &digest)
{
    const std::optional<StateKind> kind = fromWire(digest.kind());
    if (!kind) {
        return;
    }
    const Instant now = ProcessClock::now();
    const Revision theirs(digest.revision());
    const std::optional<Revision> own = m_mirror.revision(*kind);
    if (own && theirs < *own) {
        return;
    }
    if (own && digest.hash() == m_mirror.hash(*kind)) {
        m_mirror.confirm(*kind, theirs);
        m_kinds.at(*kind).election.noteConfirmed(from, now - std::chrono::microseconds(digest.age_us()));
        return;
    }
    pull(*kind, from, now);
}

void StateSpread::onPush(const InstanceId &from, const Wire::StatePush &push)
{
    const std::optional<StateKind> kind = fromWire(push.kind());
    if (!kind) {
        return;
    }
    std::vector<StateChange> changes;
    changes.reserve(static_cast<std::size_t>(push.objects_size()));
    for (const Wire::SharedObject &object : push.objects()) {
        if (std::optional<StateChange> change = fromWire(object, *kind)) {
            changes.push_back(std::move(*change));
        }
    }
    if (push.parts() > 0) {
        std::vector<StateObject> objects;
        objects.reserve(changes.size());
        for (StateChange &change : changes) {
            objects.push_back(std::move(change.object));
        }
        takePart(from, *kind, push, std::move(objects));
        return;
    }
    const std::optional<Revision> own = m_mirror.revision(*kind);
    if (!own || *own < Revision(push.base())) {
        pull(*kind, from, ProcessClock::now());
        return;
    }
    m_onChange(m_mirror.takeChanges(*kind,
                                    {.changes = std::move(changes), .storeRevision = Revision(push.revision())},
                                    ProcessClock::now(),
                                    StateSource::Instance));
}

void StateSpread::takePart(const InstanceId &from, StateKind kind, const Wire::StatePush &push, std::vector<StateObject> objects)
{
    if (push.parts() > MaxParts || push.part() >= push.parts()) {
        return;
    }
    KindState &state = m_kinds.at(kind);
    if (state.partsFrom != from || state.partsRevision != push.revision()) {
        state.parts.clear();
        state.partsFrom = from;
        state.partsRevision = push.revision();
    }
    state.parts[push.part()] = std::move(objects);
    if (state.parts.size() < push.parts()) {
        return;
    }
    std::vector<StateObject> all;
    for (auto &[part, list] : state.parts) {
        std::move(list.begin(), list.end(), std::back_inserter(all));
    }
    state.parts.clear();
    m_onChange(m_mirror.takeListing(kind, std::move(all), Revision(push.revision()), ProcessClock::now(), StateSource::Instance));
}

} // namespace Filbertmount
