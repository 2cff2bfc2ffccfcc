#include <filbertmount/routing/slotdispatcher.h>

#include <algorithm>
#include <limits>

namespace Filbertmount {

namespace {

// Number of queued requests that may be skipped because they exclude all free upstreams.
constexpr std::size_t ServeLookAhead = 8;
// Shorter announced waits would have to be renewed for most queued requests.
constexpr Duration MinAnnouncedWait = std::chrono::milliseconds(20);
// An announced wait is renewed this long before it ends, so that the message arrives in time.
constexpr Duration AnnouncementMargin = std::chrono::milliseconds(8);
// About half of the requests of a heavy-tailed service take less than the mean divided by this.
constexpr int ShortServiceDivisor = 2;
// An attempt that runs longer than this multiple of the mean is recorded as slow before it ends, to detect stragglers early.
constexpr int OverdueMultiple = 3;
constexpr std::size_t InitialCapacity = 64;
// While at least this many requests per slot wait, the oldest cannot all be served in time, so the newest are served first.
constexpr double NewestFirstQueuePerSlot = 0.5;
// Bounds the expected wait while nothing may be granted.
constexpr double MinGrantsPerSecond = 1e-3;

} // namespace

SlotDispatcher::SlotDispatcher(UpstreamTable &table, SlotDispatcherOptions options)
    : m_table(table)
    , m_options(options)
    , m_queue(options.queue)
    , m_zoneExit(options.zoneExit.value_or(ZoneExitOptions()))
    , m_overdueChecks(InitialCapacity)
{
    m_grants.reserve(InitialCapacity);
}

void SlotDispatcher::setOptions(const SlotDispatcherOptions &options)
{
    m_options = options;
    m_queue.setCapacity(options.queue);
    m_zoneExit.setOptions(options.zoneExit.value_or(ZoneExitOptions()));
}

void SlotDispatcher::start(std::span<const MemberIndex> members, Instant now)
{
    stop();
    m_isRunning = true;
    m_startedAt = now;
    m_missingReports.assign(members.begin(), members.end());
    refreshChangedUpstreams();
}

void SlotDispatcher::stop()
{
    m_isRunning = false;
    while (m_queue.first() != SlotQueue::None) {
        m_queue.remove(m_queue.first());
    }
    m_grants.clear();
    m_reportedAttempts.clear();
    m_overdueChecks.clear();
    m_missingReports.clear();
    for (UpstreamIndex index = 0; index < m_inFlight.size(); ++index) {
        addInFlight(index, -m_inFlight[index]);
    }
}

bool SlotDispatcher::isRunning() const
{
    return m_isRunning;
}

bool SlotDispatcher::isWaitingForReports(Instant now) const
{
    return !m_missingReports.empty() && now - m_startedAt < m_options.reportWait;
}

void SlotDispatcher::handle(MemberIndex from, const SlotRequest &request, Instant now, SlotOutbox &outbox)
{
    refreshChangedUpstreams();
    if (!hasUpstreamFor(request)) {
        refuse(from, request.request, RefusalReason::NoUpstream, outbox);
        return;
    }
    if (request.isImmediate && !hasSlotsForHedges()) {
        refuse(from, request.request, RefusalReason::QueueFull, outbox);
        return;
    }
    // Held requests wait for a slot of their own zone and do not keep later ones from other slots.
    const bool isFirst = m_queue.countAhead(request, isLate(request)) == 0 || m_queue.held() == m_queue.size();
    const Choice choice = !isWaitingForReports(now) && isFirst ? chooseUpstream(request) : Choice();
    if (choice.upstream != SlotSelector::None) {
        grant(from, request, choice, now, outbox);
        return;
    }
    if (request.isImmediate) {
        refuse(from, request.request, RefusalReason::QueueFull, outbox);
        return;
    }
    enqueue(from, request, choice.holdFor, now, outbox);
}

void SlotDispatcher::enqueue(MemberIndex member,
                             const SlotRequest &request,
                             std::optional<Duration> holdFor,
                             Instant now,
                             SlotOutbox &outbox)
{
    const bool isLateRequest = isLate(request);
    const std::size_t ahead = m_queue.countAhead(request, isLateRequest);
    const bool goesFirst = isOverloaded() && request.objectiveLeft && !isLateRequest;
    const Duration wait = goesFirst ? Duration::zero() : expectedWait(ahead);
    const Duration needed = wait + m_table.meanServiceTime() / ShortServiceDivisor;
    if (needed > request.timeLeft) {
        refuse(member, request.request, RefusalReason::DeadlineTooShort, outbox);
        return;
    }
    if (m_queue.find(member, request.request) != SlotQueue::None) {
        return;
    }
    if (m_queue.isFull() && !shedFor(request, outbox)) {
        refuse(member, request.request, RefusalReason::QueueFull, outbox);
        return;
    }
    SlotQueue::Entry entry{.member = member,
                           .request = request,
                           .arrival = now,
                           .deadline = now + request.timeLeft,
                           .objective = request.objectiveLeft ? std::optional(now + *request.objectiveLeft) : std::nullopt,
                           .isLate = isLateRequest};
    entry.request.zone = m_selector.internedZone(request.zone);
    const std::size_t zone = m_selector.zoneIndex(request.zone);
    entry.zone = zone == ZoneExitQuery::UnknownZone ? 0 : zone;
    announceWait(entry, ahead, now, outbox);
    const SlotQueue::Position position = m_queue.push(std::move(entry));
    if (holdFor) {
        m_queue.hold(position, now + *holdFor);
    }
}

bool SlotDispatcher::isLate(const SlotRequest &request) const
{
    return request.objectiveLeft && *request.objectiveLeft < m_table.meanServiceTime();
}

bool SlotDispatcher::isOverloaded() const
{
    // While warm-up rates limit the grants, the wait is known in advance and requests that would be late are refused at once.
    return !isRationed() && static_cast<double>(m_queue.size()) >= NewestFirstQueuePerSlot * std::max(1, m_table.totalLimit());
}

bool SlotDispatcher::isRationed() const
{
    return m_table.coldCapacity().upstreams > 0 && m_table.coldCapacity().upstreams == m_table.usableCount();
}

bool SlotDispatcher::shedFor(const SlotRequest &request, SlotOutbox &outbox)
{
    const SlotQueue::Position last = m_queue.last();
    if (last == SlotQueue::None || !mayReplace(m_queue[last], request)) {
        return false;
    }
    refuse(m_queue[last].member, m_queue[last].request.request, RefusalReason::Shed, outbox);
    m_queue.remove(last);
    return true;
}

bool SlotDispatcher::mayReplace(const SlotQueue::Entry &queued, const SlotRequest &request) const
{
    if (queued.isLate || queued.request.rank > request.rank) {
        return true;
    }
    return queued.request.rank == request.rank && m_queue.flowSize(queued.request) > m_queue.flowSize(request) + 1;
}

Duration SlotDispatcher::expectedWait(std::size_t ahead) const
{
    const auto slots = static_cast<std::int64_t>(std::max(1, m_table.totalLimit()));
    const Duration wait = m_table.meanServiceTime() * static_cast<std::int64_t>(ahead + 1) / slots;
    return m_table.coldCapacity().upstreams > 0 ? std::max(wait, expectedWaitWhileCold(ahead, wait)) : wait;
}

Duration SlotDispatcher::expectedWaitWhileCold(std::size_t ahead, Duration waitWhenWarm) const
{
    const ColdCapacity &cold = m_table.coldCapacity();
    const double mean = std::chrono::duration<double>(m_table.meanServiceTime()).count();
    const int warmLimit = m_table.totalLimit() - cold.limit;
    if (warmLimit > 0 && mean <= 0) {
        return waitWhenWarm;
    }
    const double granted = static_cast<double>(cold.upstreams) * m_table.warmup().grantRate();
    const double perSecond = (mean > 0 ? warmLimit / mean : 0) + (mean > 0 ? std::min(granted, cold.limit / mean) : granted);
    const Duration longest = cold.timeLeft + waitWhenWarm;
    const double seconds = std::max(0.0, static_cast<double>(ahead + 1) - cold.tokens) / std::max(perSecond, MinGrantsPerSecond);
    return std::min(longest, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

void SlotDispatcher::announceWait(SlotQueue::Entry &entry, std::size_t ahead, Instant now, SlotOutbox &outbox) const
{
    const Duration wait = std::max(expectedWait(ahead), MinAnnouncedWait);
    entry.responseDue = now + wait;
    outbox.push_back({.peer = entry.member, .message = SlotQueued{.request = entry.request.request, .wait = wait}});
}

void SlotDispatcher::refuse(MemberIndex member, std::uint64_t request, RefusalReason reason, SlotOutbox &outbox) const
{
    outbox.push_back({.peer = member,
                      .message = SlotRefusal{.request = request, .reason = reason, .retryAfter = expectedWait(m_queue.size())}});
}

void SlotDispatcher::grant(MemberIndex member, const SlotRequest &request, const Choice &choice, Instant now, SlotOutbox &outbox)
{
    const std::uint64_t number = ++m_lastGrant;
    m_grants[number] = {.member = member,
                        .upstream = choice.upstream,
                        .start = now,
                        .zone = m_options.zoneExit ? m_selector.zoneIndex(request.zone) : ZoneExitQuery::UnknownZone};
    m_table.recordGrant(choice.upstream);
    addInFlight(choice.upstream, 1);
    scheduleOverdueCheck(number, now);
    outbox.push_back(
        {.peer = member,
         .message = SlotGrant{
             .request = request.request, .upstream = choice.upstream, .grant = number, .exitReason = choice.exitReason}});
}

void SlotDispatcher::handle(MemberIndex from, const SlotRelease &release, Instant now, SlotOutbox &outbox)
{
    if (release.grant == 0) {
        const SlotQueue::Position position = m_queue.find(from, release.request);
        if (position != SlotQueue::None) {
            m_queue.remove(position);
        }
        return;
    }
    const auto found = m_grants.find(release.grant);
    if (found != m_grants.end() && found->second.member == from && found->second.upstream == release.upstream) {
        recordExchange(found->second, release.report, now);
        m_grants.erase(found);
        addInFlight(release.upstream, -1);
    } else if (const auto reported = m_reportedAttempts.find({from, release.upstream}); reported != m_reportedAttempts.end()) {
        // The grant was issued by another dispatcher, or the member's last report already covers it.
        --reported->second;
        if (reported->second == 0) {
            m_reportedAttempts.erase(reported);
        }
        addInFlight(release.upstream, -1);
    }
    m_table.record(release.upstream, release.report, now);
    serveQueue(now, outbox);
}

void SlotDispatcher::recordExchange(const Grant &grant, const AttemptReport &report, Instant now)
{
    if (m_options.zoneExit && grant.member != SelfMember && report.outcome == AttemptOutcome::Success) {
        m_zoneExit.recordExchange(grant.zone, now - grant.start - report.serviceTime);
    }
}

void SlotDispatcher::handle(MemberIndex from, const InFlightReport &report, Instant now, SlotOutbox &outbox)
{
    removeMemberCounts(from, report.lastGrant);
    for (const UpstreamCount &count : report.upstreams) {
        if (count.attempts > 0 && count.upstream < m_table.size()) {
            m_reportedAttempts[{from, count.upstream}] += count.attempts;
            addInFlight(count.upstream, count.attempts);
        }
    }
    std::erase(m_missingReports, from);
    serveQueue(now, outbox);
}

void SlotDispatcher::removeMemberCounts(MemberIndex member, std::uint64_t lastGrant)
{
    absl::erase_if(m_grants, [&](const auto &grant) {
        const bool isCovered = grant.second.member == member && grant.first <= lastGrant;
        if (isCovered) {
            addInFlight(grant.second.upstream, -1);
        }
        return isCovered;
    });
    absl::erase_if(m_reportedAttempts, [&](const auto &reported) {
        const bool isOfMember = reported.first.first == member;
        if (isOfMember) {
            addInFlight(reported.first.second, -reported.second);
        }
        return isOfMember;
    });
}

void SlotDispatcher::removeMember(MemberIndex member, Instant now, SlotOutbox &outbox)
{
    removeMemberCounts(member, std::numeric_limits<std::uint64_t>::max());
    std::erase(m_missingReports, member);
    for (auto position = m_queue.first(); position != SlotQueue::None;) {
        const SlotQueue::Position following = m_queue.next(position);
        if (m_queue[position].member == member) {
            m_queue.remove(position);
        }
        position = following;
    }
    serveQueue(now, outbox);
}

void SlotDispatcher::refuseUnservable(SlotOutbox &outbox)
{
    for (auto position = m_queue.first(); position != SlotQueue::None;) {
        const SlotQueue::Position following = m_queue.next(position);
        const SlotQueue::Entry &entry = m_queue[position];
        if (!hasUpstreamFor(entry.request)) {
            refuse(entry.member, entry.request.request, RefusalReason::NoUpstream, outbox);
            m_queue.remove(position);
        }
        position = following;
    }
}

void SlotDispatcher::upstreamsChanged(Instant now, SlotOutbox &outbox)
{
    serveQueue(now, outbox);
}

void SlotDispatcher::serveQueue(Instant now, SlotOutbox &outbox)
{
    refreshChangedUpstreams();
    if (!m_isRunning || isWaitingForReports(now)) {
        return;
    }
    // Requests without an objective are always served in the order of arrival.
    const SlotQueue::Position first = m_queue.front();
    m_queue.setNewestFirst(first != SlotQueue::None && m_queue[first].objective && isOverloaded());
    std::size_t skipped = 0;
    std::size_t held = 0;
    for (auto position = m_queue.front(); position != SlotQueue::None && skipped < ServeLookAhead;) {
        const SlotQueue::Position following = m_queue.next(position);
        SlotQueue::Entry &entry = m_queue[position];
        if (now + m_table.meanServiceTime() / ShortServiceDivisor > entry.deadline) {
            refuse(entry.member, entry.request.request, RefusalReason::DeadlineTooShort, outbox);
            m_queue.remove(position);
            position = skipped == 0 && held == 0 ? m_queue.front() : following;
            continue;
        }
        const Choice choice = chooseForQueued(position, held, now);
        if (choice.upstream == SlotSelector::None && entry.request.excluded.empty() && !choice.holdFor) {
            return;
        }
        if (choice.upstream == SlotSelector::None) {
            ++(choice.holdFor ? held : skipped);
            // The first request that cannot be served now must not keep those of other flows from being considered.
            position = skipped + held == 1 ? m_queue.first() : following;
            continue;
        }
        grant(entry.member, entry.request, choice, now, outbox);
        m_queue.removeServed(position);
        // Another flow may have the next turn, unless requests were skipped that would be chosen again.
        position = skipped == 0 && held == 0 ? m_queue.front() : following;
    }
}

void SlotDispatcher::tick(Instant now, SlotOutbox &outbox)
{
    if (!m_isRunning) {
        return;
    }
    checkOverdueAttempts(now);
    m_zoneExit.tick(now);
    serveQueue(now, outbox);
    expireAndReorderQueue(now, outbox);
}

void SlotDispatcher::expireAndReorderQueue(Instant now, SlotOutbox &outbox)
{
    const bool wasOverloaded = isOverloaded();
    std::size_t ahead = 0;
    for (auto position = m_queue.first(); position != SlotQueue::None;) {
        const SlotQueue::Position following = m_queue.next(position);
        SlotQueue::Entry &entry = m_queue[position];
        // Requests that arrived later with a higher priority may have left no grant for this one before its deadline.
        const Duration wait = isRationed() ? expectedWait(ahead) : Duration::zero();
        if (now + wait + m_table.meanServiceTime() / ShortServiceDivisor > entry.deadline) {
            refuse(entry.member, entry.request.request, RefusalReason::DeadlineTooShort, outbox);
            m_queue.remove(position);
        } else if (hasBecomeLate(entry, now) && wasOverloaded) {
            // Requests that can meet their objective take all slots; waiting longer would only delay the refusal.
            refuse(entry.member, entry.request.request, RefusalReason::Shed, outbox);
            m_queue.remove(position);
        } else {
            if (hasBecomeLate(entry, now)) {
                m_queue.demote(position);
            }
            if (now + AnnouncementMargin >= entry.responseDue) {
                announceWait(entry, ahead, now, outbox);
            }
            ++ahead;
        }
        position = following;
    }
}

bool SlotDispatcher::hasBecomeLate(const SlotQueue::Entry &entry, Instant now) const
{
    return !entry.isLate && entry.objective && now + m_table.meanServiceTime() > *entry.objective;
}

void SlotDispatcher::scheduleOverdueCheck(std::uint64_t grant, Instant now)
{
    if (m_table.meanServiceTime() == Duration::zero()) {
        return;
    }
    if (m_overdueChecks.full()) {
        m_overdueChecks.set_capacity(2 * m_overdueChecks.capacity());
    }
    m_overdueChecks.push_back({.at = now + m_table.meanServiceTime() * OverdueMultiple, .grant = grant});
}

void SlotDispatcher::checkOverdueAttempts(Instant now)
{
    while (!m_overdueChecks.empty() && m_overdueChecks.front().at <= now) {
        const auto found = m_grants.find(m_overdueChecks.front().grant);
        m_overdueChecks.pop_front();
        if (found != m_grants.end()) {
            m_table.recordOverdue(found->second.upstream, now - found->second.start, now);
        }
    }
}

void SlotDispatcher::addInFlight(UpstreamIndex index, int change)
{
    resizeInFlight();
    const int limit = m_table.limit(index);
    m_overcommitted -= std::max(0, m_inFlight[index] - limit);
    m_inFlight[index] += change;
    m_totalInFlight += change;
    m_overcommitted += std::max(0, m_inFlight[index] - limit);
    m_selector.refresh(m_table, index, m_inFlight[index]);
}

void SlotDispatcher::refreshChangedUpstreams()
{
    resizeInFlight();
    for (const UpstreamIndex index : m_table.takeChanged()) {
        m_selector.refresh(m_table, index, m_inFlight[index]);
    }
}

void SlotDispatcher::resizeInFlight()
{
    if (m_inFlight.size() < m_table.size()) {
        m_inFlight.resize(m_table.size());
    }
}

int SlotDispatcher::inFlight(UpstreamIndex index) const
{
    return index < m_inFlight.size() ? m_inFlight[index] : 0;
}

std::size_t SlotDispatcher::queued() const
{
    return m_queue.size();
}

std::uint64_t SlotDispatcher::grants() const
{
    return m_lastGrant;
}

const SlotSelector &SlotDispatcher::selector() const
{
    return m_selector;
}

} // namespace Filbertmount
