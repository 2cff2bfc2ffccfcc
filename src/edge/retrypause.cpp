#include <filbertmount/edge/retrypause.h>

#include <algorithm>

namespace Filbertmount {

RetryPause::RetryPause(const Options &options)
    : m_options(options)
    , m_bound(options.first)
    , m_random(options.seed)
{
}

Duration RetryPause::next()
{
    const Duration bound = m_bound;
    m_bound = std::min(2 * m_bound, m_options.max);
    return Duration(std::uniform_int_distribution<Duration::rep>(bound.count() / 2, bound.count())(m_random));
}

void RetryPause::reset()
{
    m_bound = m_options.first;
}

} // namespace Filbertmount
