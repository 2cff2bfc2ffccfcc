#pragma once

#include <filbertmount/peer/peersender.h>
#include <filbertmount/types/ids.h>

#include <peer.pb.h>

#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/** A message that a decision class wants sent. The transport fills in cluster, sender and sequence. */
struct PeerMessage {
    /** Empty when the instance at the address is not known yet. */
    InstanceId to;
    /** "IP:port"; when empty, the transport's address of the instance is used. */
    std::string address;
    Wire::Envelope envelope;
};

using PeerOutbox = std::vector<PeerMessage>;

/** Appends @p from to @p outbox. */
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
