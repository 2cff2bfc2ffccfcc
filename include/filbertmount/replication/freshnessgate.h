#pragma once

#include <filbertmount/types/instant.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace Filbertmount {

/**
 * Holds new requests until the documents are known to be current: after start, and after a gap in the clock that shows
 * that the process was frozen and may have missed changes. Thread-safe.
 */
class FreshnessGate
{
public:
    struct Options {
        /** A longer time between two ticks means that the process was frozen. */
        Duration maxGap = std::chrono::seconds(1);
        /** Longest hold of an instance that has documents; afterwards it serves with what it has. */
        Duration maxHold = std::chrono::milliseconds(500);
    };

    explicit FreshnessGate(Options options, Instant now);

    /** Notes that the process runs; call at least every 200 ms. Returns true when a gap was found. */
    bool tick(Instant now);

    /**
     * True when new requests may be served. Also finds a gap by itself, since a request may run before the first tick
     * after a freeze.
     *
     * @param hasDocuments whether any document is in force; without one the hold has no end
     */
    bool admits(Instant now, bool hasDocuments);

    /** The documents were found current by an exchange or listing that was started at @p startedAt. */
    void confirm(Instant startedAt);

    /** False from a start or gap until confirm(): this instance cannot confirm the documents of others. */
    [[nodiscard]] bool confirmed() const;

private:
    bool detectPause(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Options m_options;
    mutable absl::Mutex m_mutex;
    Instant m_lastTick ABSL_GUARDED_BY(m_mutex);
    Instant m_holdingSince ABSL_GUARDED_BY(m_mutex);
    bool m_holding ABSL_GUARDED_BY(m_mutex) = true;
};

} // namespace Filbertmount
