#include <filbertmount/routing/slotdispatcher.h>

#include <algorithm>
#include <limits>

namespace Filbertmount {

namespace {

// A slot is idle while release, grant and connection take place, about 5% of a service time of 20 ms. While at least this
// many requests per slot wait, upstreams are overcommitted by one attempt, which starts without that pause.
constexpr double OvercommitQueuePerSlot = 0.25;
// From this utilization on, the requester's zone is not preferred: its upstreams would fill up and slow down while others
// have free slots.
constexpr double OwnZoneUtilizationLimit = 0.5;
// Share of the slots that must be free for a hedged attempt, since it takes a slot that a new request may need.
constexpr double MinFreeShareForHedges = 0.4;
// Maximum number of overcommitted attempts per slot.
constexpr double MaxOvercommitPerSlot = 0.5;
// While more requests per slot wait, or more than the maximum, none waits for a slot of its own zone: all free slots are used.
constexpr double HoldQueuePerSlot = 0.1;
constexpr std::size_t MaxHeld = 16;

} // namespace

bool SlotDispatcher::hasSlotsForHedges() const
{
    return m_totalInFlight <= (1 - MinFreeShareForHedges) * m_table.totalLimit();
}

bool SlotDispatcher::hasUpstreamFor(const SlotRequest &request) const
{
    std::size_t excluded = 0;
    for (auto index = request.excluded.begin(); index != request.excluded.end(); ++index) {
        const bool isRepeated = std::find(request.excluded.begin(), index, *index) != index;
        const bool isUsable = *index < m_table.size() && m_table.limit(*index) > 0;
        excluded += isUsable && !isRepeated ? 1 : 0;
    }
    return excluded < m_table.usableCount();
}

double SlotDispatcher::utilization() const
{
    return static_cast<double>(m_totalInFlight) / std::max(1, m_table.totalLimit());
}

double SlotDispatcher::ownZoneAdvantage() const
{
    const double headroom = std::clamp(1 - utilization() / OwnZoneUtilizationLimit, 0.0, 1.0);
    return 1 + (m_options.ownZoneAdvantage - 1) * headroom;
}

SlotDispatcher::Choice SlotDispatcher::chooseUpstream(const SlotRequest &request)
{
    if (m_options.zoneExit) {
        const std::size_t homeQueue = m_queue.countInZone(m_selector.zoneIndex(request.zone));
        return chooseByCost(request, Duration::zero(), homeQueue, m_queue.size());
    }
    m_selector.setOwnZoneAdvantage(ownZoneAdvantage());
    const UpstreamIndex free = m_selector.choose(SlotSelector::Slots::Free, request.zone, request.excluded, maxSlowness());
    return {.upstream = free != SlotSelector::None ? free : chooseOvercommitted(request)};
}

UpstreamIndex SlotDispatcher::chooseOvercommitted(const SlotRequest &request)
{
    if (!mayOvercommit()) {
        return SlotSelector::None;
    }
    return m_selector.choose(SlotSelector::Slots::Overcommit, request.zone, request.excluded, UpstreamTable::StragglerSlowness);
}

SlotDispatcher::Choice
SlotDispatcher::chooseByCost(const SlotRequest &request, Duration waited, std::size_t homeQueue, std::size_t queued)
{
    const std::span<const ZoneOffer> offers = m_selector.zoneOffers(request.excluded, maxSlowness());
    const std::size_t home = m_selector.zoneIndex(request.zone);
    const ZoneExitDecision decision = m_zoneExit.decide(
        {.home = home,
         .meanServiceTime = m_table.meanServiceTime(),
         .utilization = utilization(),
         .expectedBytes = request.expectedBytes,
         .homeQueue = homeQueue,
         .mayHold = !request.isImmediate && mayHold(queued),
         .waited = waited,
         .objectiveLeft = std::min(request.objectiveLeft.value_or(request.timeLeft), request.timeLeft) - waited},
        offers);
    switch (decision.action) {
    case ZoneExitDecision::Action::Grant:
        return {.upstream = offers[decision.zone].upstream, .exitReason = decision.reason};
    case ZoneExitDecision::Action::Hold:
        return {.holdFor = decision.holdFor};
    case ZoneExitDecision::Action::None:
        break;
    }
    m_selector.setOwnZoneAdvantage(1);
    const UpstreamIndex upstream = chooseOvercommitted(request);
    const bool leaves = upstream != SlotSelector::None && m_table.upstream(upstream).zone.value() != request.zone;
    return {.upstream = upstream, .exitReason = leaves ? ZoneExitReason::HomeFull : ZoneExitReason::None};
}

SlotDispatcher::Choice SlotDispatcher::chooseForQueued(SlotQueue::Position position, std::size_t heldAhead, Instant now)
{
    SlotQueue::Entry &entry = m_queue[position];
    if (!m_options.zoneExit) {
        return chooseUpstream(entry.request);
    }
    const Choice choice = chooseByCost(entry.request, now - entry.arrival, heldAhead, m_queue.size() - 1);
    if (choice.holdFor) {
        m_queue.hold(position, now + *choice.holdFor);
    } else {
        m_queue.endHold(position);
    }
    return choice;
}

bool SlotDispatcher::mayHold(std::size_t queued) const
{
    return queued < MaxHeld && static_cast<double>(queued) <= std::max(1.0, HoldQueuePerSlot * m_table.totalLimit());
}

bool SlotDispatcher::mayOvercommit() const
{
    const int total = m_table.totalLimit();
    return static_cast<double>(m_queue.size()) >= OvercommitQueuePerSlot * total
        && m_overcommitted < MaxOvercommitPerSlot * total;
}

double SlotDispatcher::maxSlowness() const
{
    const int fast = m_table.nonStragglerLimit();
    // When most of the capacity appears slow, the service as a whole has slowed down, and no upstream is left out.
    if (2 * fast < m_table.totalLimit()) {
        return std::numeric_limits<double>::max();
    }
    // A straggler is used once waiting in the queue would take longer than its extra service time.
    const double queueTime = static_cast<double>(m_queue.size()) / fast;
    return std::max(UpstreamTable::StragglerSlowness, 1.0 + queueTime);
}

} // namespace Filbertmount
