#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <functional>

namespace Filbertmount::Testing {

/**
 * A task on a virtual clock. The earliest task is the top of a std::priority_queue; tasks of the same time run in the order
 * in which they were added.
 */
struct TimedTask {
    Instant when;
    std::uint64_t order = 0;
    std::function<void()> task;

    bool operator<(const TimedTask &other) const
    {
        return when != other.when ? when > other.when : order > other.order;
    }
};

} // namespace Filbertmount::Testing
