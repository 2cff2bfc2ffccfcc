#pragma once

#include "edge/ioloop.h"

#include <filbertmount/peer/peermessage.h>
#include <filbertmount/telemetry/metrics.h>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/udp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/**
 * Sends and receives envelopes as UDP datagrams. Runs on the IoLoop. An envelope that is too long for one is sent in fragments,
 * which the receiver joins (see FragmentJoiner).
 *
 * All protocols between instances tolerate lost messages, so the socket does not retransmit.
 *
 * An instance that has just started sends requests before all others know it as a member. The answers go to the address that its
 * last message came from.
 */
class PeerSocket
{
public:
    using Receiver = std::function<void(std::string_view bytes)>;

    /** Number of senders without a known address that are remembered; the oldest is forgotten first. */
    static constexpr std::size_t MaxUnlistedPeers = 256;

    struct Options {
        std::string cluster;
        InstanceId self;
        Asio::ip::udp::endpoint listen;
    };

    PeerSocket(IoLoop &loop, Options options, Metrics &metrics, Receiver receiver);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    /** Sets the address of @p peer, as "IP:port". */
    void setAddress(const InstanceId &peer, const std::string &address);
    /** Messages to @p peer are dropped from now on, unless it sends one. */
    void removeAddress(const InstanceId &peer);
    /** Sends messages to @p peer, whose address is not known, to the sender of the datagram received last. */
    void rememberSender(const InstanceId &peer);
    /** Whether messages to @p peer are sent, and not dropped for lack of an address. */
    [[nodiscard]] bool canReach(const InstanceId &peer) const;
    /** Discards the datagrams that have arrived and were not received yet. */
    void discardPending();
    void send(PeerOutbox outbox);
    void send(const InstanceId &to, Wire::Envelope envelope);

private:
    void receive();
    /** Returns the address of @p peer; null if none is known. */
    [[nodiscard]] const Asio::ip::udp::endpoint *addressOf(const InstanceId &peer) const;
    /** Sends @p envelope, in several datagrams if it is too long for one. */
    void sendTo(const Asio::ip::udp::endpoint &address, Wire::Envelope envelope);
    /** Sets the sender's fields of @p envelope and encodes it into m_encoded. */
    void encode(Wire::Envelope &envelope);
    /** Sends m_encoded, the encoded @p envelope. */
    void sendEncoded(const Asio::ip::udp::endpoint &address, const Wire::Envelope &envelope);
    /** Counts a message that cannot be sent, and logs the first one and then every UnsendableLogInterval-th. */
    void reportUnsendable(const Wire::Envelope &envelope, const error_code &error);

    Options m_options;
    /** Shared with the handler of a received datagram, which may already be queued on the loop when the socket is destroyed. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Asio::ip::udp::socket m_socket;
    Receiver m_receiver;
    absl::flat_hash_map<InstanceId, Asio::ip::udp::endpoint> m_addresses;
    /** Senders whose address is not in m_addresses. */
    absl::flat_hash_map<InstanceId, Asio::ip::udp::endpoint> m_unlisted;
    /** The keys of m_unlisted, oldest first. */
    std::deque<InstanceId> m_unlistedOrder;
    /** Where the datagram received last came from. */
    Asio::ip::udp::endpoint m_lastSender;
    std::vector<char> m_buffer;
    std::string m_encoded;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_unsendable = 0;
    prometheus::Counter &m_sent;
    prometheus::Counter &m_sentBytes;
    prometheus::Counter &m_dropped;
    prometheus::Counter &m_droppedWithoutAddress;
};

} // namespace Filbertmount
