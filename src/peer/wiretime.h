#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>

namespace Filbertmount {

// Durations travel between instances as whole microseconds.

/** Negative durations become 0. */
std::uint64_t toMicroseconds(Duration duration);

/** Durations of more than a day become a day, which is longer than any that is sent; a malformed value cannot overflow. */
Duration fromMicroseconds(std::uint64_t microseconds);

} // namespace Filbertmount
