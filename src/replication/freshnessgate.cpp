#include <filbertmount/replication/freshnessgate.h>

namespace Filbertmount {

FreshnessGate::FreshnessGate(Options options, Instant now)
    : m_options(options)
    , m_lastTick(now)
    , m_holdingSince(now)
{
}

bool FreshnessGate::tick(Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    const bool wasSuspended = detectSuspension(now);
    m_lastTick = now;
    return wasSuspended;
}

bool FreshnessGate::detectSuspension(Instant now)
{
    if (now - m_lastTick <= m_options.maxGap) {
        return false;
    }
    m_lastTick = now;
    m_holding = true;
    m_holdingSince = now;
    return true;
}

bool FreshnessGate::admits(Instant now, bool hasDocuments)
{
    const absl::MutexLock lock(&m_mutex);
    detectSuspension(now);
    if (!m_holding) {
        return true;
    }
    return hasDocuments && now - m_holdingSince >= m_options.maxHold;
}

void FreshnessGate::confirm(Instant startedAt)
{
    const absl::MutexLock lock(&m_mutex);
    // An exchange that was started before the suspension does not cover the changes that were missed during it.
    if (startedAt >= m_holdingSince) {
        m_holding = false;
    }
}

bool FreshnessGate::confirmed() const
{
    const absl::MutexLock lock(&m_mutex);
    return !m_holding;
}

} // namespace Filbertmount
