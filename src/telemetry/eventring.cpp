#include <filbertmount/telemetry/eventring.h>

#include <absl/time/clock.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Filbertmount {

EventRing::EventRing(std::string instance, std::size_t capacity)
    : m_instance(std::move(instance))
    , m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void EventRing::record(EventDetails details)
{
    Event event{.wallTimeUs = absl::GetCurrentTimeNanos() / 1000,
                .sequence = 0,
                .instance = m_instance,
                .kind = std::move(details.kind),
                .service = std::move(details.service),
                .request = std::move(details.request),
                .text = std::move(details.text)};
    const absl::MutexLock lock(&m_mutex);
    event.sequence = ++m_lastSequence;
    if (m_events.size() == m_capacity) {
        m_events.pop_front();
    }
    m_events.push_back(std::move(event));
}

std::vector<Event> EventRing::eventsAfter(std::uint64_t after, std::size_t limit) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto first = std::partition_point(m_events.begin(), m_events.end(), [&](const Event &event) {
        return event.sequence <= after;
    });
    const auto kept = static_cast<std::size_t>(std::distance(first, m_events.end()));
    return {first, std::next(first, static_cast<std::ptrdiff_t>(std::min(limit, kept)))};
}

std::vector<Event> mergeTimelines(std::vector<std::vector<Event>> timelines)
{
    std::vector<Event> merged;
    for (std::vector<Event> &events : timelines) {
        std::sort(events.begin(), events.end(), [](const Event &left, const Event &right) {
            return left.sequence < right.sequence;
        });
        // If the clock stepped back, later events get the time of the latest earlier one, which keeps them in sequence.
        std::int64_t latest = 0;
        for (Event &event : events) {
            latest = std::max(latest, event.wallTimeUs);
            event.wallTimeUs = latest;
        }
        std::move(events.begin(), events.end(), std::back_inserter(merged));
    }
    std::stable_sort(merged.begin(), merged.end(), [](const Event &left, const Event &right) {
        return left.wallTimeUs < right.wallTimeUs;
    });
    return merged;
}

} // namespace Filbertmount
