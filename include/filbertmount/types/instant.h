#pragma once

#include <chrono>
#include <cstdint>

namespace Filbertmount {

using Duration = std::chrono::nanoseconds;

/** The monotonic clock of this process. Decision logic does not read it, but takes the current Instant as an argument. */
struct ProcessClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<ProcessClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by std::chrono

    /** Reads CLOCK_BOOTTIME, which also advances while the machine is suspended. */
    static time_point now();
};

/** A point in time on this process's monotonic clock. Not comparable between processes. */
using Instant = ProcessClock::time_point;

/** Returns @p duration in milliseconds, for logs and reports. */
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** A point in time on the clock of the platform's store, taken from the HTTP Date header. */
struct StoreTime {
    /** Seconds since the Unix epoch. */
    std::int64_t seconds = 0;
    auto operator<=>(const StoreTime &) const = default;
};

} // namespace Filbertmount
