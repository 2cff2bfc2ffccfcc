#pragma once

#include <filbertmount/types/instant.h>

#include <algorithm>
#include <cstddef>

namespace Filbertmount {

/** How long a transfer may take beyond its timeout while its bytes arrive. */
struct TransferProgress {
    /** The transfer may take as long as its bytes take at this rate, beyond the timeout; 0 for a fixed timeout. */
    std::size_t minBytesPerSecond = 0;
    /** Longest time between two parts. */
    Duration stallTimeout = std::chrono::milliseconds(300);
};

/**
 * Deadline of a transfer, which moves while its bytes arrive. The time that a transfer takes grows with its size, so that a fixed
 * deadline would end every transfer that is too long for the link.
 */
class TransferDeadline
{
public:
    TransferDeadline() = default;
    /** @param deadline applies until the first bytes arrive */
    TransferDeadline(Instant deadline, const TransferProgress &progress)
        : m_deadline(deadline)
        , m_progress(progress)
    {
    }

    void recordBytes(std::size_t bytes, Instant now)
    {
        if (m_progress.minBytesPerSecond == 0) {
            return;
        }
        const std::chrono::duration<double> allowance(static_cast<double>(bytes)
                                                      / static_cast<double>(m_progress.minBytesPerSecond));
        const Instant extended = m_deadline + std::chrono::duration_cast<Duration>(allowance);
        m_deadline = std::max(m_deadline, std::min(extended, now + m_progress.stallTimeout));
    }

    [[nodiscard]] Instant time() const
    {
        return m_deadline;
    }

private:
    Instant m_deadline{};
    TransferProgress m_progress;
};

} // namespace Filbertmount
