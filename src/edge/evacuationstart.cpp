#include <filbertmount/edge/evacuationstart.h>

namespace Filbertmount {

EvacuationStart::EvacuationStart(bool isEnabled)
    : m_isEnabled(isEnabled)
{
}

void EvacuationStart::recordTargets(Instant now)
{
    m_targetsSince = m_targetsSince.value_or(now);
}

void EvacuationStart::restart(Instant now)
{
    if (m_targetsSince) {
        m_targetsSince = now;
    }
}

bool EvacuationStart::mayForward(bool isKnown, Instant now) const
{
    return !isWithoutEvacuations(isKnown) || (m_targetsSince && now - *m_targetsSince >= MaxWait);
}

bool EvacuationStart::isWithoutEvacuations(bool isKnown) const
{
    return m_isEnabled && !isKnown;
}

FirstListings::FirstListings(Duration firstDelay)
    : m_delay(firstDelay)
{
}

void FirstListings::start(Instant now)
{
    m_next = now + m_delay;
}

bool FirstListings::isDue(bool isConfirmed, Instant now)
{
    if (isConfirmed || !m_next || now < *m_next || m_listings >= MaxListings) {
        return false;
    }
    ++m_listings;
    m_next = now + m_delay;
    m_delay *= 2;
    return true;
}

} // namespace Filbertmount
