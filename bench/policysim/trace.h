#pragma once

#include "profile.h"
#include "upstreamschedule.h"

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace Filbertmount::PolicySim {

struct Arrival {
    Nanoseconds at = 0;
    int instance = 0;
    /** Service time in nanoseconds at speed 1. */
    double demand = 0;
    bool isRepeatable = false;
    Priority priority = Priority::Interactive;
};

/** Requests and upstream schedules of a run. They do not depend on the policy; the same seed gives the same trace. */
struct Trace {
    ServiceProfile profile;
    double load = 0;
    Nanoseconds length = 0;
    std::vector<Arrival> arrivals;
    std::vector<UpstreamSchedule> upstreams;
};

struct TraceOptions {
    double load = 0.85;
    std::uint64_t seed = 1;
    Nanoseconds length = 60'000'000'000;
    /** Period in which half of the upstreams run at a quarter of their speed; empty if both times are equal. */
    Nanoseconds slowdownStart = 0;
    Nanoseconds slowdownEnd = 0;
    bool hasDrains = true;
    bool hasStragglers = true;
};

/** Parameters of the disturbances of upstreams; the same for every policy. */
struct DisturbanceModel {
    // Noisy neighbours: on average, an upstream runs at half speed for 10 ms of every 50 ms.
    Nanoseconds meanQuietTime = 40'000'000;
    Nanoseconds meanNoisyTime = 10'000'000;
    double noisySpeed = 0.5;
    // Stragglers: about once per minute, each upstream runs at a quarter of its speed for a second.
    Nanoseconds meanStragglerInterval = 60'000'000'000;
    Nanoseconds stragglerDuration = 1'000'000'000;
    double stragglerSpeed = 0.25;
    // Replacements, one upstream at a time: the upstream drains, is down, and comes back cold.
    Nanoseconds drainInterval = 20'000'000'000;
    Nanoseconds drainDuration = 3'000'000'000;
    Nanoseconds downDuration = 1'000'000'000;
    double coldStartSpeed = 0.3;
    Nanoseconds coldStartDuration = 5'000'000'000;

    /** Returns the mean speed of a warm upstream that is not a straggler. */
    [[nodiscard]] double meanWarmSpeed() const
    {
        const auto total = static_cast<double>(meanQuietTime + meanNoisyTime);
        return (static_cast<double>(meanQuietTime) + static_cast<double>(meanNoisyTime) * noisySpeed) / total;
    }
};

class TraceGenerator
{
public:
    TraceGenerator(ServiceProfile profile, TraceOptions options)
        : m_profile(std::move(profile))
        , m_options(options)
        , m_random(options.seed * 1'000'003 + std::hash<std::string>()(m_profile.name))
    {
    }

    Trace generate()
    {
        Trace trace{.profile = m_profile, .load = m_options.load, .length = m_options.length, .arrivals = {}, .upstreams = {}};
        trace.upstreams.resize(static_cast<std::size_t>(m_profile.upstreams));
        scheduleDrains(trace);
        for (std::size_t index = 0; index < trace.upstreams.size(); ++index) {
            generateSpeeds(trace.upstreams[index], index);
        }
        generateArrivals(trace);
        return trace;
    }

private:
    Nanoseconds drawExponential(double mean)
    {
        return 1 + static_cast<Nanoseconds>(std::exponential_distribution<double>(1 / mean)(m_random));
    }

    void scheduleDrains(Trace &trace) const
    {
        if (!m_options.hasDrains) {
            return;
        }
        std::size_t next = 0;
        for (Nanoseconds at = m_disturbances.drainInterval / 2; at < m_options.length; at += m_disturbances.drainInterval) {
            std::vector<UpstreamSchedule::StateChange> &stateChanges =
                trace.upstreams[next++ % trace.upstreams.size()].stateChanges;
            stateChanges.push_back({.at = at, .state = UpstreamState::Draining});
            stateChanges.push_back({.at = at + m_disturbances.drainDuration, .state = UpstreamState::Down});
            stateChanges.push_back(
                {.at = at + m_disturbances.drainDuration + m_disturbances.downDuration, .state = UpstreamState::Live});
        }
    }

    void generateSpeeds(UpstreamSchedule &schedule, std::size_t index)
    {
        const auto stragglerInterval = static_cast<double>(m_disturbances.meanStragglerInterval);
        Nanoseconds stragglerStart = drawExponential(stragglerInterval);
        bool isNoisy = false;
        // Extends past the end of the trace, so that every request can finish.
        const Nanoseconds end = m_options.length + 60'000'000'000;
        for (Nanoseconds at = 0; at < end;) {
            if (at > stragglerStart + m_disturbances.stragglerDuration) {
                stragglerStart = at + drawExponential(stragglerInterval);
            }
            const bool isStraggling = m_options.hasStragglers && at >= stragglerStart;
            double speed = isNoisy ? m_disturbances.noisySpeed : 1.0;
            speed *= isStraggling ? m_disturbances.stragglerSpeed : 1.0;
            speed *= coldStartFactor(schedule, at);
            const bool isSlowedDown = at >= m_options.slowdownStart && at < m_options.slowdownEnd && index % 2 == 0;
            schedule.append(at, isSlowedDown ? speed * 0.25 : speed);
            at += drawExponential(static_cast<double>(isNoisy ? m_disturbances.meanNoisyTime : m_disturbances.meanQuietTime));
            isNoisy = !isNoisy;
        }
    }

    [[nodiscard]] double coldStartFactor(const UpstreamSchedule &schedule, Nanoseconds at) const
    {
        for (const UpstreamSchedule::StateChange &change : schedule.stateChanges) {
            const Nanoseconds age = at - change.at;
            if (change.state == UpstreamState::Live && age >= 0 && age < m_disturbances.coldStartDuration) {
                const double warm = static_cast<double>(age) / static_cast<double>(m_disturbances.coldStartDuration);
                return m_disturbances.coldStartSpeed + (1 - m_disturbances.coldStartSpeed) * warm;
            }
        }
        return 1;
    }

    void generateArrivals(Trace &trace)
    {
        const double mean = static_cast<double>(m_profile.meanDemand.count());
        const double capacity = m_profile.upstreams * m_profile.slots * m_disturbances.meanWarmSpeed();
        const double interval = mean / (capacity * m_options.load);
        std::lognormal_distribution<double> demand(std::log(mean) - m_profile.sigma * m_profile.sigma / 2, m_profile.sigma);
        std::uniform_int_distribution<int> instance(0, EntryInstances - 1);
        std::uniform_real_distribution<double> share(0, 1);
        for (Nanoseconds at = drawExponential(interval); at < m_options.length; at += drawExponential(interval)) {
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
    DisturbanceModel m_disturbances;
    std::mt19937_64 m_random;
};

inline Trace generateTrace(const ServiceProfile &profile, const TraceOptions &options)
{
    return TraceGenerator(profile, options).generate();
}

} // namespace Filbertmount::PolicySim
