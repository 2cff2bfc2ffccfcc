#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** An upstream as the router sees it. */
struct RoutedUpstream {
    UpstreamId id;
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
    int slots = 1;
    /** A higher incarnation under the same id is a new, cold process that is neither draining nor down. */
    Incarnation incarnation;
};

/** Position of an upstream in the UpstreamTable of one instance; means nothing to other instances. */
using UpstreamIndex = std::uint32_t;

/** Position of an entry instance in the Router's list of members; means nothing to other instances. */
using MemberIndex = std::uint32_t;
/** The instance itself. */
inline constexpr MemberIndex SelfMember = 0;

enum class UpstreamState : std::uint8_t {
    Live,
    /** Runs what it has and takes nothing new. */
    Draining,
    Down,
};

} // namespace Filbertmount
