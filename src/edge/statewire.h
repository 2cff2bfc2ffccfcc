#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/routes/routesetdelta.h>

#include <peer.pb.h>

#include <optional>
#include <span>
#include <vector>

namespace Filbertmount {

namespace Wire = ::filbertmount::peer;

/** Return nothing for kinds that instances do not exchange, such as the list of instances. */
std::optional<Wire::StateKind> toWire(StateKind kind);
std::optional<StateKind> fromWire(Wire::StateKind kind);

/** Returns the position in the fields revision and era; @p defaultEra applies if the sender does not know eras. */
template<class Message>
Revision revisionOf(const Message &message, StoreEra defaultEra)
{
    return Revision(message.revision(), message.has_era() ? StoreEra(message.era()) : defaultEra);
}

/** Sets the fields revision and era. */
template<class Message>
void setRevision(Message &message, Revision revision)
{
    message.set_revision(revision.value());
    message.set_era(revision.era().value());
}

/** Sets the fields base and base_era. */
void setBase(Wire::StatePush &push, Revision base);

/** Encodes @p change with its complete object. */
Wire::SharedObject toWire(const StateChange &change);
/** Limit on objects per message; an upstream takes about 110 bytes. */
inline constexpr std::size_t ObjectsPerPush = 40;

/**
 * Limit on the bytes of a message. Only a single object or route that is longer by itself exceeds it, and is sent in fragments
 * (see fragmentsOf()).
 */
inline constexpr std::size_t MaxPushBytes = 30'000;

// Return how many bytes an item takes in a message.
std::size_t wireBytes(const ForwardRoute &route);
std::size_t wireBytes(const ServiceAccess &service);
std::size_t wireBytes(const ClientAccount &account);
/** Returns how many bytes @p routes take in messages. */
std::size_t wireBytes(const RouteSet &routes);

/**
 * Splits @p objects into messages of a limited size; without objects, returns one empty message. Of several versions of the
 * routes only the last is sent; a route set that is too long for a message is split into pieces, which are objects of the same
 * name and version. An account with many keys may be in several pieces, each with some of the keys.
 */
std::vector<Wire::StatePush> toPushes(StateKind kind, std::span<const StateChange> objects);

/** Joins the pieces into which toPushes() has split a route set; leaves all other objects as they are. */
std::vector<StateObject> joinPieces(std::vector<StateObject> pieces);

/** Encodes a route set as its difference from an earlier one. */
Wire::SharedObject toWire(const StateChange &change, const RouteSetDelta &delta);
/** Returns the difference that @p object contains, or nothing when it contains a complete object. */
std::optional<RouteSetDelta> deltaFromWire(const Wire::SharedObject &object);

/**
 * Decodes a complete object; returns nothing when @p object has no valid value of @p kind.
 * @param defaultEra of an object from a sender that does not know eras
 */
std::optional<StateChange> fromWire(const Wire::SharedObject &object, StateKind kind, StoreEra defaultEra = StoreEra());

} // namespace Filbertmount
