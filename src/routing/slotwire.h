#pragma once

#include <filbertmount/peer/peersender.h>
#include <filbertmount/routing/slotmessages.h>
#include <filbertmount/routing/upstreamtable.h>

#include <optional>

namespace filbertmount::peer {
class Body;
} // namespace filbertmount::peer

namespace Filbertmount {

/** Returns the wire form of @p message. Upstreams are written by id, since their indices differ between instances. */
Wire::Body toWire(const SlotMessage &message, const ServiceName &service, const UpstreamTable &table);

/** A grant of an upstream that the table does not contain. */
struct UnknownUpstreamGrant {
    SlotGrant grant;
};

/** Result of fromWire(); std::monostate when the body is not a valid slot message. */
using ReceivedSlotMessage = std::variant<std::monostate, SlotMessage, UnknownUpstreamGrant>;

/**
 * Returns the message in @p body, or std::monostate when it is not a slot message or is malformed. SlotRequest::zone points
 * into @p body. Unknown upstreams are omitted from an InFlightReport.
 */
ReceivedSlotMessage fromWire(const Wire::Body &body, const UpstreamTable &table);

/** Returns the service of a slot message; empty for other bodies. */
std::string_view serviceOf(const Wire::Body &body);

} // namespace Filbertmount
