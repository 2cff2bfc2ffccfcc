#include <filbertmount/peer/nngtransport.h>

#include "peer/nngpeer.h"

#include <absl/container/flat_hash_map.h>
#include <boost/leaf/result.hpp>
#include <nng/protocol/pipeline0/pull.h>

#include <arpa/inet.h>

#include <array>
#include <utility>

namespace Filbertmount {

namespace {

// Concurrent receive operations, so that one slow handler does not delay pings.
constexpr std::size_t ReceiverCount = 4;

} // namespace

class NngTransport::State
{
public:
    State(Options given, Receiver handler)
        : options(std::move(given))
        , receiver(std::move(handler))
    {
    }
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    State(State &&) = delete;
    State &operator=(State &&) = delete;

    /** Opens the listener and starts receiving. Returns 0 or an error code of nng. */
    int open();
    std::shared_ptr<NngPeer> peerForAddress(const std::string &address);
    std::shared_ptr<NngPeer> peerForInstance(const InstanceId &peer);

    /** An asynchronous receive of nng, restarted after each message. */
    struct ReceiveOperation {
        State *state = nullptr;
        nng_aio *aio = nullptr;
    };
    static void onReceived(void *receive);

    const Options options;
    const Receiver receiver;
    std::string boundAddress;
    NngSendTotals totals;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::array<ReceiveOperation, ReceiverCount> receives;
    absl::Mutex mutex;
    absl::flat_hash_map<InstanceId, std::string> addresses ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::string, std::shared_ptr<NngPeer>> peers ABSL_GUARDED_BY(mutex);
};

int NngTransport::State::open()
{
    if (const int error = nng_pull0_open(&socket); error != 0) {
        return error;
    }
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, options.maxBytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    if (const int error = nng_listen(socket, ("tcp://" + options.listenAddress).c_str(), &listener, 0); error != 0) {
        return error;
    }
    nng_sockaddr bound{};
    if (const int error = nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &bound); error != 0) {
        return error;
    }
    const std::string host = options.listenAddress.substr(0, options.listenAddress.rfind(':'));
    boundAddress = host + ":" + std::to_string(ntohs(bound.s_in.sa_port));
    for (ReceiveOperation &receive : receives) {
        receive.state = this;
        if (const int error = nng_aio_alloc(&receive.aio, &State::onReceived, &receive); error != 0) {
            return error;
        }
        nng_recv_aio(socket, receive.aio);
    }
    return 0;
}

NngTransport::State::~State()
{
    for (const ReceiveOperation &receive : receives) {
        if (receive.aio != nullptr) {
            nng_aio_stop(receive.aio);
            nng_aio_free(receive.aio);
        }
    }
    nng_close(socket);
}

void NngTransport::State::onReceived(void *receive)
{
    const auto *self = static_cast<ReceiveOperation *>(receive);
    const int error = nng_aio_result(self->aio);
    if (error == NNG_ECLOSED || error == NNG_ECANCELED) {
        return;
    }
    if (error == 0) {
        nng_msg *message = nng_aio_get_msg(self->aio);
        self->state->receiver({static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message)});
        nng_msg_free(message);
    }
    nng_recv_aio(self->state->socket, self->aio);
}

std::shared_ptr<NngPeer> NngTransport::State::peerForAddress(const std::string &address)
{
    const absl::MutexLock lock(&mutex);
    std::shared_ptr<NngPeer> &peer = peers[address];
    if (peer == nullptr) {
        peer = std::make_shared<NngPeer>(options, totals, address);
    }
    return peer;
}

std::shared_ptr<NngPeer> NngTransport::State::peerForInstance(const InstanceId &peer)
{
    std::string address;
    {
        const absl::MutexLock lock(&mutex);
        const auto found = addresses.find(peer);
        if (found == addresses.end()) {
            return nullptr;
        }
        address = found->second;
    }
    return peerForAddress(address);
}

NngTransport::NngTransport(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

NngTransport::~NngTransport() = default;

Result<std::unique_ptr<NngTransport>> NngTransport::listen(Options options, Receiver receiver)
{
    auto state = std::make_unique<State>(std::move(options), std::move(receiver));
    if (const int error = state->open(); error != 0) {
        return boost::leaf::new_error(
            Failure{.step = Step::PeerReceive, .peer = state->options.listenAddress, .reason = nng_strerror(error)});
    }
    return std::unique_ptr<NngTransport>(new NngTransport(std::move(state)));
}

const std::string &NngTransport::address() const
{
    return m_state->boundAddress;
}

void NngTransport::setAddress(const InstanceId &peer, const std::string &address)
{
    const absl::MutexLock lock(&m_state->mutex);
    m_state->addresses[peer] = address;
}

void NngTransport::removePeer(const InstanceId &peer)
{
    // Declared before the lock, so that it is destroyed after the unlock: closing a socket waits for its send callback.
    std::shared_ptr<NngPeer> removed;
    const absl::MutexLock lock(&m_state->mutex);
    const auto found = m_state->addresses.find(peer);
    if (found == m_state->addresses.end()) {
        return;
    }
    const std::string address = found->second;
    m_state->addresses.erase(found);
    // A restarted process has the same address under a new id and keeps using the connection.
    for (const auto &other : m_state->addresses) {
        if (other.second == address) {
            return;
        }
    }
    const auto connection = m_state->peers.find(address);
    if (connection == m_state->peers.end()) {
        return;
    }
    removed = std::move(connection->second);
    m_state->peers.erase(connection);
}

void NngTransport::send(PeerMessage message)
{
    const std::shared_ptr<NngPeer> peer =
        message.address.empty() ? m_state->peerForInstance(message.to) : m_state->peerForAddress(message.address);
    if (peer == nullptr) {
        m_state->totals.dropped += 1;
        return;
    }
    peer->send(std::move(message.envelope));
}

void NngTransport::send(PeerOutbox outbox)
{
    for (PeerMessage &message : outbox) {
        send(std::move(message));
    }
}

PeerSender NngTransport::sender()
{
    return [this](const InstanceId &to, Wire::Envelope message) {
        send(PeerMessage{.to = to, .address = {}, .envelope = std::move(message)});
    };
}

PeerSendCounts NngTransport::counts() const
{
    return {.envelopes = m_state->totals.envelopes.load(),
            .bytes = m_state->totals.bytes.load(),
            .dropped = m_state->totals.dropped.load()};
}

} // namespace Filbertmount
