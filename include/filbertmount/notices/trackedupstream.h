#pragma once

#include <filbertmount/types/ids.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Whether an upstream receives new requests. */
enum class UpstreamCondition : std::uint8_t {
    Live,
    /** Finishes its requests and takes no new ones, until the instance list shows a new incarnation. */
    Draining,
    /** Did not answer; tried again after a back-off. */
    Down,
};

/** What this instance itself saw at an upstream. */
enum class UpstreamObservation : std::uint8_t {
    /** A whole answer to a request. */
    Answered,
    /** The documented refusal with reason draining, or a probe that reported draining. */
    Draining,
    /** The connection was refused or could not be made. */
    ConnectFailed,
    /** A probe that reported live or starting. */
    ProbeLive,
    /** A probe without a valid answer. */
    ProbeFailed,
};

struct TrackedUpstream {
    UpstreamId id;
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
    Incarnation incarnation;
    UpstreamCondition condition = UpstreamCondition::Live;
    /** A peer or the instance list says otherwise, but only an own probe may confirm it. */
    bool needsConfirmation = false;
};

} // namespace Filbertmount
