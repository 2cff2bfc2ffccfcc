#pragma once

#include <filbertmount/types/ids.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

/**
 * Returns a 64-bit hash that is the same in every process and build (FNV-1a with a final mixing step).
 * Abseil's hash is seeded per process, so members using it would not compute the same order.
 */
std::uint64_t stableHash(std::string_view text);

/**
 * Returns up to @p count members in descending order of their rendezvous weight for @p key.
 * All processes with the same members compute the same order. Removing a member reassigns only the keys it was first for.
 */
std::vector<InstanceId> rendezvousOrder(std::string_view key, std::span<const InstanceId> members, std::size_t count);

} // namespace Filbertmount
