#pragma once

#include <filbertmount/routing/placement.h>
#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/routing/zoneexitpolicy.h>

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace Filbertmount {

/** Requests one slot from the dispatcher. */
struct SlotRequest {
    std::uint64_t request = 0;
    /** Urgency relative to the service's other requests; 0 is the most urgent, all from QueueRanks - 1 on are equal. */
    std::uint8_t rank = 0;
    /** Requests of equal rank share the slots fairly by flow. */
    FlowId flow;
    /** Time from sending the message to the request's deadline. */
    Duration timeLeft{0};
    /** Time from sending the message to the request's latency objective; nothing when none was stated. */
    std::optional<Duration> objectiveLeft;
    /** Zone of the entry instance. The view is valid only while the message is handled. */
    std::string_view zone;
    /** Upstreams that earlier attempts of the request used. */
    absl::InlinedVector<UpstreamIndex, 2> excluded;
    /** The request is refused instead of queued when no slot is free. */
    bool isImmediate = false;
    /** Expected size of request and response together, in bytes; 0 when unknown. */
    std::uint64_t expectedBytes = 0;
};

/** Assigns a slot of an upstream to a request. */
struct SlotGrant {
    std::uint64_t request = 0;
    UpstreamIndex upstream = 0;
    /** Increases with each grant of a dispatcher; never 0. */
    std::uint64_t grant = 0;
    /** Why the upstream is in another zone than the entry instance. */
    ZoneExitReason exitReason = ZoneExitReason::None;
};

/** States that the request is queued. The dispatcher responds or sends this message again within the announced wait. */
struct SlotQueued {
    std::uint64_t request = 0;
    Duration wait{0};
};

/** States that the request gets no slot. */
struct SlotRefusal {
    std::uint64_t request = 0;
    RefusalReason reason = RefusalReason::NoUpstream;
    Duration retryAfter{0};
};

/** Grant number of an attempt that the entry instance placed locally. */
inline constexpr std::uint64_t NoGrant = ~std::uint64_t{0};

/** Ends an attempt and frees its slot, or withdraws a queued request when the grant is 0. */
struct SlotRelease {
    std::uint64_t request = 0;
    std::uint64_t grant = 0;
    UpstreamIndex upstream = 0;
    AttemptReport report;
};

/** Number of attempts in flight at one upstream. */
struct UpstreamCount {
    UpstreamIndex upstream = 0;
    int attempts = 0;
};

/** Lists the sender's attempts in flight; replaces the counts that the dispatcher has for the sender. */
struct InFlightReport {
    std::vector<UpstreamCount> upstreams;
    /** Grants up to this number are included in the counts. */
    std::uint64_t lastGrant = 0;
};

using SlotMessage = std::variant<SlotRequest, SlotGrant, SlotQueued, SlotRefusal, SlotRelease, InFlightReport>;

/** A message to or from one member. */
struct AddressedSlotMessage {
    MemberIndex peer = 0;
    SlotMessage message;
};

/** Messages to send. The caller reuses the list, so that a decision allocates no memory. */
using SlotOutbox = std::vector<AddressedSlotMessage>;

} // namespace Filbertmount
