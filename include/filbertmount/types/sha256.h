#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Filbertmount {

using Sha256Digest = std::array<std::uint8_t, 32>;

Sha256Digest sha256(std::string_view text);

} // namespace Filbertmount
