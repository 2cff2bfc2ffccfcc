#pragma once

#include <filbertmount/types/instant.h>

#include <optional>

namespace Filbertmount {

/**
 * Exponential backoff for requests of the full state from another instance. Not thread-safe.
 *
 * A response may be larger than the link can carry in the time between two digests. Requesting it again during the transfer
 * would fill the link with responses, none of which arrives complete.
 */
class PullBackoff
{
public:
    static constexpr Duration MinWait = std::chrono::milliseconds(100);
    static constexpr Duration MaxWait = std::chrono::milliseconds(3200);
    /** A transfer without a new part for this long has lost some of its parts. */
    static constexpr Duration TransferTimeout = std::chrono::milliseconds(400);

    /** Returns whether to send a request now. Each request without a result doubles the wait before the next one. */
    bool tryPull(Instant now);
    /** Records that a part of a response arrived, which defers further requests until TransferTimeout has passed without another.
     */
    void recordPart(Instant now);
    /** Resets the wait after this instance has become up to date, so that it requests the next difference at once. */
    void reset();

private:
    std::optional<Instant> m_lastPullAt;
    std::optional<Instant> m_lastPartAt;
    Duration m_wait = MinWait;
};

} // namespace Filbertmount
