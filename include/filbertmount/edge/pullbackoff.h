#pragma once

#include <filbertmount/types/instant.h>

#include <optional>

namespace Filbertmount {

/**
 * Decides when an instance may ask another one for everything of a kind. Not thread-safe.
 *
 * An answer may be larger than the link carries in the time between two digests. Asking again meanwhile would fill the
 * link with answers of which none arrives whole.
 */
class PullBackoff
{
public:
    static constexpr Duration MinWait = std::chrono::milliseconds(100);
    static constexpr Duration MaxWait = std::chrono::milliseconds(3200);
    /** A transfer of which no part came for this long has lost some. */
    static constexpr Duration TransferTimeout = std::chrono::milliseconds(400);

    /** Whether to ask now; each time without a result doubles the wait for the next one. */
    bool tryPull(Instant now);
    /** A part of an answer arrived. */
    void notePartReceived(Instant now);
    /** Everything is known: the next difference is asked for at once. */
    void noteUpToDate();

private:
    std::optional<Instant> m_lastPullAt;
    std::optional<Instant> m_lastPartAt;
    Duration m_wait = MinWait;
};

} // namespace Filbertmount
