#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/routes/routeset.h>
#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/types/failure.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Filbertmount {

/** What the platform's store keeps for the fleet. */
enum class StateKind : std::uint8_t {
    Routes,
    Upstreams,
    /** Addresses at which entry instances reach each other. */
    Instances,
};

/** Returns the name of @p kind as it appears in logs and metrics. */
std::string_view stateKindName(StateKind kind);

/** An upstream as it describes itself in the store. */
struct UpstreamRecord {
    UpstreamId id;
    ServiceName service;
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
    int slots = 1;
    bool isDraining = false;
    /** How much longer the upstream stays slow after its start. */
    Duration warmupLeft{0};
    /** Changes with each start of the upstream's process. */
    Incarnation incarnation;

    bool operator==(const UpstreamRecord &) const = default;
};

/** Where an entry instance is reached. */
struct InstanceRecord {
    /** "IP:port" for messages between instances. */
    std::string peerAddress;
};

/** Why an object of the store is of no use. */
struct MalformedObject {
    std::string reason;
};

using StateValue = std::variant<MalformedObject, RouteSet, UpstreamRecord, InstanceRecord>;

struct StateObject {
    std::string name;
    Revision revision;
    StateValue value;
};

/** One page of a listing. */
struct StatePage {
    std::vector<StateObject> objects;
    /** Name after which the next page starts; nothing on the last page. */
    std::optional<std::string> nextAfter;
    /** The store's revision when it answered. */
    Revision storeRevision;
};

struct StateChange {
    StateObject object;
    bool isDeleted = false;
};

/** The changes that a watch returned; empty when the wait ended without one. */
struct StateChanges {
    std::vector<StateChange> changes;
    /** Where the next watch starts. */
    Revision storeRevision;
};

/** How a call of the store failed. */
enum class StoreProblem : std::uint8_t {
    /** No answer, or one that states that nothing was done. */
    Unavailable,
    /** The fleet makes more calls than it may. */
    RateLimited,
    /** The history from the given revision on is gone: list again. */
    HistoryGone,
    /** The object is in another state than the call demands. */
    Conflict,
    /** The answer is not what the protocol says. */
    Malformed,
};

struct StoreError {
    StoreProblem problem = StoreProblem::Unavailable;
    std::string reason;
};

/** Returns the name of @p problem as it appears in logs and metrics. */
std::string_view storeProblemName(StoreProblem problem);

template<class T>
using StoreResult = std::variant<T, StoreError>;

/** A request to the store, without the address. */
struct StoreRequest {
    std::string method = "GET";
    std::string target;
    std::string body;
};

/**
 * What an adapter of a platform's store provides: requests for the calls that the product makes, and the meaning of the
 * answers. It has no state and does no I/O.
 */
template<class T>
concept StoreProtocol = requires(const T protocol,
                                 StateKind kind,
                                 const std::string &text,
                                 Revision revision,
                                 Duration wait,
                                 int status,
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
        protocol.readPage(kind, status, text)
        } -> std::same_as<StoreResult<StatePage>>;
    {
        protocol.readChanges(kind, status, text)
        } -> std::same_as<StoreResult<StateChanges>>;
    {
        protocol.readWrite(status, text)
        } -> std::same_as<StoreResult<std::monostate>>;
};

} // namespace Filbertmount
