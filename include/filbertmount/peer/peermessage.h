#pragma once

#include <filbertmount/peer/peersender.h>
#include <filbertmount/types/ids.h>

#include <peer.pb.h>

#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/** A message to be sent by the transport, which sets the envelope's cluster, sender and sequence. */
struct PeerMessage {
    /** Empty when the id of the instance at the address is not known. */
    InstanceId to;
    /** "IP:port"; when empty, the address that the transport holds for the instance is used. */
    std::string address;
    Wire::Envelope envelope;
};

/** Messages to be sent, in order. */
using PeerOutbox = std::vector<PeerMessage>;

/** Moves the messages of @p from to the end of @p outbox. */
inline void append(PeerOutbox &outbox, PeerOutbox from)
{
    outbox.insert(outbox.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

/** Appends a message with one body to @p outbox and returns the body. */
inline Wire::Body &appendBody(PeerOutbox &outbox, const InstanceId &to)
{
    return *outbox.emplace_back(PeerMessage{.to = to, .address = {}, .envelope = {}}).envelope.add_bodies();
}

} // namespace Filbertmount
