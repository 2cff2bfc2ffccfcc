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
    /** Encoded envelopes, without the headers of TCP and nng. */
    std::uint64_t bytes = 0;
    /** Messages dropped because the peer's queue was full, the peer was unknown or it was not reached in time. */
    std::uint64_t dropped = 0;
};

/**
 * Sends and receives envelopes over nng: one pull socket for all peers and one push socket per peer. Thread-safe.
 * Messages to one peer that wait while an earlier one is being sent leave as one envelope.
 */
class NngTransport
{
public:
    using Receiver = std::function<void(std::string_view bytes)>;

    struct Options {
        std::string cluster;
        InstanceId self;
        /** "IP:port"; port 0 takes a free port. */
        std::string listenAddress;
        /** Messages that wait for one peer; more are dropped, since late gossip is worth less than memory. */
        std::size_t queueLimit = 512;
        /** A message that its peer did not accept within this time is dropped. */
        Duration sendTimeout = std::chrono::seconds(2);
        std::size_t maxBytes = MaxEnvelopeBytes;
    };

    /**
     * Opens the listener. @p receiver runs on threads of nng, several at a time, and must not block for long.
     *
     * @return a failure of step PeerReceive when the address cannot be listened on
     */
    static Result<std::unique_ptr<NngTransport>> listen(Options options, Receiver receiver);

    ~NngTransport();
    NngTransport(const NngTransport &) = delete;
    NngTransport &operator=(const NngTransport &) = delete;
    NngTransport(NngTransport &&) = delete;
    NngTransport &operator=(NngTransport &&) = delete;

    /** The address with the port that the system chose. */
    [[nodiscard]] const std::string &address() const;

    /** Sets where @p peer is reached from now on. */
    void setAddress(const InstanceId &peer, const std::string &address);
    /** Closes the connection to @p peer and drops what waits for it. */
    void removePeer(const InstanceId &peer);

    /** Queues @p message. Never blocks; the message is dropped when the queue is full or the peer unknown. */
    void send(PeerMessage message);
    void send(PeerOutbox outbox);
    /** A sender for modules that know peers by id only. Must not outlive this object. */
    PeerSender sender();

    [[nodiscard]] PeerSendCounts counts() const;

private:
    class State;
    explicit NngTransport(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace Filbertmount
