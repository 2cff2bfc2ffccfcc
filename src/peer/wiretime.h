#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>

namespace Filbertmount {

// Messages between instances carry durations in whole microseconds.

/** Negative durations become 0. */
std::uint64_t toMicroseconds(Duration duration);

/** Clamps to one day, which is longer than any duration that is sent, so that a malformed value cannot overflow. */
Duration fromMicroseconds(std::uint64_t microseconds);

} // namespace Filbertmount
