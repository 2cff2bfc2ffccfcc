#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/routing/zoneexitpolicy.h>
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

/** Number of ranks that the queue of a dispatcher distinguishes. */
inline constexpr std::size_t QueueRanks = 8;

/** Requests that take turns with those of other flows, for example the requests of one client account. */
using FlowId = NumberId<struct FlowTag>;

/** Asks the router for an upstream for one attempt. */
struct PlacementQuery {
    ServiceName service;
    Priority priority = Priority::Interactive;
    /** See SlotRequest; derived from the priority if not set. */
    std::optional<std::uint8_t> rank = {};
    FlowId flow = {};
    /** The attempt is not started when it cannot finish before this time; zero means no deadline. */
    Instant deadline;
    /** Time by which the caller wants the response (latency objective); nothing when not stated. */
    std::optional<Instant> objective;
    /** Upstreams that earlier attempts of this request used. */
    absl::InlinedVector<UpstreamId, 2> excluded;
    /** A hedged attempt gets a slot only when one is free at once; it is never queued. */
    bool isHedge = false;
    /** Expected size of request and response together, in bytes; 0 when unknown. */
    std::uint64_t expectedBytes = 0;
};

/** An attempt at an upstream in another zone than the entry instance. */
struct ZoneExit {
    AvailabilityZone from;
    AvailabilityZone to;
    ZoneExitReason reason = ZoneExitReason::None;
};

/** Permission to send one attempt to one upstream. Must be released with Router::release. */
struct Placement {
    ServiceName service;
    UpstreamId upstream;
    /** "IP:port". */
    std::string address;
    /** Incarnation of the upstream that the placement is for. */
    Incarnation incarnation;
    /** Number of the dispatcher's grant; 0 when the instance placed the attempt locally. */
    std::uint64_t grant = 0;
    /** Dispatcher that issued the grant; empty when the instance placed the attempt locally. */
    InstanceId dispatcher;
    /** Team that the attempt is counted for in the admission control. */
    TeamName team;
    /** Set when the attempt leaves its zone and this is decided by cost. */
    std::optional<ZoneExit> zoneExit;
};

/** Why no upstream was assigned. Values are sent to other instances. */
enum class RefusalReason : std::uint8_t {
    UnknownService,
    NoUpstream,
    QueueFull,
    DeadlineTooShort,
    /** Dropped in favour of requests with a higher priority or of other teams. */
    Shed,
    /** Each usable upstream has asked this instance for a pause. */
    UpstreamsPaused,
    /** All upstreams are in evacuated zones. Decided by the requesting instance, never sent to others. */
    ZonesEvacuated,
    /** Each usable upstream is cold and has got as many requests as this instance may send to it without a grant. */
    UpstreamsCold,
};

struct PlacementRefusal {
    RefusalReason reason = RefusalReason::NoUpstream;
    Duration retryAfter = std::chrono::seconds(1);
};

using PlacementResult = std::variant<Placement, PlacementRefusal>;
/** Called exactly once, on any thread, with no lock of the router held. */
using PlacementHandler = absl::AnyInvocable<void(PlacementResult)>;

/** Result of one attempt at an upstream. Values are sent to other instances. */
enum class AttemptOutcome : std::uint8_t {
    /** A complete response with a status below 500. */
    Success,
    /** A complete response with a status of 500 or above that is not a documented refusal. */
    ServerError,
    /** The documented refusal with reason draining. */
    RefusedDraining,
    /** The documented refusal with reason shedding. */
    RefusedShedding,
    /** The documented refusal with reason starting. */
    RefusedStarting,
    /** The connection was refused or could not be established; no byte was sent. */
    ConnectFailed,
    /** The connection was lost after bytes were sent and before the response was complete. */
    Broken,
    TimedOut,
    /** The proxy cancelled the attempt: the caller disconnected or another attempt was answered first. */
    Cancelled,
    /** The placement was not used. */
    Unused,
    /** A shedding refusal while the upstream reported free slots: an upstream fault that a lower limit would not prevent. */
    RefusedWithRoom,
};

/** Returns the name of @p outcome as it appears in logs, events and metrics. */
std::string_view attemptOutcomeName(AttemptOutcome outcome);

/** Load that an upstream reports in a response. */
struct UpstreamLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /** Current service time on the upstream's machine relative to the usual one; nothing when not reported. */
    std::optional<double> pace;
};

/** What the response of an upstream states about further requests. */
struct UpstreamSignals {
    /** Incarnation of the upstream, if it stated that it is draining. */
    std::optional<Incarnation> draining;
    /** Time for which the upstream asked this instance to send it nothing. */
    std::optional<Duration> pause;
    /** Time for which the upstream stated that it stays cold; zero if it stated that it is warm. */
    std::optional<Duration> warmup;
    /** The response is one to a health check, in which a cold upstream always states that it is. */
    bool isHealthReport = false;
};

/** Result and timing of one attempt. */
struct AttemptReport {
    AttemptOutcome outcome = AttemptOutcome::Unused;
    /** From the first byte sent to the last byte received. */
    Duration serviceTime{0};
    /** Pace that the upstream reported in its response; see UpstreamLoad. */
    std::optional<double> pace;
    UpstreamSignals signals;
};

} // namespace Filbertmount
