#pragma once

#include <filbertmount/types/instant.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Filbertmount {

/**
 * Tells after which time a repeatable request is worth a second attempt: the 95th percentile of recent service times.
 * Not thread-safe.
 */
class HedgePolicy
{
public:
    void record(Duration serviceTime);
    /** Returns nothing until enough service times are known. */
    [[nodiscard]] std::optional<Duration> delay() const;

private:
    static constexpr std::size_t Buckets = 160;

    /** Counts by logarithm of service time, each bucket 10% wider than the one before. */
    std::array<std::uint32_t, Buckets> m_counts{};
    std::uint32_t m_total = 0;
};

} // namespace Filbertmount
