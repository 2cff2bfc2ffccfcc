#include <filbertmount/routing/retrybudget.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// A hedged attempt takes a token only above this share of the bucket; the rest is kept for retries after failures.
constexpr double HedgeFillLevel = 0.75;

} // namespace

RetryBudget::RetryBudget(double percent)
    : m_percent(percent)
{
}

void RetryBudget::setPercent(double percent)
{
    m_percent = percent;
}

void RetryBudget::setMaxBurst(double tokens)
{
    m_maxBurst = tokens;
    m_tokens = std::min(m_tokens, tokens);
}

void RetryBudget::setTokensPerSecond(double tokens)
{
    m_tokensPerSecond = tokens;
}

void RetryBudget::recordFirstAttempt(Instant now)
{
    const double elapsed = m_lastFirstAttempt == Instant{} ? 0 : std::chrono::duration<double>(now - m_lastFirstAttempt).count();
    m_lastFirstAttempt = now;
    m_tokens = std::min(m_maxBurst, m_tokens + m_percent / 100 + elapsed * m_tokensPerSecond);
}

bool RetryBudget::take()
{
    if (m_percent <= 0 || m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool RetryBudget::takeForHedge()
{
    return m_tokens >= HedgeFillLevel * m_maxBurst && take();
}

void RetryBudget::refund()
{
    m_tokens = std::min(m_maxBurst, m_tokens + 1);
}

} // namespace Filbertmount
