#include <filbertmount/routing/slotclient.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr double ResponseTimeSmoothing = 0.1;
// The timeout must be well above the usual response time, or responses on a slow network would arrive after it.
constexpr double ResponseTimeMultiple = 4;
// The cost of random draws does not grow with the number of upstreams; a scan is needed only when few of them are usable.
constexpr int DrawsBeforeScan = 16;
// An empty report corrects a count that is too high. It is repeated because a message may be lost.
constexpr int RepeatedEmptyReports = 3;
// Bounds the size of a request. A grant of a paused upstream that the request does not exclude is returned unused.
constexpr std::size_t MaxPausedInRequest = 8;
// Longest part of a pause or evacuation by which a refused caller is asked to come back later than at its expected end.
constexpr double MaxSpreadOfPause = 0.25;

bool contains(const absl::InlinedVector<UpstreamIndex, 2> &indices, UpstreamIndex index)
{
    return std::find(indices.begin(), indices.end(), index) != indices.end();
}

} // namespace

void SlotDecisions::clear()
{
    placements.clear();
    refusals.clear();
}

SlotClient::SlotClient(UpstreamTable &table, SlotClientOptions options)
    : m_table(table)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
}

void SlotClient::setDispatcher(std::optional<MemberIndex> dispatcher, Instant now, SlotOutbox &outbox, SlotDecisions &decisions)
{
    if (m_dispatcher == dispatcher) {
        return;
    }
    m_dispatcher = dispatcher;
    m_lastGrant = 0;
    m_timeoutsInRow = 0;
    m_responseTime = 0;
    if (m_dispatcher) {
        sendReport(now, outbox);
    }
    // Requests that wait at the old dispatcher are sent to the new one; a late grant of the old one is released unused.
    absl::flat_hash_map<std::uint64_t, Pending> waiting;
    std::swap(waiting, m_pending);
    for (auto &[number, pending] : waiting) {
        pending.request.timeLeft = pending.deadline - now;
        request(std::move(pending.request), now, outbox, decisions);
    }
}

std::optional<MemberIndex> SlotClient::dispatcher() const
{
    return m_dispatcher;
}

Duration SlotClient::timeout() const
{
    const Duration adapted(static_cast<std::int64_t>(m_responseTime * ResponseTimeMultiple));
    return std::max(m_options.grantTimeout, adapted);
}

bool SlotClient::startDispatcherRequest(Instant now)
{
    if (!m_dispatcher) {
        return false;
    }
    const bool isBackingOff = m_timeoutsInRow >= m_options.timeoutsBeforeBackoff;
    if (isBackingOff && now - m_lastRequestAt < m_options.backoffRequestInterval) {
        return false;
    }
    m_lastRequestAt = now;
    return true;
}

void SlotClient::request(SlotRequest request, Instant now, SlotOutbox &outbox, SlotDecisions &decisions)
{
    if (const std::optional<Duration> retryAfter = m_table.evacuationRetryAfter(now)) {
        refuse(request, RefusalReason::ZonesEvacuated, *retryAfter, decisions);
        return;
    }
    if (const std::optional<Duration> pauseLeft = timeUntilUnpaused(request, now)) {
        refuse(request, RefusalReason::UpstreamsPaused, *pauseLeft, decisions);
        return;
    }
    excludePaused(request, now);
    request.zone = m_options.zone.value();
    if (!startDispatcherRequest(now)) {
        placeLocally(request, now, decisions);
        return;
    }
    outbox.push_back({.peer = *m_dispatcher, .message = request});
    Pending pending{.deadline = now + request.timeLeft, .sent = now, .responseDue = now + timeout()};
    const std::uint64_t number = request.request;
    pending.request = std::move(request);
    m_pending.insert_or_assign(number, std::move(pending));
}

