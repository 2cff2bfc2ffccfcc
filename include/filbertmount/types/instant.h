#pragma once

#include <chrono>
#include <cstdint>

namespace Filbertmount {

using Duration = std::chrono::nanoseconds;

/** Tag of the monotonic time line of one process. Decision code never reads a clock; it is given an Instant. */
struct ProcessClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<ProcessClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std::chrono fixes the name.

    /** Reads CLOCK_BOOTTIME, which goes on while the machine is suspended. */
    static time_point now();
};

/** A point on the monotonic time line of this process. Not comparable between processes. */
using Instant = ProcessClock::time_point;

/** A point on the clock of the platform's store, in seconds since the Unix epoch, from the HTTP Date header. */
struct StoreTime {
    std::int64_t seconds = 0;
    auto operator<=>(const StoreTime &) const = default;
};

} // namespace Filbertmount
