#pragma once

#include <filbertmount/peer/peersender.h>
#include <filbertmount/routing/slotmessages.h>
#include <filbertmount/routing/upstreamtable.h>

#include <optional>

namespace filbertmount::peer {
class Body;
} // namespace filbertmount::peer

namespace Filbertmount {

/** Returns the wire form of @p message; upstreams go by id, since positions differ between instances. */
Wire::Body toWire(const SlotMessage &message, const ServiceName &service, const UpstreamTable &table);

/** A grant of an upstream that the table does not contain. */
struct UnknownUpstreamGrant {
    SlotGrant grant;
};

using ReceivedSlotMessage = std::variant<std::monostate, SlotMessage, UnknownUpstreamGrant>;

/**
 * Returns the message in @p body, or std::monostate when it is no slot message or is malformed.
 * A request refers to the zone in @p body. Reports leave unknown upstreams out.
 */
ReceivedSlotMessage fromWire(const Wire::Body &body, const UpstreamTable &table);

/** Service that a slot message is about; empty for other bodies. */
std::string_view serviceOf(const Wire::Body &body);

} // namespace Filbertmount
