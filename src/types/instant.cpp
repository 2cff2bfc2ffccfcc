#include <filbertmount/types/instant.h>

#include <ctime>

namespace Filbertmount {

ProcessClock::time_point ProcessClock::now()
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace Filbertmount
