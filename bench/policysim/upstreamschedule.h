#pragma once

#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/types/instant.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace Filbertmount::PolicySim {

/** A duration, or the virtual time since the start of the run. */
using Nanoseconds = std::int64_t;

inline Instant toInstant(Nanoseconds time)
{
    return Instant(Duration(time));
}

/**
 * Speed of one upstream as a piecewise constant function of time, and the changes of its state. An undisturbed, warm
 * upstream has speed 1.
 */
class UpstreamSchedule
{
public:
    struct Segment {
        Nanoseconds start = 0;
        double speed = 1;
        /** Work done from time 0 to the start of the segment, in nanoseconds at speed 1. */
        double work = 0;
    };

    struct StateChange {
        Nanoseconds at = 0;
        UpstreamState state = UpstreamState::Live;
    };

    /** Appends a segment. @p start must not be earlier than the start of the last segment. */
    void append(Nanoseconds start, double speed)
    {
        if (m_segments.empty()) {
            m_segments.push_back({.start = 0, .speed = speed, .work = 0});
            return;
        }
        const Segment &last = m_segments.back();
        const double work = last.work + last.speed * static_cast<double>(start - last.start);
        m_segments.push_back({.start = start, .speed = speed, .work = work});
    }

    /** Returns the time at which work that starts at @p start and takes @p demand nanoseconds at speed 1 is done. */
    [[nodiscard]] Nanoseconds finishTime(Nanoseconds start, double demand) const
    {
        const Segment &from = segmentAt(start);
        const double target = from.work + from.speed * static_cast<double>(start - from.start) + demand;
        const auto after =
            std::upper_bound(m_segments.begin(), m_segments.end(), target, [](double work, const Segment &segment) {
                return work < segment.work;
            });
        const Segment &last = *std::prev(after);
        return last.start + static_cast<Nanoseconds>(std::ceil((target - last.work) / last.speed));
    }

    [[nodiscard]] const Segment &segmentAt(Nanoseconds time) const
    {
        const auto after =
            std::upper_bound(m_segments.begin(), m_segments.end(), time, [](Nanoseconds value, const Segment &segment) {
                return value < segment.start;
            });
        return *std::prev(after);
    }

    [[nodiscard]] const std::vector<Segment> &segments() const
    {
        return m_segments;
    }

    std::vector<StateChange> stateChanges;

private:
    std::vector<Segment> m_segments;
};

} // namespace Filbertmount::PolicySim
