#pragma once

#include "edge/ioloop.h"

#include <filbertmount/peer/peermessage.h>
#include <filbertmount/telemetry/metrics.h>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/**
 * Sends and receives envelopes as UDP datagrams. Runs on the IoLoop.
 *
 * All protocols between instances tolerate lost messages, so the socket does not retransmit.
 */
class PeerSocket
{
public:
    using Receiver = std::function<void(std::string_view bytes)>;

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
    /** Messages to @p peer are dropped from now on. */
    void removeAddress(const InstanceId &peer);

    /** Whether messages to @p peer are sent, and not dropped for lack of an address. */
    [[nodiscard]] bool canReach(const InstanceId &peer) const;
    void send(PeerOutbox outbox);
    void send(const InstanceId &to, Wire::Envelope envelope);

private:
    void receive();
    void sendTo(const Asio::ip::udp::endpoint &address, Wire::Envelope envelope);

    Options m_options;
    /** Shared with the handler of a received datagram, which may already be queued on the loop when the socket is destroyed. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Asio::ip::udp::socket m_socket;
    Receiver m_receiver;
    absl::flat_hash_map<InstanceId, Asio::ip::udp::endpoint> m_addresses;
    std::vector<char> m_buffer;
    std::string m_encoded;
    std::uint64_t m_lastSequence = 0;
    prometheus::Counter &m_sent;
    prometheus::Counter &m_sentBytes;
    prometheus::Counter &m_dropped;
    prometheus::Counter &m_droppedWithoutAddress;
};

} // namespace Filbertmount
