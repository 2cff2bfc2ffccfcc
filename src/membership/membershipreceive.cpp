// The part of MembershipTable that handles received messages.
#include <filbertmount/membership/membershiptable.h>

#include "membership/memberregister.h"

#include <algorithm>

namespace Filbertmount {

namespace {

// Messages of this instance that carry its own update after a refutation; the receivers gossip it further.
constexpr int SelfTransmissions = 20;
// Keeps each envelope of the response to a join below 20 KB.
constexpr std::size_t MembersPerJoinResponse = 200;
// Bounds the indirect pings that other members can make this instance send.
constexpr std::size_t MaxRelayedPings = 256;

} // namespace

void MembershipTable::receiveMembers(const Wire::Envelope &envelope, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    bool changed = false;
    for (const Wire::MemberUpdate &update : envelope.members()) {
        const Member change = memberFromWire(update);
        if (change.id == m_self.id) {
            receiveUpdateOfSelf(change);
            continue;
        }
        changed = m_members->apply(change, now, false) || changed;
    }
    if (changed) {
        publish();
    }
}

void MembershipTable::receiveUpdateOfSelf(const Member &change)
{
    if (change.state == MemberState::Alive || m_self.state == MemberState::Left) {
        return;
    }
    if (change.incarnation >= m_self.incarnation) {
        m_self.incarnation = Incarnation(change.incarnation.value() + 1);
        ++m_counts.refutations;
        publish();
    }
    // Also after an outdated update: its sender has not received the refutation yet.
    m_selfTransmissions = SelfTransmissions;
}

PeerOutbox MembershipTable::receive(const InstanceId &from, const Wire::Body &body, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    if (m_self.state == MemberState::Left) {
        return outbox;
    }
    switch (body.kind_case()) {
    case Wire::Body::kPing:
        receivePing(from, body.ping(), outbox);
        break;
    case Wire::Body::kAck:
        receiveAck(from, body.ack(), outbox);
        break;
    case Wire::Body::kIndirectPing:
        receiveIndirectPing(from, body.indirect_ping(), now, outbox);
        break;
    case Wire::Body::kJoinRequest:
        respondToJoin(from, body.join_request(), outbox);
        break;
    default:
        break;
    }
    return outbox;
}

void MembershipTable::receivePing(const InstanceId &from, const Wire::Ping &ping, PeerOutbox &outbox)
{
    const MemberRegister::Entry *entry = m_members->find(from);
    if (entry == nullptr || entry->member.peerAddress.empty()) {
        return;
    }
    m_refreshNext = m_refreshNext || ping.members_hash() != viewHash();
    Wire::Envelope &envelope = *addMessage(from, outbox);
    // The sender can refute a wrong suspicion only once it receives it.
    if (entry->member.state != MemberState::Alive) {
        addMember(envelope, entry->member);
    }
    Wire::Ack &ack = *envelope.add_bodies()->mutable_ack();
    ack.set_nonce(ping.nonce());
    ack.set_members_hash(viewHash());
}

void MembershipTable::receiveAck(const InstanceId &from, const Wire::Ack &ack, PeerOutbox &outbox)
{
    // The response to an indirect ping comes from the relaying member. A direct one must come from the target itself, since
    // a restarted process at the same address responds too, under a new id.
    const auto acknowledged = [&](const Probe &probe) {
        return probe.nonce == ack.nonce() && (probe.target == from || probe.indirect);
    };
    m_probes.erase(std::remove_if(m_probes.begin(), m_probes.end(), acknowledged), m_probes.end());
    recordFullList(ack.nonce());
    if (ack.members_hash() != 0) {
        m_viewDiffers = ack.members_hash() != viewHash();
        m_refreshNext = m_refreshNext || m_viewDiffers;
    }
    const auto relayed = std::find_if(m_relayed.begin(), m_relayed.end(), [&](const RelayedPing &ping) {
        return ping.nonce == ack.nonce() && ping.target == from;
    });
    if (relayed == m_relayed.end()) {
        return;
    }
    const RelayedPing ping = *relayed;
    m_relayed.erase(relayed);
    if (m_members->find(ping.requester) != nullptr) {
        addMessage(ping.requester, outbox)->add_bodies()->mutable_ack()->set_nonce(ping.requesterNonce);
    }
}

void MembershipTable::receiveIndirectPing(const InstanceId &from,
                                          const Wire::IndirectPing &request,
                                          Instant now,
                                          PeerOutbox &outbox)
{
    const InstanceId target(request.target());
    const MemberRegister::Entry *entry = m_members->find(target);
    if (entry == nullptr || entry->member.peerAddress.empty()) {
        return;
    }
    m_relayed.erase(std::remove_if(m_relayed.begin(),
                                   m_relayed.end(),
                                   [&](const RelayedPing &ping) {
                                       return now - ping.sentAt >= 2 * m_options.pingTimeout;
                                   }),
                    m_relayed.end());
    if (m_relayed.size() >= MaxRelayedPings) {
        return;
    }
    m_relayed.push_back(
        {.nonce = ++m_lastNonce, .target = target, .requester = from, .requesterNonce = request.nonce(), .sentAt = now});
    sendPing(target, m_lastNonce, outbox);
}

void MembershipTable::respondToJoin(const InstanceId &from, const Wire::JoinRequest &join, PeerOutbox &outbox)
{
    const MemberRegister::Entry *entry = m_members->find(from);
    if (entry == nullptr || entry->member.peerAddress.empty()) {
        return;
    }
    const std::vector<InstanceId> live = m_members->liveIds();
    std::size_t sent = 0;
    do {
        Wire::Envelope &envelope = *addMessage(from, outbox);
        addMember(envelope, m_self);
        for (std::size_t count = 0; count < MembersPerJoinResponse && sent < live.size(); ++count, ++sent) {
            addMember(envelope, m_members->find(live[sent])->member);
        }
        envelope.add_bodies()->mutable_ack()->set_nonce(join.nonce());
    } while (sent < live.size());
}

} // namespace Filbertmount
