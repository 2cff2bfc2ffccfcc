#include <filbertmount/edge/pullbackoff.h>

#include <algorithm>

namespace Filbertmount {

bool PullBackoff::tryPull(Instant now)
{
    const bool isReceiving = m_lastPartAt && now - *m_lastPartAt < TransferTimeout;
    const bool isWaiting = m_lastPullAt && now - *m_lastPullAt < m_wait;
    if (isReceiving || isWaiting) {
        return false;
    }
    if (m_lastPullAt) {
        m_wait = std::min(2 * m_wait, MaxWait);
    }
    m_lastPullAt = now;
    return true;
}

void PullBackoff::recordPart(Instant now)
{
    m_lastPartAt = now;
}

void PullBackoff::reset()
{
    m_lastPartAt.reset();
    m_lastPullAt.reset();
    m_wait = MinWait;
}

} // namespace Filbertmount
