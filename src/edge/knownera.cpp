#include <filbertmount/edge/knownera.h>

namespace Filbertmount {

void KnownEra::record(StoreEra era)
{
    if (!m_first) {
        m_first = era;
        m_latest = era;
    }
    if (era > m_latest) {
        m_latest = era;
        ++m_returns;
    }
}

StoreEra KnownEra::latest() const
{
    return m_latest;
}

StoreEra KnownEra::first() const
{
    return m_first.value_or(StoreEra());
}

std::uint64_t KnownEra::returns() const
{
    return m_returns;
}

} // namespace Filbertmount
