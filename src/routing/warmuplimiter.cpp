#include <filbertmount/routing/warmuplimiter.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Filbertmount {

namespace {

// A process that did not run for this long may have been replaced as the dispatcher meanwhile.
constexpr Duration SuspensionThreshold = std::chrono::milliseconds(500);
constexpr Duration StatementTolerance = std::chrono::milliseconds(500);
// A longer stated time is taken for an error, which must not ration an upstream forever.
constexpr Duration MaxStatedTime = std::chrono::minutes(10);
// Part of the slack that a dispatcher may use for a burst; the rest covers variations of the time from grant to arrival.
constexpr double SlackShareForBursts = 0.25;
// Part of the slack that a dispatcher may use while a predecessor may still use the whole rate.
constexpr double SlackShareForHandover = 0.5;
// Local attempts of many instances vary like a Poisson process. With this distance from the bound, in standard deviations, fewer
// than one of 1,000 seconds exceeds it.
constexpr double LocalDeviations = 4;
// Local attempts are drawn per period, because tokens that all instances had saved would be spent at once when the dispatcher
// fails. A shorter period leaves fewer unspent attempts at that time.
constexpr Duration LocalPeriod = std::chrono::milliseconds(200);
// With periods of 200 ms, local attempts in the first second without a dispatcher are up to 1.2 times the rate.
constexpr double LocalRateDivisor = 1.2;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Maps three numbers to a number from 0 to 1, uniformly distributed (finalizer of splitmix64). */
double uniformFraction(std::uint64_t seed, std::uint64_t index, std::uint64_t period)
{
    std::uint64_t value = seed + 0x9e3779b97f4a7c15U * (index + 1) + 0xd1b54a32d192ed03U * (period + 1);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    value ^= value >> 31U;
    return static_cast<double>(value) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

std::string_view warmupReasonName(WarmupReason reason)
{
    switch (reason) {
    case WarmupReason::Entry:
        return "entry";
    case WarmupReason::Restart:
        return "restart";
    case WarmupReason::Connection:
        return "connection";
    case WarmupReason::Response:
        return "response";
    case WarmupReason::HealthResponse:
        return "health-response";
    case WarmupReason::Elapsed:
        return "elapsed";
    }
    return "unknown";
}

bool WarmupChange::isUnexpected() const
{
    if (reason == WarmupReason::Entry || reason == WarmupReason::Elapsed) {
        return false;
    }
    // The last statement before the end and the time measured here differ by some round trips.
    return isCold || left > StatementTolerance;
}

WarmupLimiter::WarmupLimiter(WarmupOptions options)
    : m_options(options)
{
    m_options.instances = std::max(1.0, m_options.instances);
}

void WarmupLimiter::setOptions(const WarmupOptions &options)
{
    m_options = options;
    m_options.instances = std::max(1.0, m_options.instances);
    updateGrantRate(m_lastUpdate);
    for (UpstreamIndex index = 0; index < m_entries.size(); ++index) {
        applyEvidence(index, WarmupReason::Entry, m_lastUpdate);
    }
}

bool WarmupLimiter::isEnabled() const
{
    return m_options.rate > 0;
}

void WarmupLimiter::setRole(bool isDispatcher, std::size_t liveInstances, Instant now)
{
    const bool isAssigned = isDispatcher && !m_isDispatcher;
    m_isDispatcher = isDispatcher;
    m_liveInstances = std::max<std::size_t>(1, liveInstances);
    if (isAssigned) {
        restartGrants(now);
    }
    updateGrantRate(now);
    for (const UpstreamIndex index : m_cold) {
        updateBlocked(index);
    }
}

void WarmupLimiter::restartGrants(Instant now)
{
    // Previous dispatchers and local placements may have used the whole rate until now.
    m_settledAt = now + HandoverTime;
    for (const UpstreamIndex index : m_cold) {
        m_entries[index].tokens = 0;
    }
    m_lastUpdate = now;
}

double WarmupLimiter::spareRate() const
{
    return (m_options.overshoot - 1) * m_options.rate + m_options.slack * SlackShareForHandover;
}

double WarmupLimiter::maxTokens() const
{
    return std::max(1.0, m_options.slack * SlackShareForBursts);
}

double WarmupLimiter::localRate() const
{
    // A dispatcher may use the whole rate and its burst at the same time.
    const double room = (m_options.overshoot - 1) * m_options.rate + m_options.slack - maxTokens() - 1;
    // Solves x + LocalDeviations * sqrt(x) = room, where x is the mean number of attempts in a second.
    const double root = (std::sqrt(LocalDeviations * LocalDeviations + 4 * std::max(0.0, room)) - LocalDeviations) / 2;
    return std::min(m_options.rate, root * root) / LocalRateDivisor / m_options.instances;
}

void WarmupLimiter::updateGrantRate(Instant now)
{
    // The dispatchers on both sides of a partition divide the rate in proportion to the instances that they serve.
    const double share = std::min(1.0, static_cast<double>(m_liveInstances) / m_options.instances);
    const double rate = now < m_settledAt ? std::min(m_options.rate, spareRate()) : m_options.rate;
    m_grantRate = m_isDispatcher ? rate * share : 0;
}

double WarmupLimiter::grantRate() const
{
    return m_grantRate;
}

WarmupLimiter::Entry &WarmupLimiter::entryOf(UpstreamIndex index)
{
    if (index >= m_entries.size()) {
        m_entries.resize(index + std::size_t{1});
    }
    return m_entries[index];
}

void WarmupLimiter::recordEntry(UpstreamIndex index, Incarnation incarnation, Duration left, Instant now)
{
    Entry &entry = entryOf(index);
    const bool isRestart = entry.isKnown && entry.incarnation < incarnation;
    // The list of upstreams is applied again after each change of any of them. Only a changed statement is a new one.
    const bool isNewStatement = left > Duration::zero() && (!entry.isKnown || isRestart || left != entry.entryLeft);
    if (isRestart) {
        entry.statedUntil = Instant{};
        entry.inferredUntil = left > Duration::zero() ? Instant{} : now + m_options.duration;
    }
    if (isNewStatement) {
        entry.statedUntil = std::max(entry.statedUntil, now + std::min(left, MaxStatedTime));
    }
    entry.isKnown = true;
    entry.incarnation = incarnation;
    entry.entryLeft = left;
    if (isRestart || isNewStatement) {
        applyEvidence(index, isNewStatement ? WarmupReason::Entry : WarmupReason::Restart, now);
    }
}

void WarmupLimiter::recordAttempt(UpstreamIndex index, const AttemptReport &report, Instant now)
{
    const bool hasLostConnection = report.outcome == AttemptOutcome::ConnectFailed || report.outcome == AttemptOutcome::Broken;
    const bool isStatedCold = report.signals.warmup && *report.signals.warmup > Duration::zero();
    if (!hasLostConnection && !isStatedCold) {
        return;
    }
    Entry &entry = entryOf(index);
    if (hasLostConnection) {
        entry.inferredUntil = std::max(entry.inferredUntil, now + m_options.duration);
    }
    if (isStatedCold) {
        // The attempt may have started long ago or at a former process, so it cannot shorten a cold time.
        entry.statedUntil = std::max(entry.statedUntil, now + std::min(*report.signals.warmup, MaxStatedTime));
    }
    applyEvidence(index, isStatedCold ? WarmupReason::Response : WarmupReason::Connection, now);
}

void WarmupLimiter::recordSignals(UpstreamIndex index, const UpstreamSignals &signals, Instant now)
{
    Entry &entry = entryOf(index);
    const Duration previousLeft = timeLeft(index, now);
    if (signals.warmup) {
        entry.statedUntil = now + std::min(*signals.warmup, MaxStatedTime);
        entry.inferredUntil = Instant{};
        applyEvidence(index, WarmupReason::Response, now, previousLeft);
    } else if (signals.isHealthReport) {
        // A cold upstream states so in its health responses, so the process was not replaced or has become warm.
        entry.inferredUntil = Instant{};
        applyEvidence(index, WarmupReason::HealthResponse, now, previousLeft);
    }
}

void WarmupLimiter::applyEvidence(UpstreamIndex index, WarmupReason reason, Instant now, Duration previousLeft)
{
    Entry &entry = m_entries[index];
    const Duration left = timeLeft(index, now);
    const bool isCold = isEnabled() && left > Duration::zero();
    if (isCold == entry.isCold) {
        return;
    }
    entry.isCold = isCold;
    if (isCold) {
        entry.tokens = 0;
        m_cold.push_back(index);
    } else {
        std::erase(m_cold, index);
    }
    m_changes.push_back({.upstream = index, .isCold = isCold, .reason = reason, .left = isCold ? left : previousLeft});
    m_changed.push_back(index);
    updateBlocked(index);
}

void WarmupLimiter::updateBlocked(UpstreamIndex index)
{
    Entry &entry = m_entries[index];
    // Only the assigned dispatcher grants cold upstreams; one that members with another view have selected does not.
    const bool isBlocked = entry.isCold && (!m_isDispatcher || entry.tokens < 1);
    if (isBlocked != entry.isBlocked) {
        entry.isBlocked = isBlocked;
        m_changed.push_back(index);
    }
}

void WarmupLimiter::update(Instant now)
{
    const Duration elapsed = now - m_lastUpdate;
    if (elapsed > SuspensionThreshold) {
        restartGrants(now);
    }
    const double added = m_grantRate * std::max(0.0, toSeconds(now - m_lastUpdate));
    m_lastUpdate = now;
    updateGrantRate(now);
    // A change to warm removes the element, so the list is walked from its end.
    for (std::size_t position = m_cold.size(); position > 0; --position) {
        const UpstreamIndex index = m_cold[position - 1];
        Entry &entry = m_entries[index];
        entry.tokens = std::min(maxTokens(), entry.tokens + added);
        applyEvidence(index, WarmupReason::Elapsed, now);
        updateBlocked(index);
    }
}

bool WarmupLimiter::isCold(UpstreamIndex index) const
{
    return index < m_entries.size() && m_entries[index].isCold;
}

bool WarmupLimiter::isBlocked(UpstreamIndex index) const
{
    return index < m_entries.size() && m_entries[index].isBlocked;
}

double WarmupLimiter::tokens(UpstreamIndex index) const
{
    return isCold(index) ? m_entries[index].tokens : 0;
}

void WarmupLimiter::takeGrant(UpstreamIndex index)
{
    if (!isCold(index)) {
        return;
    }
    m_entries[index].tokens -= 1;
    updateBlocked(index);
}

bool WarmupLimiter::takeLocal(UpstreamIndex index, Instant now)
{
    Entry &entry = entryOf(index);
    const auto period = static_cast<std::int64_t>(now.time_since_epoch() / LocalPeriod);
    const double expected = localRate() * toSeconds(LocalPeriod);
    const double whole = std::floor(expected);
    const bool hasExtra = uniformFraction(m_options.seed, index, static_cast<std::uint64_t>(period)) < expected - whole;
    const std::uint64_t allowed = static_cast<std::uint64_t>(whole) + (hasExtra ? 1 : 0);
    if (entry.localPeriod != period) {
        entry.localPeriod = period;
        entry.localAttempts = 0;
    }
    if (entry.localAttempts >= allowed) {
        return false;
    }
    ++entry.localAttempts;
    return true;
}

Duration WarmupLimiter::localWait(std::size_t count) const
{
    const double rate = localRate() * static_cast<double>(count);
    const double longest = toSeconds(MaxStatedTime);
    const double seconds = rate > 0 ? std::min(longest, 1 / rate) : longest;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::span<const UpstreamIndex> WarmupLimiter::cold() const
{
    return m_cold;
}

Duration WarmupLimiter::timeLeft(UpstreamIndex index, Instant now) const
{
    if (index >= m_entries.size()) {
        return Duration::zero();
    }
    const Entry &entry = m_entries[index];
    return std::max<Duration>(Duration::zero(), std::max(entry.statedUntil, entry.inferredUntil) - now);
}

std::vector<UpstreamIndex> WarmupLimiter::takeChanged()
{
    return std::exchange(m_changed, {});
}

std::vector<WarmupChange> WarmupLimiter::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace Filbertmount
