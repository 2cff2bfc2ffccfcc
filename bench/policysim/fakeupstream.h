#pragma once

#include "eventloop.h"

#include <filbertmount/routing/placement.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

namespace Filbertmount::PolicySim {

/** An upstream with a few slots, a bounded backlog in order of arrival, and refusals as documented. */
class FakeUpstream
{
public:
    using AttemptId = std::uint32_t;
    /** Called when an attempt has ended at the upstream. */
    using Ended = std::function<void(AttemptId, AttemptOutcome)>;

    FakeUpstream(EventLoop &loop, const Trajectory &trajectory, int slots, Ended ended)
        : m_loop(loop)
        , m_trajectory(trajectory)
        , m_slots(slots)
        , m_ended(std::move(ended))
    {
        for (const Trajectory::Change &change : trajectory.changes) {
            m_loop.at(change.at, [this, state = change.state] {
                m_state = state;
            });
        }
    }

    void arrive(AttemptId attempt, double demand, Ticks deadline)
    {
        if (m_state != UpstreamState::Live) {
            const bool isDraining = m_state == UpstreamState::Draining;
            m_ended(attempt, isDraining ? AttemptOutcome::RefusedDraining : AttemptOutcome::ConnectFailed);
            return;
        }
        if (m_waiting.size() >= static_cast<std::size_t>(m_slots) * BacklogPerSlot) {
            m_ended(attempt, AttemptOutcome::RefusedShedding);
            return;
        }
        m_waiting.push_back({.attempt = attempt, .demand = demand, .deadline = deadline});
        startNext();
        noteLoad();
    }

    /** Stops an attempt whose caller is gone; its slot is free at once. */
    void cancel(AttemptId attempt)
    {
        std::erase_if(m_waiting, [attempt](const Waiting &waiting) {
            return waiting.attempt == attempt;
        });
        std::erase(m_running, attempt);
        startNext();
        noteLoad();
    }

    /** Requests in the upstream @p age ago. */
    [[nodiscard]] int inFlightBefore(Ticks age) const
    {
        const Ticks time = m_loop.now() - age;
        const auto after = std::upper_bound(m_loads.begin(), m_loads.end(), time, [](Ticks value, const Load &load) {
            return value < load.at;
        });
        return after == m_loads.begin() ? 0 : std::prev(after)->requests;
    }

    /** Attempts that were started, by whether they had to be. */
    [[nodiscard]] std::uint64_t started() const
    {
        return m_started;
    }

private:
    struct Waiting {
        AttemptId attempt = 0;
        double demand = 0;
        Ticks deadline = 0;
    };

    struct Load {
        Ticks at = 0;
        int requests = 0;
    };

    static constexpr std::size_t BacklogPerSlot = 10;
    static constexpr std::size_t LoadHistory = 4096;

    void startNext()
    {
        while (m_running.size() < static_cast<std::size_t>(m_slots) && !m_waiting.empty()) {
            const Waiting next = m_waiting.front();
            m_waiting.pop_front();
            if (next.deadline <= m_loop.now()) {
                m_ended(next.attempt, AttemptOutcome::TimedOut);
                continue;
            }
            m_running.push_back(next.attempt);
            ++m_started;
            m_loop.at(m_trajectory.finish(m_loop.now(), next.demand), [this, attempt = next.attempt] {
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
        m_ended(attempt, AttemptOutcome::Success);
        startNext();
        noteLoad();
    }

    void noteLoad()
    {
        m_loads.push_back({.at = m_loop.now(), .requests = static_cast<int>(m_running.size() + m_waiting.size())});
        if (m_loads.size() > LoadHistory) {
            m_loads.pop_front();
        }
    }

    EventLoop &m_loop;
    const Trajectory &m_trajectory;
    int m_slots;
    Ended m_ended;
    UpstreamState m_state = UpstreamState::Live;
    std::deque<Waiting> m_waiting;
    std::vector<AttemptId> m_running;
    std::deque<Load> m_loads;
    std::uint64_t m_started = 0;
};

} // namespace Filbertmount::PolicySim
