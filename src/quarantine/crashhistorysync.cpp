#include <filbertmount/quarantine/crashhistorysync.h>

#include <filbertmount/telemetry/log.h>

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// A response is split into messages of about 4 KB, so that the loss of a datagram loses only part of it.
constexpr std::size_t EntriesPerMessage = 32;

} // namespace

CrashHistorySync::CrashHistorySync(InstanceId self, CrashGuard &guard, std::uint64_t seed, const CrashHistorySyncOptions &options)
    : m_self(std::move(self))
    , m_guard(guard)
    , m_options(options)
    , m_nextMember(static_cast<std::size_t>(seed))
{
}

std::optional<PeerMessage> CrashHistorySync::tick(const std::vector<InstanceId> &members, Instant now)
{
    const Duration interval = m_pulls < m_options.firstPulls ? m_options.firstInterval : m_options.interval;
    if (members.size() < 2 || (m_lastPull && now - *m_lastPull < interval)) {
        return std::nullopt;
    }
    InstanceId asked = members[m_nextMember++ % members.size()];
    if (asked == m_self) {
        asked = members[m_nextMember++ % members.size()];
    }
    m_lastPull = now;
    ++m_pulls;
    PeerMessage message{.to = std::move(asked), .address = {}, .envelope = {}};
    message.envelope.add_bodies()->mutable_crash_history_pull()->set_hash(m_guard.historyHash());
    return message;
}

PeerOutbox CrashHistorySync::onPull(const InstanceId &from, const Wire::CrashHistoryPull &pull) const
{
    PeerOutbox outbox;
    if (pull.hash() == m_guard.historyHash()) {
        return outbox;
    }
    const std::vector<Wire::CrashStrike> strikes = m_guard.history();
    for (std::size_t first = 0; first < strikes.size(); first += EntriesPerMessage) {
        Wire::CrashHistory &history = *appendBody(outbox, from).mutable_crash_history();
        const std::size_t last = std::min(strikes.size(), first + EntriesPerMessage);
        for (std::size_t position = first; position < last; ++position) {
            *history.add_entries() = strikes[position];
        }
    }
    return outbox;
}

void CrashHistorySync::onHistory(const InstanceId &from, const Wire::CrashHistory &history)
{
    const std::size_t added = m_guard.receiveHistory(from, history);
    if (added == 0) {
        return;
    }
    logLine(LogLevel::Info,
            "learned of crashes from another instance",
            {{.name = "from", .value = from.value()},
             {.name = "received", .value = static_cast<std::int64_t>(history.entries_size())},
             {.name = "new", .value = static_cast<std::int64_t>(added)},
             {.name = "quarantined", .value = static_cast<std::int64_t>(m_guard.quarantined())}});
}

} // namespace Filbertmount
