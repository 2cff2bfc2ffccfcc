#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/routes/routeset.h>
#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Filbertmount {

/** Kinds of objects that the fleet reads from the platform's store. */
enum class StateKind : std::uint8_t {
    Routes,
    Upstreams,
    /** Addresses of the entry instances. */
    Instances,
    /** Zones whose upstreams get no further requests. */
    Evacuations,
};

/** Returns the name of @p kind as it appears in logs and metrics. */
std::string_view stateKindName(StateKind kind);

/** An upstream's own entry in the store. */
struct UpstreamRecord {
    UpstreamId id;
    ServiceName service;
    /** "IP:port" for requests. */
    std::string address;
    AvailabilityZone zone;
    /** Requests that the upstream runs at the same time. */
    int slots = 1;
    bool isDraining = false;
    /** Rest of the time during which the upstream is slow after its start. */
    Duration warmupLeft{0};
    /** Changes with each start of the upstream's process. */
    Incarnation incarnation;

    bool operator==(const UpstreamRecord &) const = default;
};

/**
 * An entry about an entry instance in the store: its registration, its departure from the fleet, or its report on others (see
 * SilenceReport), each of which is an object of its own. Each is created by a single call, so that a lost response or a late
 * execution of the call does no harm.
 */
struct InstanceRecord {
    /** "IP:port" for messages between instances. */
    std::string peerAddress;
    bool isDeparture = false;
    /** Peer addresses of the instances that it reports as silent; empty if the entry is no report. */
    std::vector<std::string> silent = {};
    /** The report on these instances has been withdrawn. */
    bool isWithdrawal = false;

    bool operator==(const InstanceRecord &) const = default;
};

/** An operator's request that the upstreams of a zone get no further requests. The object's name is the zone. */
struct ZoneEvacuation {
};

/** Stands for an object of the store that could not be parsed. */
struct MalformedObject {
    /** Which field is missing or invalid, and why. */
    std::string reason;
};

using StateValue = std::variant<MalformedObject, RouteSet, UpstreamRecord, InstanceRecord, ZoneEvacuation>;

/** A versioned object of the store. */
struct StateObject {
    std::string name;
    Revision revision;
    StateValue value;
};

/** One page of a listing. */
struct StatePage {
    std::vector<StateObject> objects;
    /** Name after which the next page starts; empty on the last page. */
    std::optional<std::string> nextAfter;
    /** Revision of the store at the time of the response. */
    Revision storeRevision;
    /** Objects that were left out because they have no valid name or revision. */
    std::size_t unidentified = 0;
};

/**
 * States that an upstream's entry may have expired because the upstream could not renew it during an outage of the store. The
 * upstream stays in use until the end of a grace time. Durations, because instants are not comparable between processes.
 */
struct PossibleExpiry {
    /** Rest of the grace time. */
    Duration keepFor{0};
    /** Time since the last response of the store before the outage, as seen by the instance that suspects the outage. */
    Duration outageAge{0};

    bool operator==(const PossibleExpiry &) const = default;
};

/** A new version of an object, or its deletion. */
struct StateChange {
    /** Of a deleted object, only name and revision are used; of a possibly expired one, the value is the last known. */
    StateObject object;
    bool isDeleted = false;
    /** Set for a deletion that may be an expiry; without it, the object was deleted on purpose. */
    std::optional<PossibleExpiry> expiry = {};
};

/** The changes that a watch returned; empty when the watch timed out without any. */
struct StateChanges {
    std::vector<StateChange> changes;
    /** Revision from which the next watch starts. */
    Revision storeRevision;
    /** Objects that were left out because they have no valid name or revision. */
    std::size_t unidentified = 0;
};

/** How a call to the store failed. */
enum class StoreProblem : std::uint8_t {
    /** The store did not respond, or responded that it did nothing. */
    Unavailable,
    /** The fleet exceeded its rate limit for calls. */
    RateLimited,
    /** The history from the requested revision on was compacted; a new listing is needed. */
    HistoryGone,
    /** The state of the object does not allow the call, such as creating an object that exists. */
    Conflict,
    /** The object does not exist. */
    Missing,
    /** The response violates the protocol. */
    Malformed,
};

/** A failed call, with a reason for the log. */
struct StoreError {
    StoreProblem problem = StoreProblem::Unavailable;
    std::string reason;
};

/** Returns the name of @p problem as it appears in logs and metrics. */
std::string_view storeProblemName(StoreProblem problem);

/** The parsed response to a call to the store, or the error. */
template<class T>
using StoreResult = std::variant<T, StoreError>;

/** An HTTP request to the store, without the store's address. */
struct StoreRequest {
    std::string method = "GET";
    std::string target;
    std::string body;
};

/**
 * An adapter for a platform's store: builds the requests that filbertmount makes and parses the responses. Stateless, does
 * no I/O.
 */
template<class T>
concept StoreProtocol = requires(const T protocol,
                                 StateKind kind,
                                 const std::string &text,
                                 Revision revision,
                                 Duration wait,
                                 int status,
                                 const Headers &headers,
                                 StoreEra era,
                                 const InstanceRecord &instance)
{
    {
        protocol.listRequest(kind, text, true)
        } -> std::same_as<StoreRequest>;
    {
        protocol.watchRequest(kind, revision, wait)
        } -> std::same_as<StoreRequest>;
    {
        protocol.createInstanceRequest(text, instance)
        } -> std::same_as<StoreRequest>;
    {
        protocol.deleteInstanceRequest(text, revision)
        } -> std::same_as<StoreRequest>;
    {
        protocol.era(headers)
        } -> std::same_as<std::optional<StoreEra>>;
    {
        protocol.parsePage(kind, status, text, era)
        } -> std::same_as<StoreResult<StatePage>>;
    {
        protocol.parseChanges(kind, status, text, era)
        } -> std::same_as<StoreResult<StateChanges>>;
    {
        protocol.parseWriteResponse(status, text)
        } -> std::same_as<StoreResult<std::monostate>>;
};

} // namespace Filbertmount
