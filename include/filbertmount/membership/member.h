#pragma once

#include <filbertmount/types/ids.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Ordered by precedence: of two updates with the same incarnation, the one with the later enumerator wins. */
enum class MemberState : std::uint8_t {
    Alive,
    /** Did not respond to a ping; counts as live until the suspicion times out. */
    Suspect,
    Dead,
    /** Announced its shutdown. This state is final, since a restarted process has a new id. */
    Left,
};

/** An entry instance as the membership protocol describes it to the others. */
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
    /** Processor time of the machine in thousandths of a core; 0 when unknown. */
    std::uint32_t capacity = 0;

    /** True for members that still count as running: alive or only suspected. */
    [[nodiscard]] bool live() const
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }
};

} // namespace Filbertmount