void SlotClient::placeLocally(const SlotRequest &request, Instant now, SlotDecisions &decisions)
{
    // A hedged attempt must not take a slot that may be in use, which is unknown without a grant.
    std::optional<UpstreamIndex> upstream = request.isImmediate ? std::nullopt : betterOfTwoRandom(request, now);
    std::size_t cold = 0;
    if (!upstream && !request.isImmediate) {
        upstream = coldUpstream(request, now, cold);
    }
    if (!upstream && cold > 0) {
        decisions.refusals.push_back({.request = request.request,
                                      .reason = RefusalReason::UpstreamsCold,
                                      .retryAfter = std::min(m_table.coldCapacity().timeLeft, m_table.warmup().localWait(cold))});
        return;
    }
    if (!upstream) {
        if (const std::optional<Duration> retryAfter = m_table.evacuationRetryAfter(now)) {
            refuse(request, RefusalReason::ZonesEvacuated, *retryAfter, decisions);
        } else if (const std::optional<Duration> pauseLeft = timeUntilUnpaused(request, now)) {
            refuse(request, RefusalReason::UpstreamsPaused, *pauseLeft, decisions);
        } else {
            decisions.refusals.push_back({.request = request.request, .retryAfter = m_table.meanServiceTime()});
        }
        return;
    }
    ++m_localPlacements;
    ++m_localInFlight;
    beginAttempt({.request = request.request, .upstream = *upstream, .grant = NoGrant}, decisions);
}

std::optional<UpstreamIndex> SlotClient::betterOfTwoRandom(const SlotRequest &request, Instant now)
{
    const std::optional<UpstreamIndex> first = randomUsableUpstream(request, now);
    if (!first) {
        return std::nullopt;
    }
    const UpstreamIndex second = *randomUsableUpstream(request, now);
    return load(second) < load(*first) ? second : *first;
}

