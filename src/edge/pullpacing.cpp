#include <filbertmount/edge/pullpacing.h>

#include <algorithm>

namespace Filbertmount {

bool PullPacing::take(Instant now)
{
    const bool isReceiving = m_lastPart && now - *m_lastPart < TransferPause;
    const bool isWaiting = m_lastPull && now - *m_lastPull < m_wait;
    if (isReceiving || isWaiting) {
        return false;
    }
    if (m_lastPull) {
        m_wait = std::min(2 * m_wait, LongestWait);
    }
    m_lastPull = now;
    return true;
}

void PullPacing::notePart(Instant now)
{
    m_lastPart = now;
}

void PullPacing::noteComplete()
{
    m_lastPart.reset();
    m_lastPull.reset();
    m_wait = ShortestWait;
}

} // namespace Filbertmount
