#include <filbertmount/routing/retrybudget.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr double SpareShare = 0.75;

} // namespace

RetryBudget::RetryBudget(double percent)
    : m_percent(percent)
{
}

void RetryBudget::setPercent(double percent)
{
    m_percent = percent;
}

void RetryBudget::setLargestBurst(double tokens)
{
    m_largestBurst = tokens;
    m_tokens = std::min(m_tokens, tokens);
}

void RetryBudget::setTokensPerSecond(double tokens)
{
    m_tokensPerSecond = tokens;
}

void RetryBudget::noteFirstAttempt(Instant now)
{
    const double elapsed = m_lastFirst == Instant{} ? 0 : std::chrono::duration<double>(now - m_lastFirst).count();
    m_lastFirst = now;
    m_tokens = std::min(m_largestBurst, m_tokens + m_percent / 100 + elapsed * m_tokensPerSecond);
}

bool RetryBudget::take()
{
    if (m_percent <= 0 || m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool RetryBudget::takeSpare()
{
    return m_tokens >= SpareShare * m_largestBurst && take();
}

void RetryBudget::giveBack()
{
    m_tokens = std::min(m_largestBurst, m_tokens + 1);
}

} // namespace Filbertmount
