#include <filbertmount/replication/freshnessgate.h>

namespace Filbertmount {

FreshnessGate::FreshnessGate(Options options, Instant now)
    : m_options(options)
    , m_lastTick(now)
    , m_heldSince(now)
{
}

bool FreshnessGate::tick(Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    const bool gap = noteGap(now);
    m_lastTick = now;
    return gap;
}

bool FreshnessGate::noteGap(Instant now)
{
    if (now - m_lastTick <= m_options.maxGap) {
        return false;
    }
    m_lastTick = now;
    m_held = true;
    m_heldSince = now;
    return true;
}

bool FreshnessGate::admits(Instant now, bool hasDocuments)
{
    const absl::MutexLock lock(&m_mutex);
    noteGap(now);
    if (!m_held) {
        return true;
    }
    return hasDocuments && now - m_heldSince >= m_options.maxHold;
}

void FreshnessGate::confirm(Instant begun)
{
    const absl::MutexLock lock(&m_mutex);
    // An answer to a question from before the freeze says nothing about what was missed since.
    if (begun >= m_heldSince) {
        m_held = false;
    }
}

bool FreshnessGate::confirmed() const
{
    const absl::MutexLock lock(&m_mutex);
    return !m_held;
}

} // namespace Filbertmount
