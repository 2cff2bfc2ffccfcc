#include "peer/nngpeer.h"

#include <nng/protocol/pipeline0/push.h>

#include <utility>

namespace Filbertmount {

namespace {

// The connection to a restarted peer is back within about a second. More frequent attempts would load the network when a
// whole rack is down.
constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 1000;

} // namespace

NngPeer::NngPeer(const NngTransport::Options &options, NngSendTotals &totals, const std::string &address)
    : m_options(options)
    , m_totals(totals)
{
    if (nng_push0_open(&m_socket) != 0) {
        m_closed = true;
        return;
    }
    nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    const std::string url = "tcp://" + address;
    if (nng_aio_alloc(&m_aio, &NngPeer::onSendFinished, this) != 0
        || nng_dial(m_socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        m_closed = true;
        return;
    }
    nng_aio_set_timeout(
        m_aio, static_cast<nng_duration>(std::chrono::duration_cast<std::chrono::milliseconds>(options.sendTimeout).count()));
}

NngPeer::~NngPeer()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_closed = true;
        m_totals.dropped += m_queue.size();
        m_queue.clear();
    }
    if (m_aio != nullptr) {
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }
    nng_close(m_socket);
}

void NngPeer::send(Wire::Envelope envelope)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_closed || m_queue.size() >= m_options.queueLimit) {
        m_totals.dropped += 1;
        return;
    }
    m_queue.push_back(std::move(envelope));
    if (!m_sending) {
        sendNext();
    }
}

Wire::Envelope NngPeer::takeBatch()
{
    Wire::Envelope batch = std::move(m_queue.front());
    m_queue.pop_front();
    std::size_t bytes = batch.ByteSizeLong();
    while (!m_queue.empty()) {
        Wire::Envelope &next = m_queue.front();
        bytes += next.ByteSizeLong();
        // The fields that are set below fit into the margin of MaxEnvelopeBytes over a store value.
        if (bytes > m_options.maxBytes / 2) {
            break;
        }
        batch.MergeFrom(next);
        m_queue.pop_front();
    }
    batch.set_cluster(m_options.cluster);
    batch.set_from(m_options.self.value());
    batch.set_sequence(m_totals.sequence.fetch_add(1) + 1);
    return batch;
}

void NngPeer::sendNext()
{
    while (!m_queue.empty()) {
        const std::string encoded = takeBatch().SerializeAsString();
        nng_msg *message = nullptr;
        if (encoded.size() > m_options.maxBytes || nng_msg_alloc(&message, 0) != 0) {
            m_totals.dropped += 1;
            continue;
        }
        if (nng_msg_append(message, encoded.data(), encoded.size()) != 0) {
            nng_msg_free(message);
            m_totals.dropped += 1;
            continue;
        }
        m_totals.bytes += encoded.size();
        nng_aio_set_msg(m_aio, message);
        m_sending = true;
        nng_send_aio(m_socket, m_aio);
        return;
    }
}

void NngPeer::onSendFinished(void *peer)
{
    auto *self = static_cast<NngPeer *>(peer);
    const bool failed = nng_aio_result(self->m_aio) != 0;
    nng_msg *message = nng_aio_get_msg(self->m_aio);
    const absl::MutexLock lock(&self->m_mutex);
    self->m_sending = false;
    if (failed) {
        // nng takes ownership of the message unless the send failed.
        self->m_totals.dropped += 1;
        nng_msg_free(message);
    } else {
        self->m_totals.envelopes += 1;
    }
    if (!self->m_closed) {
        self->sendNext();
    }
}

} // namespace Filbertmount
