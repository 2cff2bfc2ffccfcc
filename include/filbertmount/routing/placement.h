#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <absl/container/inlined_vector.h>
#include <absl/functional/any_invocable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Filbertmount {

/** What the proxy asks the router for: one upstream for one attempt. */
struct PlacementQuery {
    ServiceName service;
    Priority priority = Priority::Interactive;
    /** The attempt is not started when it cannot finish by then. */
    Instant deadline;
    /** By when an answer is of full use to the caller; nothing when that is not known. */
    std::optional<Instant> objective;
    /** Upstreams that earlier attempts of this request used. */
    absl::InlinedVector<UpstreamId, 2> excluded;
    /** A hedged attempt takes only a slot that is free at once and is never queued. */
    bool hedge = false;
};

/** Permission to send one attempt to one upstream; given back with Router::release. */
struct Placement {
    ServiceName service;
    UpstreamId upstream;
    /** "IP:port". */
    std::string address;
    /** Number of the dispatcher's grant; 0 when the instance chose by itself. */
    std::uint64_t grant = 0;
    /** The dispatcher that gave the grant; empty when the instance chose by itself. */
    InstanceId dispatcher;
    /** Team whose share of the entry instance the attempt takes. */
    TeamName team;
};

enum class RefusalReason : std::uint8_t {
    UnknownService,
    NoUpstream,
    QueueFull,
    DeadlineTooShort,
    /** Shed in favour of callers that cannot wait, or of other teams. */
    Shed,
};

struct PlacementRefusal {
    RefusalReason reason = RefusalReason::NoUpstream;
    Duration retryAfter = std::chrono::seconds(1);
};

using PlacementResult = std::variant<Placement, PlacementRefusal>;
/** Runs exactly once, on any thread, with no lock of the router held. */
using PlacementHandler = absl::AnyInvocable<void(PlacementResult)>;

/** How one attempt at an upstream ended. */
enum class AttemptOutcome : std::uint8_t {
    /** A whole answer with a status below 500. */
    Success,
    /** A whole answer with a status of 500 or above that is no refusal. */
    ServerError,
    /** The documented refusal with reason draining. */
    RefusedDraining,
    /** The documented refusal with reason shedding. */
    RefusedShedding,
    /** The documented refusal with reason starting. */
    RefusedStarting,
    /** The connection was refused or could not be made; no byte was sent. */
    ConnectFailed,
    /** The connection broke after bytes were sent and before the answer was whole. */
    Broken,
    TimedOut,
    /** The proxy gave the attempt up: the caller left or another attempt answered first. */
    Cancelled,
    /** The placement was not used. */
    Unused,
    /** A refusal although the upstream stated free slots: it fails requests, and sending it fewer does not help. */
    RefusedWithRoom,
};

/** Returns the name of @p outcome as it appears in logs, events and metrics. */
std::string_view attemptOutcomeName(AttemptOutcome outcome);

/** What an upstream says of its load in an answer. */
struct UpstreamLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /** Time that work takes on the upstream's machine at this moment, relative to the usual; nothing when not stated. */
    std::optional<double> pace;
};

struct AttemptReport {
    AttemptOutcome outcome = AttemptOutcome::Unused;
    /** From the first byte sent to the last byte received. */
    Duration serviceTime{0};
    /** Pace that the upstream stated in its answer. */
    std::optional<double> pace;
};

} // namespace Filbertmount
