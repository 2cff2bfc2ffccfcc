#pragma once

#include <filbertmount/types/ids.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Ordered by precedence: of two statements with the same incarnation, the later state holds. */
enum class MemberState : std::uint8_t {
    Alive,
    /** Did not answer; still counts as live until the suspicion ends. */
    Suspect,
    Dead,
    /** Shut down in an orderly way; never returns, since a restarted process has a new id. */
    Left,
};

/** An entry instance as the others see it. */
struct Member {
    InstanceId id;
    /** "IP:port" for messages between instances. */
    std::string peerAddress;
    /** "IP:port" of the administration API. */
    std::string adminAddress;
    AvailabilityZone zone;
    Region region;
    MemberState state = MemberState::Alive;
    Incarnation incarnation;
    /** Processor time of the machine in thousandths of a core; 0 when it is not stated. */
    std::uint32_t capacity = 0;

    /** True for members that take part in the fleet's work. */
    [[nodiscard]] bool live() const
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }
};

} // namespace Filbertmount
