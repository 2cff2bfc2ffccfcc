#pragma once

#include <filbertmount/types/instant.h>

namespace Filbertmount {

/**
 * Token bucket that limits extra attempts to a share of the first attempts. Not thread-safe.
 *
 * Starts with one token, so that a service with little traffic can retry at all; after that, extra attempts stay
 * below percent/100 * first attempts + 1.
 */
class RetryBudget
{
public:
    /** @param percent extra attempts per first attempt, in percent */
    explicit RetryBudget(double percent);

    void setPercent(double percent);
    /** Bounds the retries that may follow each other at once after a quiet time. */
    void setMaxBurst(double tokens);
    /** Sets the tokens that come with time alone. */
    void setTokensPerSecond(double tokens);
    void recordFirstAttempt(Instant now);
    /** Takes one token; returns false when there is none. */
    bool take();
    /** Takes one token for an attempt that is of less use than a retry: only when the bucket is nearly full. */
    bool takeForHedge();
    /** Gives a token back whose attempt was not made. */
    void refund();

private:
    double m_percent;
    double m_maxBurst = 20;
    double m_tokensPerSecond = 0;
    Instant m_lastFirstAttempt{};
    double m_tokens = 1;
};

} // namespace Filbertmount
