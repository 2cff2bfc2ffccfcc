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

SlotQueue::Chain &SlotQueue::chain(Priority priority)
{
    return m_chains[static_cast<std::size_t>(priority)];
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
    Chain &target = chain(entry.request.priority);
    entry.previous = target.last;
    entry.next = None;
    if (target.last == None) {
        target.first = position;
    } else {
        m_entries[target.last].next = position;
    }
    target.last = position;
    ++target.size;
    m_positions[{entry.member, entry.request.request}] = position;
    m_entries[position] = std::move(entry);
    return position;
}

void SlotQueue::remove(Position position)
{
    Entry &entry = m_entries[position];
    Chain &source = chain(entry.request.priority);
    (entry.previous == None ? source.first : m_entries[entry.previous].next) = entry.next;
    (entry.next == None ? source.last : m_entries[entry.next].previous) = entry.previous;
    --source.size;
    m_positions.erase({entry.member, entry.request.request});
    m_free.push_back(position);
}

SlotQueue::Position SlotQueue::front() const
{
    return m_chains[0].first != None ? m_chains[0].first : m_chains[1].first;
}

SlotQueue::Position SlotQueue::next(Position position) const
{
    const Entry &entry = m_entries[position];
    const bool isLastOfFirst = entry.next == None && entry.request.priority == Priority::Interactive;
    return isLastOfFirst ? m_chains[1].first : entry.next;
}

SlotQueue::Position SlotQueue::last() const
{
    return m_chains[1].last != None ? m_chains[1].last : m_chains[0].last;
}

SlotQueue::Position SlotQueue::find(MemberIndex member, std::uint64_t request) const
{
    const auto found = m_positions.find({member, request});
    return found == m_positions.end() ? None : found->second;
}

std::size_t SlotQueue::countAhead(Priority priority) const
{
    return priority == Priority::Interactive ? m_chains[0].size : size();
}

SlotQueue::Entry &SlotQueue::operator[](Position position)
{
    return m_entries[position];
}

} // namespace Filbertmount
