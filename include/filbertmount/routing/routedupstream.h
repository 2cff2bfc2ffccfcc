#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Address and capacity of an upstream, as used by the router. */
struct RoutedUpstream {
    UpstreamId id;
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
    int slots = 1;
    /** Time for which the upstream's entry states that it stays cold. */
    Duration warmupLeft{0};
    /** A higher incarnation under the same id is a new process: it starts cold and is neither draining nor down. */
    Incarnation incarnation;
    /** Its zone is evacuated: it finishes its running attempts and accepts no new ones; afterwards it starts cold. */
    bool isEvacuated = false;
};

/** Index of an upstream in the UpstreamTable of one instance; not valid in other instances. */
using UpstreamIndex = std::uint32_t;

/** Index of an entry instance in the MemberRegistry of one instance; not valid in other instances. */
using MemberIndex = std::uint32_t;
/** The instance itself. */
inline constexpr MemberIndex SelfMember = 0;

/** Availability of an upstream. */
enum class UpstreamState : std::uint8_t {
    Live,
    /** Finishes its running requests and accepts no new ones. */
    Draining,
    Down,
};

} // namespace Filbertmount
