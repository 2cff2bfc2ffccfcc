#include "membership/memberregister.h"

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace Filbertmount {

namespace {

/** Returns whether @p change replaces @p current: a higher incarnation wins, then the later state. */
bool supersedes(const Member &change, const Member &current)
{
    if (current.state == MemberState::Left) {
        return false;
    }
    if (change.incarnation != current.incarnation) {
        return change.incarnation > current.incarnation;
    }
    return change.state > current.state;
}

} // namespace

void addMember(Wire::Envelope &envelope, const Member &member)
{
    Wire::MemberUpdate &update = *envelope.add_members();
    update.set_instance(member.id.value());
    update.set_state(static_cast<Wire::MemberUpdate::State>(member.state));
    update.set_incarnation(member.incarnation.value());
    if (!member.live()) {
        return;
    }
    update.set_peer_address(member.peerAddress);
    update.set_admin_address(member.adminAddress);
    update.set_zone(member.zone.value());
    update.set_region(member.region.value());
    update.set_capacity(member.capacity);
}

Member memberFromWire(const Wire::MemberUpdate &update)
{
    // A state that a newer version added is read as alive; the failure detector corrects it.
    const bool known = update.state() >= Wire::MemberUpdate::ALIVE && update.state() <= Wire::MemberUpdate::LEFT;
    return {.id = InstanceId(update.instance()),
            .peerAddress = update.peer_address(),
            .adminAddress = update.admin_address(),
            .zone = AvailabilityZone(update.zone()),
            .region = Region(update.region()),
            .state = known ? static_cast<MemberState>(update.state()) : MemberState::Alive,
            .incarnation = Incarnation(update.incarnation()),
            .capacity = update.capacity()};
}

std::uint64_t memberHash(const Member &member)
{
    return stableHash(member.id.value() + '\n' + std::to_string(member.incarnation.value()));
}

bool MemberRegister::apply(const Member &change, Instant now, bool observedLocally)
{
    const auto found = m_entries.find(change.id);
    const bool isNew = found == m_entries.end();
    if (change.id.empty() || (isNew && m_entries.size() >= MaxMembers)
        || (isNew && change.live() && change.peerAddress.empty())) {
        return false;
    }
    if (!isNew && !supersedes(change, found->second.member)) {
        // The sender has not received the death of the member. The death is sent again so that it reaches the member itself,
        // since no other instance can refute it.
        if (change.live() && !found->second.member.live()) {
            enqueue(change.id);
        }
        return false;
    }
    Entry entry = isNew ? Entry{} : found->second;
    Member next = change;
    if (!change.live()) {
        next = entry.member;
        next.id = change.id;
        next.state = change.state;
        next.incarnation = change.incarnation;
        entry.departedAt = now;
    }
    if (change.state == MemberState::Suspect) {
        entry.suspicionEnds = now + (observedLocally ? LocalSuspicionTimeout : RemoteSuspicionTimeout);
    }
    entry.suspectedLocally = observedLocally && change.state == MemberState::Suspect;
    entry.member = std::move(next);
    put(change.id, std::move(entry));
    // The departure of a member that was unknown here is stored but not sent on: instances drop departed members at
    // different times and would keep sending the departure to each other forever.
    if (!isNew || change.live()) {
        enqueue(change.id);
    }
    return true;
}

void MemberRegister::put(const InstanceId &id, Entry entry)
{
    Entry &current = m_entries[id];
    if (!current.member.id.empty() && current.member.live()) {
        m_liveHash ^= memberHash(current.member);
    }
    if (entry.member.live()) {
        m_liveHash ^= memberHash(entry.member);
    }
    current = std::move(entry);
}

std::size_t MemberRegister::expire(Instant now)
{
    std::vector<Member> dead;
    for (const auto &[id, entry] : m_entries) {
        if (entry.member.state == MemberState::Suspect && now >= entry.suspicionEnds) {
            dead.push_back(entry.member);
        }
    }
    for (Member &member : dead) {
        member.state = MemberState::Dead;
        apply(member, now, true);
    }
    absl::erase_if(m_entries, [&](const auto &entry) {
        return !entry.second.member.live() && now - entry.second.departedAt >= DepartedRetention;
    });
    return dead.size();
}

void MemberRegister::extendSuspicions(Duration gap)
{
    for (auto &[id, entry] : m_entries) {
        entry.suspicionEnds += gap;
    }
}

void MemberRegister::clear()
{
    m_entries.clear();
    m_queue.clear();
    m_liveHash = 0;
}

const MemberRegister::Entry *MemberRegister::find(const InstanceId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const absl::flat_hash_map<InstanceId, MemberRegister::Entry> &MemberRegister::entries() const
{
    return m_entries;
}

std::vector<InstanceId> MemberRegister::liveIds() const
{
    std::vector<InstanceId> ids;
    for (const auto &[id, entry] : m_entries) {
        if (entry.member.live()) {
            ids.push_back(id);
        }
    }
    // Sorted, so that a run depends only on its seed: Abseil's hash order differs between processes.
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::uint64_t MemberRegister::liveHash() const
{
    return m_liveHash;
}

int MemberRegister::transmissionLimit() const
{
    // Two more than the logarithmic number of gossip rounds. Updates that are lost anyway show as differing view hashes.
    return static_cast<int>(std::bit_width(m_entries.size() + 1)) + 2;
}

void MemberRegister::enqueue(const InstanceId &id)
{
    for (auto &[sent, queued] : m_queue) {
        if (queued == id) {
            sent = 0;
            return;
        }
    }
    m_queue.emplace_back(0, id);
}

void MemberRegister::addChanges(Wire::Envelope &envelope, std::size_t limit)
{
    const std::size_t count = std::min(limit, m_queue.size());
    std::partial_sort(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(count), m_queue.end());
    for (std::size_t index = 0; index < count; ++index) {
        auto &[sent, id] = m_queue[index];
        ++sent;
        if (const Entry *entry = find(id); entry != nullptr) {
            addMember(envelope, entry->member);
        }
    }
    const int maxTransmissions = transmissionLimit();
    m_queue.erase(std::remove_if(m_queue.begin(),
                                 m_queue.end(),
                                 [&](const auto &queued) {
                                     return queued.first >= maxTransmissions || find(queued.second) == nullptr;
                                 }),
                  m_queue.end());
}

void MemberRegister::addRefresh(Wire::Envelope &envelope, std::size_t count)
{
    const std::vector<InstanceId> live = liveIds();
    auto next = std::upper_bound(live.begin(), live.end(), m_refreshCursor);
    for (std::size_t added = 0; added < std::min(count, live.size()); ++added) {
        if (next == live.end()) {
            next = live.begin();
        }
        addMember(envelope, m_entries.at(*next).member);
        m_refreshCursor = *next;
        ++next;
    }
}

} // namespace Filbertmount
