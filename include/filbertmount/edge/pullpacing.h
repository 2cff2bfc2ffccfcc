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
class PullPacing
{
public:
    static constexpr Duration ShortestWait = std::chrono::milliseconds(100);
    static constexpr Duration LongestWait = std::chrono::milliseconds(3200);
    /** A transfer of which no part came for this long has lost some. */
    static constexpr Duration TransferPause = std::chrono::milliseconds(400);

    /** Whether to ask now; each time without a result doubles the wait for the next one. */
    bool take(Instant now);
    /** A part of an answer arrived. */
    void notePart(Instant now);
    /** Everything is known: the next difference is asked for at once. */
    void noteComplete();

private:
    std::optional<Instant> m_lastPull;
    std::optional<Instant> m_lastPart;
    Duration m_wait = ShortestWait;
};

} // namespace Filbertmount
