#pragma once

#include "upstreamschedule.h"

#include <absl/functional/any_invocable.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace Filbertmount::PolicySim {

/** Runs actions in order of virtual time; actions with the same time run in the order in which they were added. */
class EventLoop
{
public:
    using Action = absl::AnyInvocable<void()>;

    void at(Nanoseconds time, Action action)
    {
        m_events.push_back({.time = std::max(time, m_now), .number = m_added++, .action = std::move(action)});
        std::push_heap(m_events.begin(), m_events.end(), later);
    }

    void after(Nanoseconds delay, Action action)
    {
        at(m_now + delay, std::move(action));
    }

    /** Runs all events up to @p end. */
    void run(Nanoseconds end)
    {
        while (!m_events.empty() && m_events.front().time <= end) {
            std::pop_heap(m_events.begin(), m_events.end(), later);
            Event event = std::move(m_events.back());
            m_events.pop_back();
            m_now = event.time;
            event.action();
        }
    }

    [[nodiscard]] Nanoseconds now() const
    {
        return m_now;
    }

private:
    struct Event {
        Nanoseconds time = 0;
        std::uint64_t number = 0;
        Action action;
    };

    static bool later(const Event &left, const Event &right)
    {
        return left.time != right.time ? left.time > right.time : left.number > right.number;
    }

    std::vector<Event> m_events;
    std::uint64_t m_added = 0;
    Nanoseconds m_now = 0;
};

} // namespace Filbertmount::PolicySim