std::optional<UpstreamIndex> SlotClient::randomUsableUpstream(const SlotRequest &request, Instant now)
{
    resizeInFlight();
    if (m_table.size() == 0) {
        return std::nullopt;
    }
    std::uniform_int_distribution<UpstreamIndex> any(0, static_cast<UpstreamIndex>(m_table.size() - 1));
    const auto isUsable = [&](UpstreamIndex index) {
        return isCandidate(index, request) && !isPaused(index, now) && !m_table.warmup().isCold(index);
    };
    for (int draw = 0; draw < DrawsBeforeScan; ++draw) {
        const UpstreamIndex index = any(m_random);
        if (isUsable(index)) {
            return index;
        }
    }
    const UpstreamIndex start = any(m_random);
    for (UpstreamIndex step = 0; step < m_table.size(); ++step) {
        const auto index = static_cast<UpstreamIndex>((start + step) % m_table.size());
        if (isUsable(index)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<UpstreamIndex> SlotClient::coldUpstream(const SlotRequest &request, Instant now, std::size_t &candidates)
{
    const std::span<const UpstreamIndex> cold = m_table.warmup().cold();
    if (cold.empty()) {
        return std::nullopt;
    }
    const std::size_t start = std::uniform_int_distribution<std::size_t>(0, cold.size() - 1)(m_random);
    for (std::size_t step = 0; step < cold.size(); ++step) {
        const UpstreamIndex index = cold[(start + step) % cold.size()];
        if (!isCandidate(index, request) || isPaused(index, now)) {
            continue;
        }
        ++candidates;
        if (m_table.warmup().takeLocal(index, now)) {
            return index;
        }
    }
    return std::nullopt;
}

double SlotClient::load(UpstreamIndex index) const
{
    return (m_inFlight[index] + 1) * m_table.slowness(index) / m_table.limit(index);
}

void SlotClient::beginAttempt(const SlotPlacement &placement, SlotDecisions &decisions)
{
    resizeInFlight();
    ++m_inFlight[placement.upstream];
    m_emptyReports = 0;
    decisions.placements.push_back(placement);
}

void SlotClient::release(const SlotPlacement &placement, const AttemptReport &report, Instant now, SlotOutbox &outbox)
{
    resizeInFlight();
    m_inFlight[placement.upstream] = std::max(0, m_inFlight[placement.upstream] - 1);
    if (placement.grant == NoGrant) {
        m_localInFlight = std::max(0, m_localInFlight - 1);
    }
    if (report.signals.pause) {
        recordPause(placement.upstream, *report.signals.pause, now);
    }
    // A dispatcher in this instance shares the table and records the attempt itself.
    if (m_dispatcher != SelfMember) {
        m_table.record(placement.upstream, report, now);
    }
    if (!m_dispatcher) {
        return;
    }
    outbox.push_back(
        {.peer = *m_dispatcher,
         .message = SlotRelease{
             .request = placement.request, .grant = placement.grant, .upstream = placement.upstream, .report = report}});
}

void SlotClient::handle(MemberIndex from, const SlotGrant &grant, Instant now, SlotOutbox &outbox, SlotDecisions &decisions)
{
    if (m_dispatcher == from) {
        m_lastGrant = std::max(m_lastGrant, grant.grant);
        m_timeoutsInRow = 0;
    }
    const auto pending = m_pending.find(grant.request);
    if (pending == m_pending.end() || m_dispatcher != from) {
        // The request was placed without this grant or was cancelled: release the slot unused.
        outbox.push_back({.peer = from,
                          .message = SlotRelease{.request = grant.request,
                                                 .grant = grant.grant,
                                                 .upstream = grant.upstream,
                                                 .report = {.outcome = AttemptOutcome::Unused}}});
        return;
    }
    const bool acceptsAttempts = m_table.isListed(grant.upstream) && m_table.state(grant.upstream) == UpstreamState::Live
        && !m_table.isDraining(grant.upstream) && !isPaused(grant.upstream, now);
    if (!acceptsAttempts) {
        // The dispatcher has not received the upstream's state yet. The upstream must get no new attempts all the same.
        handleUnknownUpstream(from, grant, now, outbox, decisions);
        return;
    }
    recordResponse(pending->second, now);
    m_pending.erase(pending);
    ++m_grants;
    beginAttempt({.request = grant.request, .upstream = grant.upstream, .grant = grant.grant, .exitReason = grant.exitReason},
                 decisions);
}

void SlotClient::recordResponse(const Pending &pending, Instant now)
{
    m_timeoutsInRow = 0;
    // Only the first response measures the round trip to the dispatcher; later ones include the wait in its queue.
    if (pending.responseDue - pending.sent > timeout()) {
        return;
    }
    const auto elapsed = static_cast<double>((now - pending.sent).count());
    m_responseTime = m_responseTime == 0 ? elapsed : m_responseTime + ResponseTimeSmoothing * (elapsed - m_responseTime);
}

void SlotClient::handle(MemberIndex from, const SlotQueued &queued, Instant now)
{
    const auto pending = m_pending.find(queued.request);
    if (pending == m_pending.end() || m_dispatcher != from) {
        return;
    }
    recordResponse(pending->second, now);
    pending->second.responseDue = now + queued.wait + timeout();
}

void SlotClient::handle(MemberIndex from, const SlotRefusal &refusal, Instant now, SlotDecisions &decisions)
{
    const auto pending = m_pending.find(refusal.request);
    if (pending == m_pending.end() || m_dispatcher != from) {
        return;
    }
    recordResponse(pending->second, now);
    const SlotRequest request = std::move(pending->second.request);
    m_pending.erase(pending);
    if (refusal.reason == RefusalReason::NoUpstream) {
        // A dispatcher that has just started may not have received the list of upstreams yet.
        placeLocally(request, now, decisions);
        return;
    }
    decisions.refusals.push_back(refusal);
}

void SlotClient::handleUnknownUpstream(MemberIndex from,
                                       const SlotGrant &grant,
                                       Instant now,
                                       SlotOutbox &outbox,
                                       SlotDecisions &decisions)
{
    const auto pending = m_pending.find(grant.request);
    if (pending == m_pending.end() || m_dispatcher != from) {
        return;
    }
    // The report covers the grant and does not list the upstream, so that the dispatcher removes the grant from its counts.
    m_lastGrant = std::max(m_lastGrant, grant.grant);
    sendReport(now, outbox);
    const SlotRequest request = std::move(pending->second.request);
    m_pending.erase(pending);
    placeLocally(request, now, decisions);
}

void SlotClient::recordPause(UpstreamIndex index, Duration pause, Instant now)
{
    const Instant until = now + pause;
    const Incarnation incarnation = m_table.upstream(index).incarnation;
    const auto known = std::find_if(m_pauses.begin(), m_pauses.end(), [index](const Pause &item) {
        return item.upstream == index;
    });
    if (known == m_pauses.end()) {
        m_pauses.push_back({.upstream = index, .incarnation = incarnation, .until = until});
        return;
    }
    // A shorter pause in the response to an earlier request does not end a longer one.
    known->until = known->incarnation == incarnation ? std::max(known->until, until) : until;
    known->incarnation = incarnation;
}

bool SlotClient::isPaused(UpstreamIndex index, Instant now) const
{
    return std::any_of(m_pauses.begin(), m_pauses.end(), [&](const Pause &pause) {
        return pause.upstream == index && now < pause.until && pause.incarnation == m_table.upstream(index).incarnation;
    });
}

bool SlotClient::isCandidate(UpstreamIndex index, const SlotRequest &request) const
{
    return m_table.limit(index) > 0 && !contains(request.excluded, index);
}

std::optional<Duration> SlotClient::timeUntilUnpaused(const SlotRequest &request, Instant now) const
{
    std::optional<Instant> firstEnd;
    std::size_t paused = 0;
    for (const Pause &pause : m_pauses) {
        if (isCandidate(pause.upstream, request) && isPaused(pause.upstream, now)) {
            firstEnd = std::min(firstEnd.value_or(pause.until), pause.until);
            ++paused;
        }
    }
    if (!firstEnd) {
        return std::nullopt;
    }
    std::size_t candidates = 0;
    for (UpstreamIndex index = 0; index < m_table.size(); ++index) {
        candidates += isCandidate(index, request) ? 1 : 0;
    }
    return paused == candidates ? std::optional(*firstEnd - now) : std::nullopt;
}

void SlotClient::refuse(const SlotRequest &request, RefusalReason reason, Duration wait, SlotDecisions &decisions)
{
    // Callers that were refused during one pause return spread over its end instead of all at once.
    std::uniform_real_distribution<double> spread(0, MaxSpreadOfPause);
    const auto extra = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait) * spread(m_random));
    decisions.refusals.push_back({.request = request.request, .reason = reason, .retryAfter = wait + extra});
}

void SlotClient::excludePaused(SlotRequest &request, Instant now) const
{
    std::size_t added = 0;
    for (const Pause &pause : m_pauses) {
        if (added < MaxPausedInRequest && isCandidate(pause.upstream, request) && isPaused(pause.upstream, now)) {
            request.excluded.push_back(pause.upstream);
            ++added;
        }
    }
}

void SlotClient::tick(Instant now, SlotOutbox &outbox, SlotDecisions &decisions)
{
    std::erase_if(m_pauses, [now](const Pause &pause) {
        return now >= pause.until;
    });
    m_expired.clear();
    for (const auto &[number, pending] : m_pending) {
        if (now >= pending.responseDue) {
            m_expired.push_back(number);
        }
    }
    std::sort(m_expired.begin(), m_expired.end());
    for (const std::uint64_t number : m_expired) {
        const auto node = m_pending.extract(number);
        ++m_timeoutsInRow;
        outbox.push_back({.peer = *m_dispatcher, .message = SlotRelease{.request = number}});
        placeLocally(node.mapped().request, now, decisions);
    }
    const bool hasLocalAttempts = m_localInFlight > 0 || m_hasReportedLocal;
    const Duration usual = hasLocalAttempts ? m_options.localPlacementReportInterval : m_options.reportInterval;
    const Duration interval = m_emptyReports >= RepeatedEmptyReports ? m_options.idleReportInterval : usual;
    if (m_dispatcher && now - m_lastReport >= interval) {
        sendReport(now, outbox);
    }
}

void SlotClient::sendReport(Instant now, SlotOutbox &outbox)
{
    m_lastReport = now;
    m_hasReportedLocal = m_localInFlight > 0;
    InFlightReport report{.upstreams = {}, .lastGrant = m_lastGrant};
    for (UpstreamIndex index = 0; index < m_inFlight.size(); ++index) {
        if (m_inFlight[index] > 0) {
            report.upstreams.push_back({.upstream = index, .attempts = m_inFlight[index]});
        }
    }
    m_emptyReports = report.upstreams.empty() ? m_emptyReports + 1 : 0;
    outbox.push_back({.peer = *m_dispatcher, .message = std::move(report)});
}

void SlotClient::resizeInFlight()
{
    if (m_inFlight.size() < m_table.size()) {
        m_inFlight.resize(m_table.size());
    }
}

int SlotClient::inFlight(UpstreamIndex index) const
{
    return index < m_inFlight.size() ? m_inFlight[index] : 0;
}

std::size_t SlotClient::waiting() const
{
    return m_pending.size();
}

std::uint64_t SlotClient::localPlacements() const
{
    return m_localPlacements;
}

std::uint64_t SlotClient::grants() const
{
    return m_grants;
}

} // namespace Filbertmount
