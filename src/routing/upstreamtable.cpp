#include <filbertmount/routing/upstreamtable.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Filbertmount {

namespace {

// In a heavy-tailed service, a single service time is a poor estimate of an upstream's speed; five samples show
// a slowdown of 4.
constexpr double UpstreamSmoothing = 0.2;
constexpr double ServiceSmoothing = 1.0 / 256;
// An upstream that gets no requests because it was slow is tried again after about a second.
constexpr double SlownessHalfLifeSeconds = 1.0;
// Caps one sample at 20 times the mean, so that a single hung request does not keep an upstream out for long.
constexpr double MaxLogSample = 3.0;
// An upstream that fails half of its requests is recognized after three or four requests.
constexpr double FailureSmoothing = 0.2;
constexpr double FailureHalfLifeSeconds = 2.0;
// A failed attempt costs at least one retry and often the whole request, which equals several service times.
constexpr double SlownessPerFailure = 8.0;
// Load by other processes on an upstream's machine changes within about 150 ms, so an older report is no longer valid.
constexpr Duration PaceLifetime = std::chrono::milliseconds(200);
constexpr double PaceSmoothing = 1.0 / 64;
constexpr double MinPace = 0.1;
constexpr double MaxPace = 50.0;
constexpr double SheddingDecrease = 0.7;
constexpr double SuccessIncrease = 0.02;
constexpr int ConnectFailureWeight = 5; // A refused connection proves that no process listens: one is enough to eject.
constexpr double InitialColdShare = 0.25;
// A cold upstream responds about twice as slowly as a warm one.
constexpr double ColdSlowness = 2.0;
// Cold starts, ejections and decaying averages are updated at this interval, which bounds the work of a tick.
constexpr Duration StateUpdateInterval = std::chrono::milliseconds(100);

// Before the first second, the elapsed time is no estimate of the length of an evacuation. The end takes up to 5 s to be known
// everywhere, so that callers who wait longer would miss it by more than that.
constexpr Duration MinEvacuationRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxEvacuationRetryAfter = std::chrono::seconds(5);

// Below a millisecond, scheduling noise would make one upstream appear several times as slow as another.
constexpr double MinComparedSeconds = 1e-3;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Returns the natural logarithm of a service time, which is used to compare upstreams. */
double logServiceTime(Duration serviceTime)
{
    return std::log(std::max(toSeconds(serviceTime), MinComparedSeconds));
}

} // namespace

UpstreamTable::UpstreamTable(UpstreamTableOptions options)
    : m_options(options)
    , m_warmup(options.warmup)
{
}

void UpstreamTable::setOptions(const UpstreamTableOptions &options)
{
    m_options = options;
    m_warmup.setOptions(options.warmup);
}

void UpstreamTable::setRole(bool isDispatcher, std::size_t liveInstances, Instant now)
{
    m_warmup.setRole(isDispatcher, liveInstances, now);
    applyWarmup(now);
}

const WarmupLimiter &UpstreamTable::warmup() const
{
    return m_warmup;
}

WarmupLimiter &UpstreamTable::warmup()
{
    return m_warmup;
}

const ColdCapacity &UpstreamTable::coldCapacity() const
{
    return m_coldCapacity;
}

void UpstreamTable::recordWarmup(UpstreamIndex index, const UpstreamSignals &signals, Instant now)
{
    m_warmup.recordSignals(index, signals, now);
    applyWarmup(now);
}

void UpstreamTable::recordGrant(UpstreamIndex index)
{
    m_warmup.takeGrant(index);
}

void UpstreamTable::applyWarmup(Instant now)
{
    for (const UpstreamIndex index : m_warmup.takeChanged()) {
        refresh(index, now);
        markChanged(index);
    }
    m_coldCapacity = ColdCapacity();
    for (const UpstreamIndex index : m_warmup.cold()) {
        if (m_entries[index].limit > 0) {
            ++m_coldCapacity.upstreams;
            m_coldCapacity.tokens += m_warmup.tokens(index);
            m_coldCapacity.limit += m_entries[index].limit;
            m_coldCapacity.timeLeft = std::max(m_coldCapacity.timeLeft, m_warmup.timeLeft(index, now));
        }
    }
}

