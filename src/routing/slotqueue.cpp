#include <filbertmount/routing/slotqueue.h>

#include <algorithm>

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

std::size_t SlotQueue::listOf(const SlotRequest &request, bool isLate)
{
    return std::min<std::size_t>(request.rank, QueueRanks - 1) + (isLate ? QueueRanks : 0);
}

void SlotQueue::link(Position position)
{
    Entry &entry = m_entries[position];
    RankList &list = m_rankLists[listOf(entry.request, entry.isLate)];
    entry.previous = list.last;
    entry.next = None;
    (list.last == None ? list.first : m_entries[list.last].next) = position;
    list.last = position;
    ++list.size;
    linkInFlow(position, list);
}

void SlotQueue::linkInFlow(Position position, RankList &list)
{
    Entry &entry = m_entries[position];
    Flow &flow = list.flows[entry.request.flow];
    if (flow.size == 0) {
        flow.turns = std::max(flow.turns, list.virtualTime);
    }
    entry.previousInFlow = flow.last;
    entry.nextInFlow = None;
    (flow.last == None ? flow.first : m_entries[flow.last].nextInFlow) = position;
    flow.last = position;
    ++flow.size;
}

void SlotQueue::unlink(Position position)
{
    const Entry &entry = m_entries[position];
    RankList &list = m_rankLists[listOf(entry.request, entry.isLate)];
    (entry.previous == None ? list.first : m_entries[entry.previous].next) = entry.next;
    (entry.next == None ? list.last : m_entries[entry.next].previous) = entry.previous;
    --list.size;
    unlinkFromFlow(position, list);
}

void SlotQueue::unlinkFromFlow(Position position, RankList &list)
{
    const Entry &entry = m_entries[position];
    const auto found = list.flows.find(entry.request.flow);
    Flow &flow = found->second;
    (entry.previousInFlow == None ? flow.first : m_entries[entry.previousInFlow].nextInFlow) = entry.nextInFlow;
    (entry.nextInFlow == None ? flow.last : m_entries[entry.nextInFlow].previousInFlow) = entry.previousInFlow;
    --flow.size;
    // A flow that had more turns than the others keeps its count, or it could start again at once.
    if (flow.size == 0 && flow.turns <= list.virtualTime) {
        list.flows.erase(found);
    }
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

void SlotQueue::removeServed(Position position)
{
    const Entry &entry = m_entries[position];
    RankList &list = m_rankLists[listOf(entry.request, entry.isLate)];
    Flow &flow = list.flows[entry.request.flow];
    list.virtualTime = std::max(list.virtualTime, flow.turns);
    ++flow.turns;
    remove(position);
    absl::erase_if(list.flows, [&list](const auto &item) {
        return item.second.size == 0 && item.second.turns <= list.virtualTime;
    });
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

SlotQueue::Position SlotQueue::firstFrom(std::size_t list) const
{
    for (; list < m_rankLists.size(); ++list) {
        const RankList &entries = m_rankLists[list];
        if (entries.first != None) {
            return m_isNewestFirst ? entries.last : entries.first;
        }
    }
    return None;
}

SlotQueue::Position SlotQueue::nextTurn(const RankList &list) const
{
    const Flow *chosen = nullptr;
    for (const auto &[id, flow] : list.flows) {
        const bool isFirst = flow.size > 0 && (chosen == nullptr || flow.turns < chosen->turns);
        const bool isTie = flow.size > 0 && chosen != nullptr && flow.turns == chosen->turns;
        if (isFirst || (isTie && m_entries[flow.first].arrival < m_entries[chosen->first].arrival)) {
            chosen = &flow;
        }
    }
    if (chosen == nullptr) {
        return None;
    }
    return m_isNewestFirst ? chosen->last : chosen->first;
}

SlotQueue::Position SlotQueue::front() const
{
    for (const RankList &list : m_rankLists) {
        if (list.first != None) {
            return nextTurn(list);
        }
    }
    return None;
}

SlotQueue::Position SlotQueue::first() const
{
    return firstFrom(0);
}

SlotQueue::Position SlotQueue::next(Position position) const
{
    const Entry &entry = m_entries[position];
    const Position following = m_isNewestFirst ? entry.previous : entry.next;
    return following != None ? following : firstFrom(listOf(entry.request, entry.isLate) + 1);
}

SlotQueue::Position SlotQueue::last() const
{
    for (auto list = m_rankLists.rbegin(); list != m_rankLists.rend(); ++list) {
        if (list->first == None) {
            continue;
        }
        const auto largest = std::max_element(list->flows.begin(), list->flows.end(), [](const auto &left, const auto &right) {
            return left.second.size < right.second.size;
        });
        return m_isNewestFirst ? largest->second.first : largest->second.last;
    }
    return None;
}

SlotQueue::Position SlotQueue::find(MemberIndex member, std::uint64_t request) const
{
    const auto found = m_positions.find({member, request});
    return found == m_positions.end() ? None : found->second;
}

std::size_t SlotQueue::countAhead(const SlotRequest &request, bool isLate) const
{
    const std::size_t own = listOf(request, isLate);
    std::size_t count = 0;
    for (std::size_t list = 0; list < own; ++list) {
        count += m_rankLists[list].size;
    }
    // Each other flow has at most one turn more than the entries of the own flow that come first.
    const std::size_t turns = flowSize(request, isLate) + 1;
    for (const auto &[id, flow] : m_rankLists[own].flows) {
        count += id == request.flow ? flow.size : std::min(flow.size, turns);
    }
    return count;
}

std::size_t SlotQueue::flowSize(const SlotRequest &request, bool isLate) const
{
    const RankList &list = m_rankLists[listOf(request, isLate)];
    const auto flow = list.flows.find(request.flow);
    return flow == list.flows.end() ? 0 : flow->second.size;
}

SlotQueue::Entry &SlotQueue::operator[](Position position)
{
    return m_entries[position];
}

} // namespace Filbertmount
