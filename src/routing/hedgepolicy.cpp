#include <filbertmount/routing/hedgepolicy.h>

#include <algorithm>
#include <cmath>

namespace Filbertmount {

namespace {

constexpr double HedgeQuantile = 0.95;
constexpr double BucketRatio = 1.1;
constexpr double MinSeconds = 100e-6;
constexpr std::uint32_t MinSamples = 50;
// All counts are halved at this total, so that the percentile follows the last few thousand requests.
constexpr std::uint32_t SamplesToHalve = 4000;

} // namespace

void HedgePolicy::record(Duration serviceTime)
{
    const double seconds = std::chrono::duration<double>(serviceTime).count();
    const double position = std::log(std::max(seconds, MinSeconds) / MinSeconds) / std::log(BucketRatio);
    ++m_counts[std::min(static_cast<std::size_t>(position), Buckets - 1)];
    ++m_total;
    if (m_total < SamplesToHalve) {
        return;
    }
    m_total = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

std::optional<Duration> HedgePolicy::delay() const
{
    if (m_total < MinSamples) {
        return std::nullopt;
    }
    double seconds = MinSeconds;
    std::uint32_t seen = 0;
    for (const std::uint32_t count : m_counts) {
        seen += count;
        seconds *= BucketRatio;
        if (seen >= HedgeQuantile * m_total) {
            break;
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Filbertmount