UpstreamIndex UpstreamTable::addOrUpdate(const RoutedUpstream &upstream, Instant now)
{
    const auto [found, isNew] = m_indices.try_emplace(upstream.id.value(), static_cast<UpstreamIndex>(m_entries.size()));
    if (isNew) {
        m_entries.emplace_back();
        m_changed.reserve(m_entries.size());
        m_takenChanges.reserve(m_entries.size());
    }
    Entry &entry = m_entries[found->second];
    const bool isReplaced = !isNew && entry.upstream.incarnation < upstream.incarnation;
    if (upstream.isEvacuated) {
        entry.upstream = upstream;
        return found->second;
    }
    if (isNew || isReplaced || !entry.isListed) {
        // A draining upstream stays so when its entry only lapsed. Without an incarnation, a restart cannot be recognized.
        const bool isSameProcess = upstream.incarnation != Incarnation() && upstream.incarnation == entry.upstream.incarnation;
        entry = Entry{.draining = isSameProcess ? entry.draining : std::nullopt,
                      .lastSample = now,
                      .limit = entry.limit,
                      .slowness = entry.slowness,
                      .isChanged = entry.isChanged};
        if (m_hasUpstreams) {
            entry.coldSince = now;
        }
    }
    entry.upstream = upstream;
    entry.isListed = true;
    return found->second;
}

void UpstreamTable::update(std::span<const RoutedUpstream> upstreams, Instant now)
{
    std::vector<bool> listed(m_entries.size() + upstreams.size(), false);
    m_hasEvacuated = false;
    bool hasListed = false;
    for (const RoutedUpstream &upstream : upstreams) {
        const UpstreamIndex index = addOrUpdate(upstream, now);
        listed[index] = !upstream.isEvacuated;
        m_warmup.recordEntry(index, upstream.incarnation, upstream.warmupLeft, now);
        m_hasEvacuated = m_hasEvacuated || upstream.isEvacuated;
        hasListed = hasListed || !upstream.isEvacuated;
    }
    if (hasListed || !m_hasEvacuated) {
        m_evacuatedSince.reset();
    } else {
        m_evacuatedSince = m_evacuatedSince.value_or(now);
    }
    for (UpstreamIndex index = 0; index < m_entries.size(); ++index) {
        m_entries[index].isListed = listed[index];
        refresh(index, now);
    }
    m_hasUpstreams = m_hasUpstreams || !upstreams.empty();
    applyWarmup(now);
}

