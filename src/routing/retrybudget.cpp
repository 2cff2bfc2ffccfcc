#include <filbertmount/routing/retrybudget.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// Bounds the burst of retries after a quiet time, when many requests fail at once.
constexpr double LargestBurst = 20;

} // namespace

RetryBudget::RetryBudget(double percent)
    : m_percent(percent)
{
}

void RetryBudget::setPercent(double percent)
{
    m_percent = percent;
}

void RetryBudget::noteFirstAttempt()
{
    m_tokens = std::min(LargestBurst, m_tokens + m_percent / 100);
}

bool RetryBudget::take()
{
    if (m_percent <= 0 || m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void RetryBudget::giveBack()
{
    m_tokens = std::min(LargestBurst, m_tokens + 1);
}

} // namespace Filbertmount
