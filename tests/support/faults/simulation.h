#pragma once

#include "../timedtask.h"

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount::Testing {

/**
 * A virtual clock, a seeded random source and processes that can be killed and frozen. Tasks for a frozen process wait
 * until it resumes, as bytes wait in the sockets of a stopped process.
 */
class Simulation
{
public:
    using Task = std::function<void()>;

    explicit Simulation(std::uint64_t seed, bool tracing = false)
        : m_random(seed)
        , m_tracing(tracing)
    {
    }

    [[nodiscard]] Instant now() const
    {
        return m_now;
    }

    std::size_t addProcess(std::string name)
    {
        m_processes.push_back({.name = std::move(name)});
        return m_processes.size() - 1;
    }

    void after(Duration delay, Task task)
    {
        m_events.push({.when = m_now + delay, .order = ++m_order, .task = std::move(task)});
    }
    /** Runs @p task in @p process after @p delay: once it resumes if it is frozen, and not at all if it was killed. */
    void deliver(std::size_t process, Duration delay, Task task)
    {
        after(delay, [this, process, task = std::move(task)] {
            runIn(process, task);
        });
    }

    void kill(std::size_t process)
    {
        m_processes[process].alive = false;
        trace(process, "is killed");
    }
    void freeze(std::size_t process, Duration length)
    {
        m_processes[process].frozenUntil = std::max(m_processes[process].frozenUntil, m_now + length);
        trace(process, "is frozen");
        after(length, [this, process] {
            wake(process);
        });
    }
    [[nodiscard]] bool alive(std::size_t process) const
    {
        return m_processes[process].alive;
    }
    [[nodiscard]] bool frozen(std::size_t process) const
    {
        return m_processes[process].frozenUntil > m_now;
    }

    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            const TimedTask event = m_events.top();
            m_events.pop();
            m_now = event.when;
            event.task();
        }
        m_now = end;
    }

    /** Returns true with @p probability. */
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    Duration randomDuration(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(m_random));
    }
    /** Returns a random number from 0 to @p limit - 1. */
    std::size_t randomIndex(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }
    std::uint64_t randomNumber()
    {
        return m_random();
    }

    [[nodiscard]] bool tracing() const
    {
        return m_tracing;
    }
    void trace(const std::string &text)
    {
        if (m_tracing) {
            char time[32];
            std::snprintf(
                time, sizeof time, "%12.3f ms  ", std::chrono::duration<double, std::milli>(m_now.time_since_epoch()).count());
            m_trace.append(time).append(text).append("\n");
        }
    }
    void trace(std::size_t process, const std::string &text)
    {
        if (m_tracing) {
            trace(m_processes[process].name + " " + text);
        }
    }
    [[nodiscard]] const std::string &traceText() const
    {
        return m_trace;
    }

private:
    struct Process {
        std::string name;
        bool alive = true;
        Instant frozenUntil;
        std::vector<Task> held;
    };

    void runIn(std::size_t process, const Task &task)
    {
        if (!alive(process)) {
            return;
        }
        if (frozen(process)) {
            m_processes[process].held.push_back(task);
            return;
        }
        task();
    }
    void wake(std::size_t process)
    {
        if (frozen(process)) {
            return;
        }
        trace(process, "wakes");
        for (const Task &task : std::exchange(m_processes[process].held, {})) {
            runIn(process, task);
        }
    }

    Instant m_now;
    std::mt19937_64 m_random;
    std::priority_queue<TimedTask> m_events;
    std::uint64_t m_order = 0;
    std::vector<Process> m_processes;
    bool m_tracing;
    std::string m_trace;
};

} // namespace Filbertmount::Testing
