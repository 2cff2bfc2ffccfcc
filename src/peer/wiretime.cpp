#include "peer/wiretime.h"

#include <algorithm>

namespace Filbertmount {

namespace {

// One day.
constexpr std::uint64_t MaxMicroseconds = 86'400'000'000;

} // namespace

std::uint64_t toMicroseconds(Duration duration)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
}

Duration fromMicroseconds(std::uint64_t microseconds)
{
    return std::chrono::microseconds(std::min(microseconds, MaxMicroseconds));
}

} // namespace Filbertmount
