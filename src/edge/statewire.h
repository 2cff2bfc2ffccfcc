#pragma once

#include <filbertmount/edge/sharedstate.h>

#include <peer.pb.h>

#include <optional>
#include <span>

namespace Filbertmount {

namespace Wire = ::filbertmount::peer;

/** Routes and upstreams travel between instances; the list of instances does not. */
std::optional<Wire::StateKind> toWire(StateKind kind);
std::optional<StateKind> fromWire(Wire::StateKind kind);

Wire::SharedObject toWire(const StateChange &change);
/** Returns nothing for an object without a value of its kind. */
std::optional<StateChange> fromWire(const Wire::SharedObject &object, StateKind kind);

} // namespace Filbertmount
