#pragma once

#include <filbertmount/types/instant.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace Filbertmount {

/**
 * Holds new requests until the documents are confirmed to be current: after the start, and after a gap between ticks,
 * which shows that the process was suspended and may have missed changes. Thread-safe.
 */
class FreshnessGate
{
public:
    struct Options {
        /** A longer time between two ticks means that the process was suspended. */
        Duration maxGap = std::chrono::seconds(1);
        /** Longest hold of an instance that has documents; afterwards it serves them unconfirmed. */
        Duration maxHold = std::chrono::milliseconds(500);
    };

    explicit FreshnessGate(Options options, Instant now);

    /** Records that the process runs; call at least every 200 ms. Returns true when the process was suspended before. */
    bool tick(Instant now);

    /**
     * True when new requests may be served. Also detects a suspension, since a request may be handled before the first
     * tick after it.
     *
     * @param hasDocuments whether any document is in force; without one, requests are held until confirm()
     */
    bool admits(Instant now, bool hasDocuments);

    /** Ends the hold: a digest exchange or store listing that was started at @p startedAt found the documents current. */
    void confirm(Instant startedAt);

    /** False from a start or suspension until confirm(); meanwhile this instance cannot confirm the documents of others. */
    [[nodiscard]] bool confirmed() const;

private:
    /** Starts a hold and returns true when the process was suspended since the last call. */
    bool detectSuspension(Instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Options m_options;
    mutable absl::Mutex m_mutex;
    Instant m_lastTick ABSL_GUARDED_BY(m_mutex);
    Instant m_holdingSince ABSL_GUARDED_BY(m_mutex);
    bool m_holding ABSL_GUARDED_BY(m_mutex) = true;
};

} // namespace Filbertmount
