#pragma once

#include <absl/random/random.h>

#include <cstdint>

namespace Filbertmount {

/** Returns a seed that differs between processes. */
inline std::uint64_t randomSeed()
{
    absl::BitGen random;
    return absl::Uniform<std::uint64_t>(random);
}

} // namespace Filbertmount
