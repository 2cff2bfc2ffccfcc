#pragma once

#include "profile.h"
#include "trajectory.h"

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace Filbertmount::PolicySim {

struct Arrival {
    Ticks at = 0;
    int instance = 0;
    /** Service time at speed 1. */
    double demand = 0;
    bool isRepeatable = false;
    Priority priority = Priority::Interactive;
};

/** What happens in a run, whatever the policy: the same seed gives the same trace to all policies. */
struct Trace {
    ServiceProfile profile;
    double load = 0;
    Ticks length = 0;
    std::vector<Arrival> arrivals;
    std::vector<Trajectory> upstreams;
};

struct TraceOptions {
    double load = 0.85;
    std::uint64_t seed = 1;
    Ticks length = 60'000'000'000;
    /** Slows half of the upstreams down to a quarter from one time to another; none when equal. */
    Ticks triggerFrom = 0;
    Ticks triggerTo = 0;
    bool hasDrains = true;
    bool hasStragglers = true;
};

/** How upstreams are disturbed. Chosen before any policy was measured. */
struct Disturbance {
    // Noisy neighbours: half speed for 10 ms every 50 ms on average.
    Ticks quiet = 40'000'000;
    Ticks noisy = 10'000'000;
    double noisySpeed = 0.5;
    // A straggler runs at a quarter of its speed for a second, once a minute per upstream.
    Ticks betweenStragglers = 60'000'000'000;
    Ticks straggling = 1'000'000'000;
    double stragglingSpeed = 0.25;
    // One upstream at a time is replaced: it drains, is gone, and comes back cold.
    Ticks betweenDrains = 20'000'000'000;
    Ticks draining = 3'000'000'000;
    Ticks gone = 1'000'000'000;
    double coldSpeed = 0.3;
    Ticks coldStart = 5'000'000'000;

    /** Mean speed of a warm upstream that is no straggler. */
    [[nodiscard]] double usualSpeed() const
    {
        const auto total = static_cast<double>(quiet + noisy);
        return (static_cast<double>(quiet) + static_cast<double>(noisy) * noisySpeed) / total;
    }
};

class TraceMaker
{
public:
    TraceMaker(ServiceProfile profile, TraceOptions options)
        : m_profile(std::move(profile))
        , m_options(options)
        , m_random(options.seed * 1'000'003 + std::hash<std::string>()(m_profile.name))
    {
    }

    Trace make()
    {
        Trace trace{.profile = m_profile, .load = m_options.load, .length = m_options.length, .arrivals = {}, .upstreams = {}};
        trace.upstreams.resize(static_cast<std::size_t>(m_profile.upstreams));
        planDrains(trace);
        for (std::size_t index = 0; index < trace.upstreams.size(); ++index) {
            planSpeeds(trace.upstreams[index], index);
        }
        planArrivals(trace);
        return trace;
    }

private:
    Ticks exponential(double mean)
    {
        return 1 + static_cast<Ticks>(std::exponential_distribution<double>(1 / mean)(m_random));
    }

    void planDrains(Trace &trace) const
    {
        if (!m_options.hasDrains) {
            return;
        }
        std::size_t next = 0;
        for (Ticks at = m_disturbance.betweenDrains / 2; at < m_options.length; at += m_disturbance.betweenDrains) {
            std::vector<Trajectory::Change> &changes = trace.upstreams[next++ % trace.upstreams.size()].changes;
            changes.push_back({.at = at, .state = UpstreamState::Draining});
            changes.push_back({.at = at + m_disturbance.draining, .state = UpstreamState::Down});
            changes.push_back({.at = at + m_disturbance.draining + m_disturbance.gone, .state = UpstreamState::Live});
        }
    }

    void planSpeeds(Trajectory &trajectory, std::size_t index)
    {
        const auto straggleMean = static_cast<double>(m_disturbance.betweenStragglers);
        Ticks straggleFrom = exponential(straggleMean);
        bool isNoisy = false;
        // Runs past the end of the trace, so that every request can finish.
        const Ticks end = m_options.length + 60'000'000'000;
        for (Ticks at = 0; at < end;) {
            if (at > straggleFrom + m_disturbance.straggling) {
                straggleFrom = at + exponential(straggleMean);
            }
            const bool isStraggling = m_options.hasStragglers && at >= straggleFrom;
            double speed = isNoisy ? m_disturbance.noisySpeed : 1.0;
            speed *= isStraggling ? m_disturbance.stragglingSpeed : 1.0;
            speed *= coldFactor(trajectory, at);
            const bool isTriggered = at >= m_options.triggerFrom && at < m_options.triggerTo && index % 2 == 0;
            trajectory.append(at, isTriggered ? speed * 0.25 : speed);
            at += exponential(static_cast<double>(isNoisy ? m_disturbance.noisy : m_disturbance.quiet));
            isNoisy = !isNoisy;
        }
    }

    [[nodiscard]] double coldFactor(const Trajectory &trajectory, Ticks at) const
    {
        for (const Trajectory::Change &change : trajectory.changes) {
            const Ticks age = at - change.at;
            if (change.state == UpstreamState::Live && age >= 0 && age < m_disturbance.coldStart) {
                const double warm = static_cast<double>(age) / static_cast<double>(m_disturbance.coldStart);
                return m_disturbance.coldSpeed + (1 - m_disturbance.coldSpeed) * warm;
            }
        }
        return 1;
    }

    void planArrivals(Trace &trace)
    {
        const double mean = static_cast<double>(m_profile.meanDemand.count());
        const double capacity = m_profile.upstreams * m_profile.slots * m_disturbance.usualSpeed();
        const double interval = mean / (capacity * m_options.load);
        std::lognormal_distribution<double> demand(std::log(mean) - m_profile.sigma * m_profile.sigma / 2, m_profile.sigma);
        std::uniform_int_distribution<int> instance(0, EntryInstances - 1);
        std::uniform_real_distribution<double> share(0, 1);
        for (Ticks at = exponential(interval); at < m_options.length; at += exponential(interval)) {
            trace.arrivals.push_back(
                {.at = at,
                 .instance = instance(m_random),
                 .demand = demand(m_random),
                 .isRepeatable = share(m_random) < m_profile.repeatableShare,
                 .priority = share(m_random) < m_profile.patientShare ? Priority::Patient : Priority::Interactive});
        }
    }

    ServiceProfile m_profile;
    TraceOptions m_options;
    Disturbance m_disturbance;
    std::mt19937_64 m_random;
};

inline Trace makeTrace(const ServiceProfile &profile, const TraceOptions &options)
{
    return TraceMaker(profile, options).make();
}

} // namespace Filbertmount::PolicySim
