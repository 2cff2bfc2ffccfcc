#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <functional>

namespace Filbertmount::Testing {

/** A task on a virtual clock. The top of a std::priority_queue is the earliest; equal times run in the order of entry. */
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
