#pragma once

#include "result.h"
#include "trace.h"

#include <limits>
#include <set>
#include <tuple>

namespace Filbertmount::PolicySim {

/**
 * An ideal queue, ordered by priority and arrival: it always knows the true speed of each slot, migrates running requests
 * between slots at no cost, and needs no messages. The requests at the head of the queue run on the fastest slots.
 */
class IdealQueue
{
public:
    /** @param capacity number of requests that may wait or run; further ones are refused */
    IdealQueue(const Trace &trace, std::size_t capacity)
        : m_trace(trace)
        , m_capacity(capacity)
        , m_segmentIndexes(trace.upstreams.size(), 0)
        , m_stateChangeIndexes(trace.upstreams.size(), 0)
        , m_states(trace.upstreams.size(), UpstreamState::Live)
    {
    }

    RunResult run()
    {
        updateSpeeds();
        while (m_nextArrival < m_trace.arrivals.size() || !m_jobs.empty()) {
            const Nanoseconds next = nextEvent();
            advanceTo(next);
            m_now = next;
            admitArrivals();
            if (m_now >= m_nextSpeedChange) {
                updateSpeeds();
            }
        }
        RunResult result{
            .policy = "bound", .requests = m_trace.arrivals.size(), .missed = m_missed, .goodput = std::move(m_goodput)};
        setQuantiles(result, m_latencies);
        return result;
    }

private:
    struct Job {
        Priority priority = Priority::Interactive;
        Nanoseconds arrival = 0;
        double remaining = 0;
    };

    [[nodiscard]] Nanoseconds nextEvent() const
    {
        Nanoseconds next = m_nextSpeedChange;
        if (m_nextArrival < m_trace.arrivals.size()) {
            next = std::min(next, m_trace.arrivals[m_nextArrival].at);
        }
        for (std::size_t rank = 0; rank < std::min(m_jobs.size(), m_speeds.size()); ++rank) {
            const auto finish = m_now + static_cast<Nanoseconds>(std::ceil(m_jobs[rank].remaining / m_speeds[rank]));
            next = std::min(next, std::max(finish, m_now + 1));
        }
        return next;
    }

    void advanceTo(Nanoseconds next)
    {
        const auto elapsed = static_cast<double>(next - m_now);
        for (std::size_t rank = 0; rank < std::min(m_jobs.size(), m_speeds.size()); ++rank) {
            m_jobs[rank].remaining -= elapsed * m_speeds[rank];
        }
        std::erase_if(m_jobs, [this, next](const Job &job) {
            const bool isDone = job.remaining <= 0;
            const bool isLate = next - job.arrival >= m_trace.profile.deadline.count();
            if (isDone || isLate) {
                record(next - job.arrival, next, isDone);
            }
            return isDone || isLate;
        });
    }

    void record(Nanoseconds latency, Nanoseconds time, bool isDone)
    {
        m_latencies.push_back(std::min<Nanoseconds>(latency, m_trace.profile.deadline.count()));
        if (!isDone) {
            ++m_missed;
            return;
        }
        const auto interval = static_cast<std::size_t>(time / RunResult::GoodputInterval);
        m_goodput.resize(std::max(m_goodput.size(), interval + 1));
        ++m_goodput[interval];
    }

    void admitArrivals()
    {
        for (; m_nextArrival < m_trace.arrivals.size() && m_trace.arrivals[m_nextArrival].at <= m_now; ++m_nextArrival) {
            const Arrival &arrival = m_trace.arrivals[m_nextArrival];
            if (m_jobs.size() >= m_capacity) {
                record(m_trace.profile.deadline.count(), m_now, false);
                continue;
            }
            const auto position =
                std::upper_bound(m_jobs.begin(), m_jobs.end(), arrival.priority, [](Priority priority, const Job &job) {
                    return priority < job.priority;
                });
            m_jobs.insert(position, {.priority = arrival.priority, .arrival = arrival.at, .remaining = arrival.demand});
        }
    }

    void updateSpeeds()
    {
        m_speeds.clear();
        m_nextSpeedChange = std::numeric_limits<Nanoseconds>::max();
        for (std::size_t index = 0; index < m_trace.upstreams.size(); ++index) {
            const UpstreamSchedule &schedule = m_trace.upstreams[index];
            const auto &segments = schedule.segments();
            while (m_segmentIndexes[index] + 1 < segments.size() && segments[m_segmentIndexes[index] + 1].start <= m_now) {
                ++m_segmentIndexes[index];
            }
            const auto &stateChanges = schedule.stateChanges;
            for (; m_stateChangeIndexes[index] < stateChanges.size() && stateChanges[m_stateChangeIndexes[index]].at <= m_now;
                 ++m_stateChangeIndexes[index]) {
                m_states[index] = stateChanges[m_stateChangeIndexes[index]].state;
            }
            if (m_segmentIndexes[index] + 1 < segments.size()) {
                m_nextSpeedChange = std::min(m_nextSpeedChange, segments[m_segmentIndexes[index] + 1].start);
            }
            if (m_stateChangeIndexes[index] < stateChanges.size()) {
                m_nextSpeedChange = std::min(m_nextSpeedChange, stateChanges[m_stateChangeIndexes[index]].at);
            }
            if (m_states[index] == UpstreamState::Live) {
                m_speeds.insert(
                    m_speeds.end(), static_cast<std::size_t>(m_trace.profile.slots), segments[m_segmentIndexes[index]].speed);
            }
        }
        std::sort(m_speeds.begin(), m_speeds.end(), std::greater<>());
    }

    const Trace &m_trace;
    std::size_t m_capacity;
    Nanoseconds m_now = 0;
    Nanoseconds m_nextSpeedChange = 0;
    std::size_t m_nextArrival = 0;
    std::vector<std::size_t> m_segmentIndexes;
    std::vector<std::size_t> m_stateChangeIndexes;
    std::vector<UpstreamState> m_states;
    /** Speeds of all usable slots in descending order. */
    std::vector<double> m_speeds;
    /** Requests in the order of service; the first ones run. */
    std::vector<Job> m_jobs;
    std::vector<Nanoseconds> m_latencies;
    std::vector<std::uint64_t> m_goodput;
    std::uint64_t m_missed = 0;
};

/**
 * Returns a bound for every policy: the best value of each metric over ideal queues of several capacities. Under overload,
 * a short queue has lower percentiles and a long queue misses fewer deadlines, so a single capacity is not a bound for
 * all metrics.
 */
inline RunResult runBound(const Trace &trace)
{
    const auto slots = static_cast<std::size_t>(trace.profile.upstreams) * static_cast<std::size_t>(trace.profile.slots);
    RunResult best = IdealQueue(trace, std::numeric_limits<std::size_t>::max()).run();
    for (const std::size_t multiple : {2, 3, 4, 6, 8, 12, 16, 24, 32}) {
        const RunResult other = IdealQueue(trace, slots * multiple).run();
        best.p50Ms = std::min(best.p50Ms, other.p50Ms);
        best.p99Ms = std::min(best.p99Ms, other.p99Ms);
        best.p999Ms = std::min(best.p999Ms, other.p999Ms);
        best.missed = std::min(best.missed, other.missed);
    }
    return best;
}

} // namespace Filbertmount::PolicySim
