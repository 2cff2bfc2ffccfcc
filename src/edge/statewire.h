#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/routes/routesetdelta.h>

#include <peer.pb.h>

#include <optional>
#include <span>
#include <vector>

namespace Filbertmount {

namespace Wire = ::filbertmount::peer;

/** Routes and upstreams travel between instances; the list of instances does not. */
std::optional<Wire::StateKind> toWire(StateKind kind);
std::optional<StateKind> fromWire(Wire::StateKind kind);

Wire::SharedObject toWire(const StateChange &change);
/** Objects of one message at most; an upstream takes about 110 bytes. */
inline constexpr std::size_t ObjectsPerPush = 40;

/** Routes of one message at most; a route takes about 100 bytes. */
inline constexpr std::size_t RoutesPerPush = 300;

/**
 * Splits @p objects into messages that fit into a datagram; one without objects when there are none. Of several versions of
 * the routes only the last is sent; one that is too long for a message is cut into several objects with the same name.
 */
std::vector<Wire::StatePush> toPushes(StateKind kind, std::span<const StateChange> objects);

/** Puts the pieces of cut route sets together again. */
std::vector<StateObject> joinPieces(std::vector<StateObject> pieces);

/** Writes a route set as its difference to an earlier one. */
Wire::SharedObject toWire(const StateChange &change, const RouteSetDelta &delta);
/** Returns the difference that @p object holds, or nothing when it holds no difference. */
std::optional<RouteSetDelta> deltaFromWire(const Wire::SharedObject &object);

/** Returns nothing for an object without a value of its kind. */
std::optional<StateChange> fromWire(const Wire::SharedObject &object, StateKind kind);

} // namespace Filbertmount
