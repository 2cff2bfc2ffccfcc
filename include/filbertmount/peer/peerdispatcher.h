#pragma once

#include <filbertmount/peer/peersender.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>

#include <peer.pb.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Filbertmount {

/**
 * Largest envelope that is sent or accepted, in bytes: a store value of 1 MB and 64 KB for the other fields.
 */
inline constexpr std::size_t MaxEnvelopeBytes = (std::size_t{1} << 20U) + (std::size_t{64} << 10U);

/** Received messages by result. */
struct PeerReceiveCounts {
    std::uint64_t accepted = 0;
    /** Messages that are not an envelope, or that have no sender. */
    std::uint64_t malformed = 0;
    std::uint64_t oversized = 0;
    std::uint64_t wrongCluster = 0;
    /** Bodies of a kind that this version does not support or that has no handler. */
    std::uint64_t unhandledBodies = 0;
};

/**
 * Validates received envelopes and passes each body to the handler of its kind.
 * All handlers must be set before the first receive(). receive() is thread-safe and calls the handlers on the caller's
 * thread.
 */
class PeerDispatcher
{
public:
    using BodyHandler = std::function<void(const InstanceId &from, const Wire::Body &body)>;
    /** Handles an envelope that carries member updates; called before the handlers of its bodies. */
    using MemberHandler = std::function<void(const InstanceId &from, const Wire::Envelope &envelope)>;
    /** Called with the sender of each valid envelope, before the other handlers; not for messages that it relays. */
    using SenderHandler = std::function<void(const InstanceId &from)>;
    /** Reports a dropped message; called for the first and then for every DropReportInterval-th drop. */
    using DropHandler = std::function<void(const Failure &failure)>;

    /** Keeps a peer that sends only malformed messages from filling the log. */
    static constexpr std::uint64_t DropReportInterval = 1000;

    struct Options {
        /** Messages of other clusters are dropped. */
        std::string cluster;
        std::size_t maxBytes = MaxEnvelopeBytes;
        DropHandler onDrop;
    };

    explicit PeerDispatcher(Options options);

    void setHandler(Wire::Body::KindCase kind, BodyHandler handler);
    void setMemberHandler(MemberHandler handler);
    void setSenderHandler(SenderHandler handler);

    /** Handles one received message; drops it when it is not a valid envelope of this cluster. */
    void receive(std::string_view bytes);
    /** Passes @p body to the handler of its kind, as a message of @p from. */
    void dispatch(const InstanceId &from, const Wire::Body &body);

    [[nodiscard]] PeerReceiveCounts counts() const;

private:
    static constexpr std::size_t KindCount = 64;

    void drop(std::atomic<std::uint64_t> &counter, const std::string &peer, const std::string &reason);

    Options m_options;
    std::array<BodyHandler, KindCount> m_handlers;
    MemberHandler m_memberHandler;
    SenderHandler m_senderHandler;
    std::atomic<std::uint64_t> m_accepted{0};
    std::atomic<std::uint64_t> m_malformed{0};
    std::atomic<std::uint64_t> m_oversized{0};
    std::atomic<std::uint64_t> m_wrongCluster{0};
    std::atomic<std::uint64_t> m_unhandledBodies{0};
    std::atomic<std::uint64_t> m_drops{0};
};

} // namespace Filbertmount
