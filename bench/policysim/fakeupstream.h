#pragma once

#include "eventloop.h"

#include <filbertmount/routing/placement.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

namespace Filbertmount::PolicySim {

/** An upstream with slots and a bounded FIFO queue. It refuses requests while it drains, is down or has a full queue. */
class FakeUpstream
{
public:
    using AttemptId = std::uint32_t;
    /** Called when an attempt has ended at the upstream. */
    using EndedCallback = std::function<void(AttemptId, AttemptOutcome)>;

    FakeUpstream(EventLoop &loop, const UpstreamSchedule &schedule, int slots, EndedCallback onEnded)
        : m_loop(loop)
        , m_schedule(schedule)
        , m_slots(slots)
        , m_onEnded(std::move(onEnded))
    {
        for (const UpstreamSchedule::StateChange &change : schedule.stateChanges) {
            m_loop.at(change.at, [this, state = change.state] {
                m_state = state;
            });
        }
    }

    void arrive(AttemptId attempt, double demand, Nanoseconds deadline)
    {
        if (m_state != UpstreamState::Live) {
            const bool isDraining = m_state == UpstreamState::Draining;
            m_onEnded(attempt, isDraining ? AttemptOutcome::RefusedDraining : AttemptOutcome::ConnectFailed);
            return;
        }
        if (m_waiting.size() >= static_cast<std::size_t>(m_slots) * BacklogPerSlot) {
            m_onEnded(attempt, AttemptOutcome::RefusedShedding);
            return;
        }
        m_waiting.push_back({.attempt = attempt, .demand = demand, .deadline = deadline});
        startNext();
        recordLoad();
    }

    /** Stops an attempt that its entry instance no longer waits for, and frees its slot. */
    void cancel(AttemptId attempt)
    {
        std::erase_if(m_waiting, [attempt](const Waiting &waiting) {
            return waiting.attempt == attempt;
        });
        std::erase(m_running, attempt);
        startNext();
        recordLoad();
    }

    /** Returns the number of running and waiting requests @p age ago. */
    [[nodiscard]] int pastInFlight(Nanoseconds age) const
    {
        const Nanoseconds time = m_loop.now() - age;
        const auto after = std::upper_bound(m_loads.begin(), m_loads.end(), time, [](Nanoseconds value, const Load &load) {
            return value < load.at;
        });
        return after == m_loads.begin() ? 0 : std::prev(after)->requests;
    }

    /** Returns the number of attempts that were started. */
    [[nodiscard]] std::uint64_t started() const
    {
        return m_started;
    }

private:
    struct Waiting {
        AttemptId attempt = 0;
        double demand = 0;
        Nanoseconds deadline = 0;
    };

    struct Load {
        Nanoseconds at = 0;
        int requests = 0;
    };

    static constexpr std::size_t BacklogPerSlot = 10;
    static constexpr std::size_t MaxLoadHistory = 4096;

    void startNext()
    {
        while (m_running.size() < static_cast<std::size_t>(m_slots) && !m_waiting.empty()) {
            const Waiting next = m_waiting.front();
            m_waiting.pop_front();
            if (next.deadline <= m_loop.now()) {
                m_onEnded(next.attempt, AttemptOutcome::TimedOut);
                continue;
            }
            m_running.push_back(next.attempt);
            ++m_started;
            m_loop.at(m_schedule.finishTime(m_loop.now(), next.demand), [this, attempt = next.attempt] {
                finish(attempt);
            });
        }
    }

    void finish(AttemptId attempt)
    {
        const auto running = std::find(m_running.begin(), m_running.end(), attempt);
        if (running == m_running.end()) {
            return;
        }
        m_running.erase(running);
        m_onEnded(attempt, AttemptOutcome::Success);
        startNext();
        recordLoad();
    }

    void recordLoad()
    {
        m_loads.push_back({.at = m_loop.now(), .requests = static_cast<int>(m_running.size() + m_waiting.size())});
        if (m_loads.size() > MaxLoadHistory) {
            m_loads.pop_front();
        }
    }

    EventLoop &m_loop;
    const UpstreamSchedule &m_schedule;
    int m_slots;
    EndedCallback m_onEnded;
    UpstreamState m_state = UpstreamState::Live;
    std::deque<Waiting> m_waiting;
    std::vector<AttemptId> m_running;
    std::deque<Load> m_loads;
    std::uint64_t m_started = 0;
};

} // namespace Filbertmount::PolicySim
