#include "edge/peersocket.h"

#include "edge/messagefragments.h"

#include <filbertmount/peer/peerdispatcher.h>
#include <filbertmount/telemetry/log.h>

#include <boost/asio/buffer.hpp>

namespace Filbertmount {

namespace {

// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t MaxDatagram = 65'507;
// More datagrams than a receive buffer holds; bounds the time if they arrive faster than they are discarded.
constexpr std::size_t MaxDiscarded = 16'384;
// Keeps messages that cannot be sent from filling the log.
constexpr std::uint64_t UnsendableLogInterval = 1000;

} // namespace

PeerSocket::PeerSocket(IoLoop &loop, Options options, Metrics &metrics, Receiver receiver)
    : m_options(std::move(options))
    , m_socket(loop, m_options.listen)
    , m_receiver(std::move(receiver))
    , m_buffer(MaxDatagram)
    , m_sent(metrics.counter(MetricNames::PeerMessages, {{"direction", "sent"}}))
    , m_sentBytes(metrics.counter(MetricNames::PeerBytes, {{"direction", "sent"}}))
    , m_dropped(metrics.counter(MetricNames::PeerDropped, {{"reason", "unsendable"}}))
    , m_droppedWithoutAddress(metrics.counter(MetricNames::PeerDropped, {{"reason", "no-address"}}))
{
    m_socket.non_blocking(true);
    receive();
}

PeerSocket::~PeerSocket()
{
    *m_alive = false;
}

void PeerSocket::receive()
{
    m_socket.async_receive_from(
        Asio::buffer(m_buffer), m_lastSender, [this, alive = m_alive](const error_code &error, std::size_t bytes) {
            if (!*alive || error == Asio::error::operation_aborted) {
                return;
            }
            // An ICMP error for a datagram sent earlier is reported here; no received message is affected.
            if (!error) {
                m_receiver({m_buffer.data(), bytes});
            }
            receive();
        });
}

void PeerSocket::setAddress(const InstanceId &peer, const std::string &address)
{
    if (const std::optional<Tcp::endpoint> parsed = toTcpEndpoint(address)) {
        m_addresses[peer] = {parsed->address(), parsed->port()};
    }
}

void PeerSocket::rememberSender(const InstanceId &peer)
{
    if (m_addresses.contains(peer)) {
        return;
    }
    if (!m_unlisted.contains(peer)) {
        m_unlistedOrder.push_back(peer);
    }
    m_unlisted[peer] = m_lastSender;
    if (m_unlistedOrder.size() > MaxUnlistedPeers) {
        m_unlisted.erase(m_unlistedOrder.front());
        m_unlistedOrder.pop_front();
    }
}

void PeerSocket::removeAddress(const InstanceId &peer)
{
    m_addresses.erase(peer);
    m_unlisted.erase(peer);
    std::erase(m_unlistedOrder, peer);
}

bool PeerSocket::canReach(const InstanceId &peer) const
{
    return addressOf(peer) != nullptr;
}

const Asio::ip::udp::endpoint *PeerSocket::addressOf(const InstanceId &peer) const
{
    const auto listed = m_addresses.find(peer);
    if (listed != m_addresses.end()) {
        return &listed->second;
    }
    const auto unlisted = m_unlisted.find(peer);
    return unlisted != m_unlisted.end() ? &unlisted->second : nullptr;
}

void PeerSocket::discardPending()
{
    error_code error;
    for (std::size_t count = 0; count < MaxDiscarded && !error; ++count) {
        m_socket.receive(Asio::buffer(m_buffer), 0, error);
    }
}

void PeerSocket::send(PeerOutbox outbox)
{
    for (PeerMessage &message : outbox) {
        if (message.address.empty()) {
            send(message.to, std::move(message.envelope));
        } else if (const std::optional<Tcp::endpoint> parsed = toTcpEndpoint(message.address)) {
            sendTo({parsed->address(), parsed->port()}, std::move(message.envelope));
        }
    }
}

void PeerSocket::send(const InstanceId &to, Wire::Envelope envelope)
{
    const Asio::ip::udp::endpoint *address = addressOf(to);
    if (address == nullptr) {
        m_droppedWithoutAddress.Increment();
        return;
    }
    sendTo(*address, std::move(envelope));
}

void PeerSocket::sendTo(const Asio::ip::udp::endpoint &address, Wire::Envelope envelope)
{
    encode(envelope);
    if (m_encoded.size() <= MaxDatagram || m_encoded.size() > MaxEnvelopeBytes) {
        sendEncoded(address, envelope);
        return;
    }
    for (Wire::Fragment &fragment : fragmentsOf(m_encoded, m_lastSequence)) {
        Wire::Envelope part;
        *part.add_bodies()->mutable_fragment() = std::move(fragment);
        encode(part);
        sendEncoded(address, part);
    }
}

void PeerSocket::encode(Wire::Envelope &envelope)
{
    envelope.set_cluster(m_options.cluster);
    envelope.set_from(m_options.self.value());
    envelope.set_sequence(++m_lastSequence);
    envelope.SerializeToString(&m_encoded);
}

void PeerSocket::sendEncoded(const Asio::ip::udp::endpoint &address, const Wire::Envelope &envelope)
{
    error_code error;
    m_socket.send_to(Asio::buffer(m_encoded), address, 0, error);
    if (error) {
        reportUnsendable(envelope, error);
        return;
    }
    m_sent.Increment();
    m_sentBytes.Increment(static_cast<double>(m_encoded.size()));
}

void PeerSocket::reportUnsendable(const Wire::Envelope &envelope, const error_code &error)
{
    m_dropped.Increment();
    if (m_unsendable++ % UnsendableLogInterval != 0) {
        return;
    }
    const auto kind = envelope.bodies_size() > 0 ? static_cast<std::int64_t>(envelope.bodies(0).kind_case()) : 0;
    logLine(LogLevel::Warning,
            "a message to another instance cannot be sent",
            {{.name = "kind", .value = kind},
             {.name = "bytes", .value = static_cast<std::int64_t>(m_encoded.size())},
             {.name = "unsendable", .value = static_cast<std::int64_t>(m_unsendable)},
             {.name = "reason", .value = error.message()}});
}

} // namespace Filbertmount
