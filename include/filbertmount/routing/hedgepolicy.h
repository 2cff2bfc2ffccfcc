#pragma once

#include <filbertmount/types/instant.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Filbertmount {

/**
 * Computes the delay after which a repeatable request is hedged: the 95th percentile of recent service times.
 * Not thread-safe.
 */
class HedgePolicy
{
public:
    /** Adds the service time of a successful attempt. */
    void record(Duration serviceTime);
    /** Returns the hedge delay, or nothing until 50 service times were recorded. */
    [[nodiscard]] std::optional<Duration> delay() const;

private:
    static constexpr std::size_t Buckets = 160;

    /** Histogram of service times with logarithmic buckets, each 10% wider than the one before. */
    std::array<std::uint32_t, Buckets> m_counts{};
    std::uint32_t m_total = 0;
};

} // namespace Filbertmount
