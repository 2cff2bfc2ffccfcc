#pragma once

#include "result.h"
#include "trace.h"

#include <limits>
#include <set>
#include <tuple>

namespace Filbertmount::PolicySim {

/**
 * One queue by priority and arrival that knows the true speed of each slot at every moment, moves running requests
 * between slots at no cost, and needs no messages. The oldest requests run on the fastest slots.
 */
class IdealQueue
{
public:
    /** @param capacity requests that may wait or run; further ones are refused */
    IdealQueue(const Trace &trace, std::size_t capacity)
        : m_trace(trace)
        , m_capacity(capacity)
        , m_pieces(trace.upstreams.size(), 0)
        , m_changes(trace.upstreams.size(), 0)
        , m_states(trace.upstreams.size(), UpstreamState::Live)
    {
    }

    RunResult run()
    {
        refreshSpeeds();
        while (m_nextArrival < m_trace.arrivals.size() || !m_jobs.empty()) {
            const Ticks next = nextEvent();
            advance(next);
            m_now = next;
            takeArrivals();
            if (m_now >= m_nextShift) {
                refreshSpeeds();
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
        Ticks arrival = 0;
        double remaining = 0;
    };

    [[nodiscard]] Ticks nextEvent() const
    {
        Ticks next = m_nextShift;
        if (m_nextArrival < m_trace.arrivals.size()) {
            next = std::min(next, m_trace.arrivals[m_nextArrival].at);
        }
        for (std::size_t rank = 0; rank < std::min(m_jobs.size(), m_speeds.size()); ++rank) {
            const auto finish = m_now + static_cast<Ticks>(std::ceil(m_jobs[rank].remaining / m_speeds[rank]));
            next = std::min(next, std::max(finish, m_now + 1));
        }
        return next;
    }

    void advance(Ticks next)
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

    void record(Ticks latency, Ticks time, bool isDone)
    {
        m_latencies.push_back(std::min<Ticks>(latency, m_trace.profile.deadline.count()));
        if (!isDone) {
            ++m_missed;
            return;
        }
        const auto interval = static_cast<std::size_t>(time / RunResult::GoodputInterval);
        m_goodput.resize(std::max(m_goodput.size(), interval + 1));
        ++m_goodput[interval];
    }

    void takeArrivals()
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

    void refreshSpeeds()
    {
        m_speeds.clear();
        m_nextShift = std::numeric_limits<Ticks>::max();
        for (std::size_t index = 0; index < m_trace.upstreams.size(); ++index) {
            const Trajectory &trajectory = m_trace.upstreams[index];
            const auto &pieces = trajectory.pieces();
            while (m_pieces[index] + 1 < pieces.size() && pieces[m_pieces[index] + 1].start <= m_now) {
                ++m_pieces[index];
            }
            const auto &changes = trajectory.changes;
            for (; m_changes[index] < changes.size() && changes[m_changes[index]].at <= m_now; ++m_changes[index]) {
                m_states[index] = changes[m_changes[index]].state;
            }
            if (m_pieces[index] + 1 < pieces.size()) {
                m_nextShift = std::min(m_nextShift, pieces[m_pieces[index] + 1].start);
            }
            if (m_changes[index] < changes.size()) {
                m_nextShift = std::min(m_nextShift, changes[m_changes[index]].at);
            }
            if (m_states[index] == UpstreamState::Live) {
                m_speeds.insert(m_speeds.end(), static_cast<std::size_t>(m_trace.profile.slots), pieces[m_pieces[index]].speed);
            }
        }
        std::sort(m_speeds.begin(), m_speeds.end(), std::greater<>());
    }

    const Trace &m_trace;
    std::size_t m_capacity;
    Ticks m_now = 0;
    Ticks m_nextShift = 0;
    std::size_t m_nextArrival = 0;
    std::vector<std::size_t> m_pieces;
    std::vector<std::size_t> m_changes;
    std::vector<UpstreamState> m_states;
    /** Speeds of all usable slots, the fastest first. */
    std::vector<double> m_speeds;
    /** Requests in the order of service; the first ones run. */
    std::vector<Job> m_jobs;
    std::vector<Ticks> m_latencies;
    std::vector<std::uint64_t> m_goodput;
    std::uint64_t m_missed = 0;
};

/**
 * A bound for every policy: the best value of each measure over ideal queues of several capacities. Under overload a
 * short queue has the lower percentiles and a long one misses fewer deadlines, so one capacity alone can be beaten.
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
