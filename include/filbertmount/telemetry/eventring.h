#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Filbertmount {

/** One event of the timeline, which is merged from the events of all processes. */
struct Event {
    /** Microseconds since the Unix epoch on the clock of the recording instance. */
    std::int64_t wallTimeUs = 0;
    /** Incremented with each event of the process; orders events when wall times are equal or the clock stepped back. */
    std::uint64_t sequence = 0;
    std::string instance;
    /** Dotted name, such as "upstream.draining" or "claim.owned". */
    std::string kind;
    std::string service;
    /** Request id from the Filbertmount-Request-Id header; empty if the event is not about a request. */
    std::string request;
    std::string text;
};

/** An event as passed to EventRing::record(), which adds time, sequence and instance. */
struct EventDetails {
    std::string kind;
    std::string service;
    std::string request;
    std::string text;
};

/** Ring buffer of the latest events of this process. Thread-safe. */
class EventRing
{
public:
    static constexpr std::size_t DefaultCapacity = 4096;

    explicit EventRing(std::string instance, std::size_t capacity = DefaultCapacity);

    void record(EventDetails details);

    /** Returns the oldest stored events whose sequence is greater than @p after, at most @p limit. */
    [[nodiscard]] std::vector<Event> eventsAfter(std::uint64_t after, std::size_t limit = DefaultCapacity) const;

private:
    const std::string m_instance;
    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    std::deque<Event> m_events ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastSequence ABSL_GUARDED_BY(m_mutex) = 0;
};

/**
 * Merges the events of several processes into one timeline, ordered by wall time. Events of one process keep their sequence
 * even if its clock stepped back.
 */
std::vector<Event> mergeTimelines(std::vector<std::vector<Event>> timelines);

} // namespace Filbertmount
