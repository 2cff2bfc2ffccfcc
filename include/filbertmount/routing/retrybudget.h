#pragma once

#include <filbertmount/types/instant.h>

namespace Filbertmount {

/**
 * Token bucket that limits extra attempts to a share of the first attempts. Not thread-safe.
 *
 * Starts with one token, so that a service with little traffic can retry at all. Without tokens per second, the number of
 * extra attempts stays below percent/100 * first attempts + 1.
 */
class RetryBudget
{
public:
    /** @param percent extra attempts per first attempt, in percent */
    explicit RetryBudget(double percent);

    void setPercent(double percent);
    /** Sets the size of the bucket, which bounds the burst of retries after a period without any. */
    void setMaxBurst(double tokens);
    /** Sets the tokens that are added per second, independently of first attempts. */
    void setTokensPerSecond(double tokens);
    /** Adds the tokens of one first attempt and of the time since the previous one. */
    void recordFirstAttempt(Instant now);
    /** Takes one token; returns false when none is left. */
    bool take();
    /** Takes one token for a hedged attempt, which is less useful than a retry: only when the bucket is nearly full. */
    bool takeForHedge();
    /** Returns the token of an attempt that was not made. */
    void refund();

private:
    double m_percent;
    double m_maxBurst = 20;
    double m_tokensPerSecond = 0;
    Instant m_lastFirstAttempt{};
    double m_tokens = 1;
};

} // namespace Filbertmount