std::optional<UpstreamIndex> UpstreamTable::find(std::string_view id) const
{
    const auto found = m_indices.find(absl::string_view(id.data(), id.size()));
    if (found == m_indices.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::size_t UpstreamTable::size() const
{
    return m_entries.size();
}

const RoutedUpstream &UpstreamTable::upstream(UpstreamIndex index) const
{
    return m_entries[index].upstream;
}

UpstreamState UpstreamTable::state(UpstreamIndex index) const
{
    return m_entries[index].state;
}

bool UpstreamTable::isEjected(UpstreamIndex index) const
{
    return m_entries[index].ejectedUntil.has_value();
}

bool UpstreamTable::isListed(UpstreamIndex index) const
{
    return m_entries[index].isListed;
}

bool UpstreamTable::hasEvacuated() const
{
    return m_hasEvacuated;
}

std::optional<Duration> UpstreamTable::evacuationRetryAfter(Instant now) const
{
    if (!m_evacuatedSince) {
        return std::nullopt;
    }
    return std::clamp(now - *m_evacuatedSince, MinEvacuationRetryAfter, MaxEvacuationRetryAfter);
}

bool UpstreamTable::isDraining(UpstreamIndex index) const
{
    const Entry &entry = m_entries[index];
    return entry.draining == entry.upstream.incarnation;
}

void UpstreamTable::recordDraining(UpstreamIndex index, Incarnation incarnation, Instant now)
{
    Entry &entry = m_entries[index];
    if (incarnation == entry.upstream.incarnation) {
        entry.draining = incarnation;
    }
    refresh(index, now);
}

void UpstreamTable::setState(UpstreamIndex index, UpstreamState state, Instant now)
{
    m_entries[index].state = state;
    refresh(index, now);
}

void UpstreamTable::record(UpstreamIndex index, const AttemptReport &report, Instant now)
{
    Entry &entry = m_entries[index];
    if (report.pace) {
        recordPace(index, *report.pace, now);
    }
    if (report.signals.draining) {
        recordDraining(index, *report.signals.draining, now);
    }
    switch (report.outcome) {
    case AttemptOutcome::Success:
        recordOutcome(entry, false, now);
        recordSuccess(index, report.serviceTime, now);
        break;
    case AttemptOutcome::ServerError:
    case AttemptOutcome::Broken:
        recordOutcome(entry, true, now);
        recordFailure(index, now, 1);
        break;
    case AttemptOutcome::RefusedWithRoom:
        recordOutcome(entry, true, now);
        break;
    case AttemptOutcome::ConnectFailed:
        recordOutcome(entry, true, now);
        recordFailure(index, now, ConnectFailureWeight);
        break;
    case AttemptOutcome::TimedOut:
        recordOverdue(index, report.serviceTime, now);
        recordFailure(index, now, 1);
        break;
    case AttemptOutcome::Cancelled:
        recordOverdue(index, report.serviceTime, now);
        break;
    case AttemptOutcome::RefusedDraining:
        entry.state = UpstreamState::Draining;
        break;
    case AttemptOutcome::RefusedStarting:
        entry.coldSince = now;
        break;
    case AttemptOutcome::RefusedShedding:
        // Refusals within one mean service time belong to one burst and count once.
        if (now - entry.lastShedding > meanServiceTime()) {
            entry.shareAfterShedding *= SheddingDecrease;
            entry.lastShedding = now;
        }
        break;
    case AttemptOutcome::Unused:
        break;
    }
    m_warmup.recordAttempt(index, report, now);
    refresh(index, now);
    applyWarmup(now);
}

void UpstreamTable::recordPace(UpstreamIndex index, double pace, Instant now)
{
    Entry &entry = m_entries[index];
    entry.pace = std::clamp(pace, MinPace, MaxPace);
    entry.paceAt = now;
    m_meanPace += PaceSmoothing * (*entry.pace - m_meanPace);
    refresh(index, now);
}

std::optional<Instant> UpstreamTable::lastPaceAt(UpstreamIndex index) const
{
    const Entry &entry = m_entries[index];
    return entry.pace ? std::optional(entry.paceAt) : std::nullopt;
}

double UpstreamTable::failureShareOf(const Entry &entry, Instant now)
{
    const double age = std::max(0.0, toSeconds(now - entry.failureAt));
    return entry.failureShare * std::exp2(-age / FailureHalfLifeSeconds);
}

void UpstreamTable::recordOutcome(Entry &entry, bool hasFailed, Instant now)
{
    const double decayed = failureShareOf(entry, now);
    entry.failureShare = decayed + FailureSmoothing * ((hasFailed ? 1.0 : 0.0) - decayed);
    entry.failureAt = now;
}

double UpstreamTable::paceOf(const Entry &entry, Instant now) const
{
    if (!entry.pace) {
        return 1;
    }
    return now - entry.paceAt <= PaceLifetime ? *entry.pace : m_meanPace;
}

double UpstreamTable::coldFactor(UpstreamIndex index) const
{
    return m_warmup.isCold(index) ? ColdSlowness : 1.0;
}

void UpstreamTable::recordSuccess(UpstreamIndex index, Duration serviceTime, Instant now)
{
    Entry &entry = m_entries[index];
    const double seconds = std::max(toSeconds(serviceTime), 1e-6);
    // A cold upstream is slow for a known time, after which it must not count as a straggler.
    const double logarithm = logServiceTime(serviceTime) - std::log(coldFactor(index));
    ++m_samples;
    const double weight = std::max(ServiceSmoothing, 1.0 / static_cast<double>(m_samples));
    m_meanSeconds += weight * (seconds - m_meanSeconds);
    m_meanLog += weight * (logarithm - m_meanLog);
    // The part of the service time that the reported pace explains is not attributed to the upstream itself.
    recordSlowness(entry, logarithm - m_meanLog - std::log(paceOf(entry, now) / m_meanPace), now);
    entry.shareAfterShedding = std::min(1.0, entry.shareAfterShedding + SuccessIncrease);
    entry.failuresInRow = 0;
    entry.ejectionsInRow = 0;
}

void UpstreamTable::recordOverdue(UpstreamIndex index, Duration elapsed, Instant now)
{
    if (m_samples == 0 || elapsed <= Duration::zero()) {
        return;
    }
    Entry &entry = m_entries[index];
    const double sample = logServiceTime(elapsed) - std::log(coldFactor(index)) - m_meanLog;
    // The elapsed time is a lower bound of the service time; below the expected value it gives no information.
    if (sample > entry.logSlowness) {
        recordSlowness(entry, sample, now);
        refresh(index, now);
    }
}

void UpstreamTable::recordSlowness(Entry &entry, double sample, Instant now)
{
    const double age = toSeconds(now - entry.lastSample);
    const double decayed = entry.logSlowness * std::exp2(-std::max(0.0, age) / SlownessHalfLifeSeconds);
    entry.logSlowness = decayed + UpstreamSmoothing * (std::clamp(sample, -MaxLogSample, MaxLogSample) - decayed);
    entry.lastSample = now;
}

void UpstreamTable::recordFailure(UpstreamIndex index, Instant now, int weight)
{
    Entry &entry = m_entries[index];
    entry.failuresInRow += weight;
    if (entry.failuresInRow >= m_options.failuresToEject && !entry.ejectedUntil) {
        eject(index, now);
    }
}

void UpstreamTable::eject(UpstreamIndex index, Instant now)
{
    if (!mayEject()) {
        return;
    }
    Entry &entry = m_entries[index];
    const int doublings = std::min(entry.ejectionsInRow, 16);
    entry.ejectedUntil = now + std::min(m_options.baseEjectionTime * (1 << doublings), m_options.maxEjectionTime);
    ++entry.ejectionsInRow;
    // One more failure after the ejection ends is enough to eject again.
    entry.failuresInRow = m_options.failuresToEject - 1;
}

bool UpstreamTable::mayEject() const
{
    std::size_t live = 0;
    std::size_t ejected = 0;
    for (const Entry &entry : m_entries) {
        const bool counts = entry.isListed && entry.state == UpstreamState::Live;
        live += counts ? 1 : 0;
        ejected += counts && entry.ejectedUntil ? 1 : 0;
    }
    return 2 * (ejected + 1) <= live;
}

void UpstreamTable::tick(Instant now)
{
    m_warmup.update(now);
    applyWarmup(now);
    const bool isUpdateDue = now - m_lastTick >= StateUpdateInterval;
    if (!isUpdateDue) {
        return;
    }
    m_lastTick = now;
    for (UpstreamIndex index = 0; index < m_entries.size(); ++index) {
        Entry &entry = m_entries[index];
        if (entry.ejectedUntil && now >= *entry.ejectedUntil) {
            entry.ejectedUntil.reset();
        }
        if (entry.coldSince && now - *entry.coldSince >= m_options.coldStart) {
            entry.coldSince.reset();
        }
        refresh(index, now);
    }
}

int UpstreamTable::currentLimit(const Entry &entry, Instant now) const
{
    const bool isDraining = entry.draining == entry.upstream.incarnation;
    if (!entry.isListed || entry.state != UpstreamState::Live || isDraining || entry.ejectedUntil) {
        return 0;
    }
    double share = entry.shareAfterShedding;
    if (entry.coldSince) {
        const double warm = toSeconds(now - *entry.coldSince) / std::max(toSeconds(m_options.coldStart), 1e-9);
        share *= std::clamp(warm, InitialColdShare, 1.0);
    }
    return std::max(1, static_cast<int>(std::ceil(entry.upstream.slots * share - 1e-9)));
}

void UpstreamTable::refresh(UpstreamIndex index, Instant now)
{
    Entry &entry = m_entries[index];
    const int limit = currentLimit(entry, now);
    const double age = std::max(0.0, toSeconds(now - entry.lastSample));
    const double measuredSlowness = std::exp(entry.logSlowness * std::exp2(-age / SlownessHalfLifeSeconds));
    const double failureFactor = 1 + SlownessPerFailure * failureShareOf(entry, now);
    const double slowness = measuredSlowness * paceOf(entry, now) * failureFactor * coldFactor(index);
    if (limit == entry.limit && slowness == entry.slowness) {
        return;
    }
    m_totalLimit += limit - entry.limit;
    m_usableCount += limit > 0 ? 1 : 0;
    m_usableCount -= entry.limit > 0 ? 1 : 0;
    m_nonStragglerLimit -= entry.slowness <= StragglerSlowness ? entry.limit : 0;
    m_nonStragglerLimit += slowness <= StragglerSlowness ? limit : 0;
    entry.limit = limit;
    entry.slowness = slowness;
    markChanged(index);
}

void UpstreamTable::markChanged(UpstreamIndex index)
{
    if (!m_entries[index].isChanged) {
        m_entries[index].isChanged = true;
        m_changed.push_back(index);
    }
}

int UpstreamTable::limit(UpstreamIndex index) const
{
    return m_entries[index].limit;
}

int UpstreamTable::totalLimit() const
{
    return m_totalLimit;
}

std::size_t UpstreamTable::usableCount() const
{
    return m_usableCount;
}

int UpstreamTable::nonStragglerLimit() const
{
    return m_nonStragglerLimit;
}

double UpstreamTable::slowness(UpstreamIndex index) const
{
    return m_entries[index].slowness;
}

Duration UpstreamTable::meanServiceTime() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_meanSeconds));
}

std::span<const UpstreamIndex> UpstreamTable::takeChanged()
{
    std::swap(m_changed, m_takenChanges);
    m_changed.clear();
    for (const UpstreamIndex index : m_takenChanges) {
        m_entries[index].isChanged = false;
    }
    return m_takenChanges;
}

} // namespace Filbertmount
