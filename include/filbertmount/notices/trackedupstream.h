#pragma once

#include <filbertmount/types/ids.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Whether an upstream may receive new requests. */
enum class UpstreamCondition : std::uint8_t {
    Live,
    /** Finishes its requests and receives no new ones until the instance list contains a new incarnation. */
    Draining,
    /** Could not be reached; retried after a back-off. */
    Down,
};

/** The outcome of a request or a probe of this instance. */
enum class UpstreamObservation : std::uint8_t {
    /** A complete response to a request. */
    Responded,
    /** A refusal with the documented reason draining, or a probe that reported draining. */
    Draining,
    /** The connection was refused or could not be made. */
    ConnectFailed,
    /** A probe that reported live or starting. */
    ProbeLive,
    /** A probe without a valid response. */
    ProbeFailed,
};

/** A listed upstream and its current condition. */
struct TrackedUpstream {
    UpstreamId id;
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
    Incarnation incarnation;
    UpstreamCondition condition = UpstreamCondition::Live;
    /** A peer or the instance list contradicts the condition, and only a probe of this instance can confirm that. */
    bool needsConfirmation = false;
};

} // namespace Filbertmount
