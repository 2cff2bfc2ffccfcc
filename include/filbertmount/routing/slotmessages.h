#pragma once

#include <filbertmount/routing/placement.h>
#include <filbertmount/routing/routedupstream.h>

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace Filbertmount {

/** Asks the dispatcher for one slot. */
struct SlotRequest {
    std::uint64_t request = 0;
    Priority priority = Priority::Interactive;
    /** Time until the request's deadline when the message was sent. */
    Duration timeLeft{0};
    /** Time within which an answer is of full use, when the message was sent; nothing when that is not known. */
    std::optional<Duration> objectiveLeft;
    /** Zone of the entry instance; the receiver keeps no reference to it. */
    std::string_view zone;
    absl::InlinedVector<UpstreamIndex, 2> excluded;
    /** Refused instead of queued when no slot is free. */
    bool isImmediate = false;
};

struct SlotGrant {
    std::uint64_t request = 0;
    UpstreamIndex upstream = 0;
    /** Rises with each grant of one dispatcher run; never 0. */
    std::uint64_t grant = 0;
};

/** The request waits; the dispatcher answers or sends this again within the announced wait. */
struct SlotQueued {
    std::uint64_t request = 0;
    Duration wait{0};
};

struct SlotRefusal {
    std::uint64_t request = 0;
    RefusalReason reason = RefusalReason::NoUpstream;
    Duration retryAfter{0};
};

/** Grant number of an attempt that the entry instance placed by itself. */
inline constexpr std::uint64_t NoGrant = ~std::uint64_t{0};

/** Ends an attempt, or withdraws a queued request when the grant is 0. */
struct SlotRelease {
    std::uint64_t request = 0;
    std::uint64_t grant = 0;
    UpstreamIndex upstream = 0;
    AttemptReport report;
};

struct UpstreamCount {
    UpstreamIndex upstream = 0;
    int requests = 0;
};

/** Replaces all that the dispatcher assumes of the sender's attempts. */
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

/** Commands are appended to a list that the caller keeps, so that a decision allocates nothing. */
using SlotOutbox = std::vector<AddressedSlotMessage>;

} // namespace Filbertmount
