#pragma once

#include <algorithm>

namespace Filbertmount {

/** Decides whether a request may get one more attempt. Not thread-safe. */
class RetryState
{
public:
    /**
     * @param repeatable whether the request may run more than once
     * @param retriesLeft extra attempts that the call tree may still use
     * @param maxAttempts attempts at this level, the first included
     */
    RetryState(bool repeatable, int retriesLeft, int maxAttempts)
        : m_repeatable(repeatable)
        , m_retriesLeft(retriesLeft)
        , m_attemptsLeft(maxAttempts)
    {
    }

    /** Whether a failed attempt may be followed by another one. @p notRun: the upstream certainly did not run the failed one. */
    [[nodiscard]] bool mayRetry(bool notRun) const
    {
        return m_retriesLeft > 0 && m_attemptsLeft > 0 && (notRun || m_repeatable);
    }
    void countFirstAttempt()
    {
        --m_attemptsLeft;
    }
    void countExtraAttempt()
    {
        --m_attemptsLeft;
        --m_retriesLeft;
    }
    /** Applies the number of extra attempts left that an error response of the level below states. */
    void limitRetriesLeft(int left)
    {
        m_retriesLeft = std::min(m_retriesLeft, left);
    }
    [[nodiscard]] int retriesLeft() const
    {
        return m_retriesLeft;
    }
    [[nodiscard]] bool repeatable() const
    {
        return m_repeatable;
    }

private:
    bool m_repeatable;
    int m_retriesLeft;
    int m_attemptsLeft;
};

} // namespace Filbertmount
