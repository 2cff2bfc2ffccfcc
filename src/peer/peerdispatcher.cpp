#include <filbertmount/peer/peerdispatcher.h>

#include <google/protobuf/stubs/logging.h>

#include <utility>

namespace Filbertmount {

PeerDispatcher::PeerDispatcher(Options options)
    : m_options(std::move(options))
{
    // Protobuf logs every string that is not UTF-8, without a rate limit. Dropped messages are reported through onDrop.
    google::protobuf::SetLogHandler(nullptr);
}

void PeerDispatcher::setHandler(Wire::Body::KindCase kind, BodyHandler handler)
{
    m_handlers.at(static_cast<std::size_t>(kind)) = std::move(handler);
}

void PeerDispatcher::setMemberHandler(MemberHandler handler)
{
    m_memberHandler = std::move(handler);
}

void PeerDispatcher::setSenderHandler(SenderHandler handler)
{
    m_senderHandler = std::move(handler);
}

void PeerDispatcher::receive(std::string_view bytes)
{
    if (bytes.size() > m_options.maxBytes) {
        drop(m_oversized, {}, "message of " + std::to_string(bytes.size()) + " bytes exceeds the limit");
        return;
    }
    Wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || envelope.from().empty()) {
        drop(m_malformed, {}, "message of " + std::to_string(bytes.size()) + " bytes is not an envelope");
        return;
    }
    if (envelope.cluster() != m_options.cluster) {
        drop(m_wrongCluster, envelope.from(), "message belongs to another cluster");
        return;
    }
    m_accepted.fetch_add(1, std::memory_order_relaxed);
    const InstanceId from(envelope.from());
    if (m_senderHandler) {
        m_senderHandler(from);
    }
    if (m_memberHandler && envelope.members_size() > 0) {
        m_memberHandler(from, envelope);
    }
    for (const Wire::Body &body : envelope.bodies()) {
        dispatch(from, body);
    }
}

void PeerDispatcher::dispatch(const InstanceId &from, const Wire::Body &body)
{
    const auto kind = static_cast<std::size_t>(body.kind_case());
    if (kind == Wire::Body::KIND_NOT_SET || kind >= KindCount || !m_handlers.at(kind)) {
        m_unhandledBodies.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    m_handlers.at(kind)(from, body);
}

void PeerDispatcher::drop(std::atomic<std::uint64_t> &counter, const std::string &peer, const std::string &reason)
{
    counter.fetch_add(1, std::memory_order_relaxed);
    const std::uint64_t earlier = m_drops.fetch_add(1, std::memory_order_relaxed);
    if (m_options.onDrop && earlier % DropReportInterval == 0) {
        m_options.onDrop(Failure{.step = Step::PeerReceive, .peer = peer, .reason = reason});
    }
}

PeerReceiveCounts PeerDispatcher::counts() const
{
    return {.accepted = m_accepted.load(),
            .malformed = m_malformed.load(),
            .oversized = m_oversized.load(),
            .wrongCluster = m_wrongCluster.load(),
            .unhandledBodies = m_unhandledBodies.load()};
}

} // namespace Filbertmount
