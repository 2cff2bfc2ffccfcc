#include "edge/statereplicator.h"

#include "edge/statewire.h"

#include <filbertmount/telemetry/log.h>

namespace Filbertmount {

std::optional<InstanceId> StateReplicator::nextMember()
{
    const std::vector<InstanceId> members = m_fleet.memberIds();
    for (std::size_t tries = 0; tries < members.size(); ++tries) {
        const InstanceId &member = members[m_nextPullSource++ % members.size()];
        if (member != m_fleet.self()) {
            return member;
        }
    }
    return std::nullopt;
}

void StateReplicator::pullMissingKinds(Instant now)
{
    for (auto &[kind, state] : m_kinds) {
        if (m_mirror.revision(kind)) {
            continue;
        }
        if (const std::optional<InstanceId> asked = nextMember()) {
            pullIfDue(kind, *asked, Revision(), now);
        }
    }
}

void StateReplicator::requestConfirmations(Instant now)
{
    for (auto &[kind, state] : m_kinds) {
        const StateCertainty certainty = m_mirror.startConfirmation().certainty(kind);
        if (certainty == StateCertainty::Current) {
            state.digestRequests.reset();
        }
        if (certainty == StateCertainty::None || certainty == StateCertainty::Current) {
            continue;
        }
        const std::optional<InstanceId> asked = nextMember();
        if (!asked || !state.digestRequests.tryPull(now)) {
            continue;
        }
        Wire::Envelope envelope;
        Wire::StatePull &request = *envelope.add_bodies()->mutable_state_pull();
        request.set_kind(*toWire(kind));
        request.set_digest_only(true);
        m_fleet.send(*asked, std::move(envelope));
    }
}

void StateReplicator::sendConfirmation(StateKind kind, const InstanceId &to, Instant now)
{
    const std::optional<Instant> confirmed = confirmedAt(kind);
    if (!confirmed || now - *confirmed > StartConfirmation::MaxAge) {
        return;
    }
    Wire::Envelope envelope;
    *envelope.add_bodies() = digestBody(kind, *confirmed, now);
    m_fleet.send(to, std::move(envelope));
}

void StateReplicator::pullIfDue(StateKind kind, const InstanceId &from, Revision wanted, Instant now)
{
    if (m_kinds.at(kind).pulls.tryPull(now)) {
        sendPull(kind, from, wanted);
    }
}

void StateReplicator::sendPull(StateKind kind, const InstanceId &from, Revision wanted)
{
    Wire::Envelope envelope;
    Wire::StatePull &pull = *envelope.add_bodies()->mutable_state_pull();
    pull.set_kind(*toWire(kind));
    setRevision(pull, wanted);
    const std::optional<Revision> own = m_mirror.revision(kind);
    const bool isOlder = own && *own < wanted && own->era() == wanted.era();
    if (kind == StateKind::Upstreams && isOlder) {
        pull.set_have_revision(own->value());
    }
    m_fleet.send(pullSource(from), std::move(envelope));
}

void StateReplicator::onPull(const InstanceId &from, const Wire::StatePull &pull)
{
    const std::optional<StateKind> kind = replicatedKind(pull.kind());
    const std::optional<Revision> own = kind ? m_mirror.revision(*kind) : std::nullopt;
    const Revision wanted = positionOf(pull);
    if (!own || *own < wanted) {
        return;
    }
    if (pull.digest_only()) {
        sendConfirmation(*kind, from, ProcessClock::now());
        return;
    }
    if (m_mirror.startConfirmation().certainty(*kind) == StateCertainty::OldListing) {
        return;
    }
    if (!m_fleet.canReach(from)) {
        logLine(LogLevel::Info,
                "cannot send the state to an instance whose address is not known",
                {{.name = "kind", .value = std::string(stateKindName(*kind))}, {.name = "to", .value = from.value()}});
    }
    const bool hasState = *kind == StateKind::Upstreams && pull.have_revision() > 0;
    if (!hasState || !sendDifference(from, Revision(pull.have_revision(), wanted.era()))) {
        sendFullState(*kind, from);
    }
}

bool StateReplicator::sendDifference(const InstanceId &to, Revision base)
{
    const std::optional<std::vector<StateChange>> changes = m_mirror.upstreamChangesSince(base, ProcessClock::now());
    if (!changes) {
        return false;
    }
    const Revision revision = *m_mirror.revision(StateKind::Upstreams);
    std::vector<Wire::StatePush> pushes = toPushes(StateKind::Upstreams, *changes);
    logLine(LogLevel::Info,
            "sending later changes to another instance",
            {{.name = "kind", .value = std::string(stateKindName(StateKind::Upstreams))},
             {.name = "to", .value = to.value()},
             {.name = "base", .value = static_cast<std::int64_t>(base.value())},
             {.name = "revision", .value = static_cast<std::int64_t>(revision.value())},
             {.name = "changes", .value = static_cast<std::int64_t>(changes->size())}});
    for (std::size_t part = 0; part < pushes.size(); ++part) {
        Wire::StatePush &push = pushes[part];
        setBase(push, base);
        setRevision(push, revision);
        push.set_difference_part(static_cast<std::uint32_t>(part));
        push.set_difference_parts(static_cast<std::uint32_t>(pushes.size()));
        Wire::Envelope envelope;
        *envelope.add_bodies()->mutable_state_push() = std::move(push);
        m_fleet.send(to, std::move(envelope));
    }
    return true;
}

void StateReplicator::sendFullState(StateKind kind, const InstanceId &to)
{
    std::vector<Wire::StatePush> pushes = toPushes(kind, m_mirror.objects(kind, ProcessClock::now()));
    logLine(LogLevel::Info,
            "sending the full state to another instance",
            {{.name = "kind", .value = std::string(stateKindName(kind))},
             {.name = "to", .value = to.value()},
             {.name = "revision", .value = static_cast<std::int64_t>(m_mirror.revision(kind)->value())},
             {.name = "parts", .value = static_cast<std::int64_t>(pushes.size())}});
    for (std::size_t part = 0; part < pushes.size(); ++part) {
        setRevision(pushes[part], *m_mirror.revision(kind));
        pushes[part].set_part(static_cast<std::uint32_t>(part));
        pushes[part].set_parts(static_cast<std::uint32_t>(pushes.size()));
        Wire::Envelope envelope;
        *envelope.add_bodies()->mutable_state_push() = std::move(pushes[part]);
        m_fleet.send(to, std::move(envelope));
    }
}

} // namespace Filbertmount
