#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Filbertmount {

/** One entry of the time line that is merged over all processes. */
struct Event {
    /** Microseconds since the Unix epoch by this instance's clock. */
    std::int64_t wallTimeUs = 0;
    /** Rises by one with each event of this process; orders events whose wall times are equal or stepped back. */
    std::uint64_t sequence = 0;
    std::string instance;
    /** Dotted name, such as "upstream.draining" or "claim.owned". */
    std::string kind;
    std::string service;
    /** Request id that travels in Filbertmount-Request-Id; empty when the event concerns no request. */
    std::string request;
    std::string text;
};

/** What a module says of an event; the ring adds time, sequence and instance. */
struct EventDetails {
    std::string kind;
    std::string service;
    std::string request;
    std::string text;
};

/** Keeps the latest events of this process. Thread-safe. */
class EventRing
{
public:
    static constexpr std::size_t DefaultCapacity = 4096;

    explicit EventRing(std::string instance, std::size_t capacity = DefaultCapacity);

    void record(EventDetails details);

    /** Returns up to @p limit of the oldest kept events whose sequence is above @p after. */
    [[nodiscard]] std::vector<Event> eventsAfter(std::uint64_t after, std::size_t limit = DefaultCapacity) const;

private:
    const std::string m_instance;
    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    std::deque<Event> m_events ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastSequence ABSL_GUARDED_BY(m_mutex) = 0;
};

/**
 * Merges the events of several processes into one line, ordered by wall time. Events of one process keep their
 * own order even when its clock stepped back.
 */
std::vector<Event> mergeTimeLine(std::vector<std::vector<Event>> eventsOfInstances);

} // namespace Filbertmount
