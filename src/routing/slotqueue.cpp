#include <filbertmount/routing/slotqueue.h>

namespace Filbertmount {

SlotQueue::SlotQueue(std::size_t capacity)
    : m_capacity(capacity)
{
    m_entries.reserve(capacity);
    m_free.reserve(capacity);
    m_positions.reserve(capacity);
}

void SlotQueue::setCapacity(std::size_t capacity)
{
    m_capacity = capacity;
    m_entries.reserve(capacity);
    m_free.reserve(capacity);
    m_positions.reserve(capacity);
}

std::size_t SlotQueue::size() const
{
    return m_positions.size();
}

bool SlotQueue::isFull() const
{
    return size() >= m_capacity;
}

std::size_t SlotQueue::rankOf(Priority priority, bool isLate)
{
    return static_cast<std::size_t>(priority) + (isLate ? Priorities : 0);
}

void SlotQueue::link(Position position)
{
    Entry &entry = m_entries[position];
    RankList &target = m_rankLists[rankOf(entry.request.priority, entry.isLate)];
    entry.previous = target.last;
    entry.next = None;
    if (target.last == None) {
        target.first = position;
    } else {
        m_entries[target.last].next = position;
    }
    target.last = position;
    ++target.size;
}

void SlotQueue::unlink(Position position)
{
    const Entry &entry = m_entries[position];
    RankList &source = m_rankLists[rankOf(entry.request.priority, entry.isLate)];
    (entry.previous == None ? source.first : m_entries[entry.previous].next) = entry.next;
    (entry.next == None ? source.last : m_entries[entry.next].previous) = entry.previous;
    --source.size;
}

SlotQueue::Position SlotQueue::push(Entry entry)
{
    Position position = static_cast<Position>(m_entries.size());
    if (m_free.empty()) {
        m_entries.emplace_back();
    } else {
        position = m_free.back();
        m_free.pop_back();
    }
    m_positions[{entry.member, entry.request.request}] = position;
    if (entry.zone >= m_byZone.size()) {
        m_byZone.resize(entry.zone + 1);
    }
    ++m_byZone[entry.zone];
    m_entries[position] = std::move(entry);
    link(position);
    return position;
}

void SlotQueue::remove(Position position)
{
    unlink(position);
    endHold(position);
    const Entry &entry = m_entries[position];
    --m_byZone[entry.zone];
    m_positions.erase({entry.member, entry.request.request});
    m_free.push_back(position);
}

void SlotQueue::demote(Position position)
{
    unlink(position);
    m_entries[position].isLate = true;
    link(position);
}

void SlotQueue::hold(Position position, Instant until)
{
    m_held += m_entries[position].heldUntil ? 0 : 1;
    m_entries[position].heldUntil = until;
}

void SlotQueue::endHold(Position position)
{
    m_held -= m_entries[position].heldUntil ? 1 : 0;
    m_entries[position].heldUntil.reset();
}

std::size_t SlotQueue::held() const
{
    return m_held;
}

std::size_t SlotQueue::countInZone(std::size_t zone) const
{
    return zone < m_byZone.size() ? m_byZone[zone] : 0;
}

void SlotQueue::setNewestFirst(bool isNewestFirst)
{
    m_isNewestFirst = isNewestFirst;
}

SlotQueue::Position SlotQueue::frontFrom(std::size_t rank) const
{
    for (; rank < m_rankLists.size(); ++rank) {
        const RankList &list = m_rankLists[rank];
        if (list.first != None) {
            return m_isNewestFirst ? list.last : list.first;
        }
    }
    return None;
}

SlotQueue::Position SlotQueue::front() const
{
    return frontFrom(0);
}

SlotQueue::Position SlotQueue::next(Position position) const
{
    const Entry &entry = m_entries[position];
    const Position following = m_isNewestFirst ? entry.previous : entry.next;
    return following != None ? following : frontFrom(rankOf(entry.request.priority, entry.isLate) + 1);
}

SlotQueue::Position SlotQueue::last() const
{
    for (std::size_t rank = m_rankLists.size(); rank > 0; --rank) {
        const RankList &list = m_rankLists[rank - 1];
        if (list.first != None) {
            return m_isNewestFirst ? list.first : list.last;
        }
    }
    return None;
}

SlotQueue::Position SlotQueue::find(MemberIndex member, std::uint64_t request) const
{
    const auto found = m_positions.find({member, request});
    return found == m_positions.end() ? None : found->second;
}

std::size_t SlotQueue::countAhead(Priority priority, bool isLate) const
{
    std::size_t count = 0;
    for (std::size_t rank = 0; rank <= rankOf(priority, isLate); ++rank) {
        count += m_rankLists[rank].size;
    }
    return count;
}

SlotQueue::Entry &SlotQueue::operator[](Position position)
{
    return m_entries[position];
}

} // namespace Filbertmount
