#pragma once

#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/types/instant.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace Filbertmount::PolicySim {

/** Virtual time in nanoseconds since the start of the run. */
using Ticks = std::int64_t;

inline Instant toInstant(Ticks time)
{
    return Instant(Duration(time));
}

/** Speed of one upstream over time, piecewise constant, and its lifecycle. Speed 1 is undisturbed and warm. */
class Trajectory
{
public:
    struct Piece {
        Ticks start = 0;
        double speed = 1;
        /** Work done since time 0 at the start of the piece, in ticks at speed 1. */
        double work = 0;
    };

    struct Change {
        Ticks at = 0;
        UpstreamState state = UpstreamState::Live;
    };

    /** Appends a piece; starts must not fall. */
    void append(Ticks start, double speed)
    {
        if (m_pieces.empty()) {
            m_pieces.push_back({.start = 0, .speed = speed, .work = 0});
            return;
        }
        const Piece &last = m_pieces.back();
        const double work = last.work + last.speed * static_cast<double>(start - last.start);
        m_pieces.push_back({.start = start, .speed = speed, .work = work});
    }

    /** Time at which work of @p demand ticks that starts at @p start is done. */
    [[nodiscard]] Ticks finish(Ticks start, double demand) const
    {
        const Piece &from = pieceAt(start);
        const double target = from.work + from.speed * static_cast<double>(start - from.start) + demand;
        const auto after = std::upper_bound(m_pieces.begin(), m_pieces.end(), target, [](double work, const Piece &piece) {
            return work < piece.work;
        });
        const Piece &last = *std::prev(after);
        return last.start + static_cast<Ticks>(std::ceil((target - last.work) / last.speed));
    }

    [[nodiscard]] const Piece &pieceAt(Ticks time) const
    {
        const auto after = std::upper_bound(m_pieces.begin(), m_pieces.end(), time, [](Ticks value, const Piece &piece) {
            return value < piece.start;
        });
        return *std::prev(after);
    }

    [[nodiscard]] const std::vector<Piece> &pieces() const
    {
        return m_pieces;
    }

    std::vector<Change> changes;

private:
    std::vector<Piece> m_pieces;
};

} // namespace Filbertmount::PolicySim
