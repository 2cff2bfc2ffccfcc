#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

// Finalizer of MurmurHash3, needed because FNV-1a alone leaves the high bits of short keys correlated.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = FnvOffsetBasis;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= FnvPrime;
    }
    return mix(hash);
}

std::vector<InstanceId> rendezvousOrder(std::string_view key, std::span<const InstanceId> members, std::size_t count)
{
    const std::uint64_t keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, const InstanceId *>> weighted;
    weighted.reserve(members.size());
    for (const InstanceId &member : members) {
        weighted.emplace_back(mix(keyHash ^ stableHash(member.value())), &member);
    }
    const auto hasHigherWeight = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    std::sort(weighted.begin(), weighted.end(), hasHigherWeight);
    std::vector<InstanceId> order;
    for (std::size_t index = 0; index < std::min(count, weighted.size()); ++index) {
        order.push_back(*weighted[index].second);
    }
    return order;
}

} // namespace Filbertmount
