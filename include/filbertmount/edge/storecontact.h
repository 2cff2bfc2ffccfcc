#pragma once

#include <filbertmount/types/instant.h>

#include <optional>

namespace Filbertmount {

/** Options for detecting an outage of the store. */
struct StoreContactOptions {
    /** An outage begins when no call to the store has received a response for this long. */
    Duration outageAfter = std::chrono::milliseconds(1000);
    /**
     * The store counts as reachable between two responses that are at most this far apart. An entry of a live upstream expires
     * only in a longer outage, and readers change within this time.
     */
    Duration maxGap = std::chrono::milliseconds(2500);
};

/** A time during which the store responded to some instance without an outage in between. */
struct ContactSpan {
    Instant since;
    /** Time of the last response. */
    Instant until;
};

/**
 * What an instance knows about the reachability of the store: from its own calls and from the spans that other instances report.
 * Sans-I/O, not thread-safe.
 *
 * An instance whose own calls fail cannot tell an outage of the store from a failure of its own link or a refusal of its calls
 * alone. A span of another instance that covers the time tells them apart.
 */
class StoreContact
{
public:
    explicit StoreContact(const StoreContactOptions &options = {});

    /** Records a response to a call of this instance; ends an outage. */
    void recordResponse(Instant now);
    /** Records a call that failed or was refused. */
    void recordFailure(Instant now);
    /**
     * Records the span that another instance reported. Its begin moves the end of an outage forward, and a span that covers the
     * whole outage cancels it: then only this instance did not reach the store.
     */
    void recordSpan(const ContactSpan &span);
    /** Discards the known span after a suspension of the process, during which calls and messages were not handled. */
    void forgetSpan();

    /** Empty before the first response. */
    [[nodiscard]] const std::optional<ContactSpan> &span() const;
    /** Whether an outage is in progress. */
    [[nodiscard]] bool isOutage() const;
    /** Returns when the last outage ended; empty during an outage, when there was none and when it was cancelled. */
    [[nodiscard]] std::optional<Instant> outageEndedAt() const;
    /** Returns the time of the last response before the last outage, or of the first failure when there was none. */
    [[nodiscard]] Instant lastOutageStart() const;
    /** Whether the store was reachable from @p since until shortly before @p until, so that no entry expired in between. */
    [[nodiscard]] bool covers(Instant since, Instant until) const;

private:
    /** Extends the known span by @p span, or replaces it when the gap between them is too long and @p span is newer. */
    void merge(const ContactSpan &span);
    void endOutage(Instant now);
    [[nodiscard]] bool isCovered(const ContactSpan &span, Instant since, Instant until) const;

    StoreContactOptions m_options;
    std::optional<ContactSpan> m_span;
    std::optional<Instant> m_noResponseSince;
    Instant m_lastOutageStart;
    bool m_isOutage = false;
    std::optional<Instant> m_outageEndedAt;
};

} // namespace Filbertmount
