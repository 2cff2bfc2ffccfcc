#pragma once

#include <filbertmount/types/ids.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

/**
 * Returns a 64-bit hash that is the same in every process and build (FNV-1a with a finalising mix).
 * Abseil's hash is seeded per process, so members could not agree on its order.
 */
std::uint64_t stableHash(std::string_view text);

/**
 * Returns up to @p count members in falling order of their rendezvous weight for @p key.
 * All processes that know the same members get the same order; removing one member moves only its own keys.
 */
std::vector<InstanceId> rendezvousOrder(std::string_view key, std::span<const InstanceId> members, std::size_t count);

} // namespace Filbertmount
