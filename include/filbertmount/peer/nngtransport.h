#pragma once

#include <filbertmount/peer/peerdispatcher.h>
#include <filbertmount/peer/peermessage.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/instant.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** Counts since the transport was created. */
struct PeerSendCounts {
    std::uint64_t envelopes = 0;
    /** Size of the encoded envelopes, without the headers of TCP and nng. */
    std::uint64_t bytes = 0;
    /** Messages dropped because the peer's queue was full, its address was unknown or the send failed or timed out. */
    std::uint64_t dropped = 0;
};

/**
 * Sends and receives envelopes over nng: one pull socket for all peers and one push socket per peer. Thread-safe.
 * Messages that are queued for a peer while an earlier one is being sent are batched into one envelope.
 */
class NngTransport
{
public:
    using Receiver = std::function<void(std::string_view bytes)>;

    struct Options {
        std::string cluster;
        InstanceId self;
        /** "IP:port"; port 0 selects a free port. */
        std::string listenAddress;
        /** Messages queued for one peer. Further ones are dropped, since gossip loses its value with age. */
        std::size_t queueLimit = 512;
        /** A message that its peer did not accept within this time is dropped. */
        Duration sendTimeout = std::chrono::seconds(2);
        /** Largest encoded envelope that is sent or received. */
        std::size_t maxBytes = MaxEnvelopeBytes;
    };

    /**
     * Opens the listener. @p receiver runs on threads of nng, several at a time, and must not block for long.
     *
     * @return a failure of step PeerReceive when listening on the address fails
     */
    static Result<std::unique_ptr<NngTransport>> listen(Options options, Receiver receiver);

    ~NngTransport();
    NngTransport(const NngTransport &) = delete;
    NngTransport &operator=(const NngTransport &) = delete;
    NngTransport(NngTransport &&) = delete;
    NngTransport &operator=(NngTransport &&) = delete;

    /** The listen address, with the actual port. */
    [[nodiscard]] const std::string &address() const;

    /** Sets the address to which messages to @p peer are sent. */
    void setAddress(const InstanceId &peer, const std::string &address);
    /** Removes the address of @p peer. Unless another instance has it, closes the connection and drops the queued messages. */
    void removePeer(const InstanceId &peer);

    /** Queues @p message. Never blocks; the message is dropped when the queue is full or the address is unknown. */
    void send(PeerMessage message);
    void send(PeerOutbox outbox);
    /** Returns a function that sends to a peer by its id. It must not outlive this object. */
    PeerSender sender();

    [[nodiscard]] PeerSendCounts counts() const;

private:
    class State;
    explicit NngTransport(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace Filbertmount
