#pragma once

#include <cstdint>

namespace Filbertmount {

// Units of byte limits in documents and settings.
inline constexpr std::int64_t KibiByte = 1024;
inline constexpr std::int64_t MebiByte = 1024 * KibiByte;
inline constexpr std::int64_t GibiByte = 1024 * MebiByte;

} // namespace Filbertmount
