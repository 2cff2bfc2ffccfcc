#pragma once

#include <filbertmount/peer/nngtransport.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nng/nng.h>

#include <deque>

namespace Filbertmount {

/** Send totals and the sequence number, shared by all peers of one transport. */
struct NngSendTotals {
    std::atomic<std::uint64_t> envelopes{0};
    std::atomic<std::uint64_t> bytes{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> sequence{0};
};

/** The push socket and the send queue for one peer address. Thread-safe. */
class NngPeer
{
public:
    /** @p options and @p totals must outlive the peer. */
    NngPeer(const NngTransport::Options &options, NngSendTotals &totals, const std::string &address);
    ~NngPeer();
    NngPeer(const NngPeer &) = delete;
    NngPeer &operator=(const NngPeer &) = delete;
    NngPeer(NngPeer &&) = delete;
    NngPeer &operator=(NngPeer &&) = delete;

    /** Queues @p envelope; drops it when the queue is full or the socket could not be opened. */
    void send(Wire::Envelope envelope);

private:
    /** Callback of nng at the end of an asynchronous send. */
    static void onSendFinished(void *peer);
    /** Starts sending the next batch; drops batches that cannot be encoded within the size limit. */
    void sendNext() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /** Removes the first messages of the queue, up to half of the size limit, and merges them into one envelope. */
    Wire::Envelope takeBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const NngTransport::Options &m_options;
    NngSendTotals &m_totals;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
    absl::Mutex m_mutex;
    std::deque<Wire::Envelope> m_queue ABSL_GUARDED_BY(m_mutex);
    bool m_sending ABSL_GUARDED_BY(m_mutex) = false;
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace Filbertmount
