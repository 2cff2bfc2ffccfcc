#pragma once

#include <filbertmount/peer/peermessage.h>
#include <filbertmount/quarantine/crashguard.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Filbertmount {

/** Intervals at which an instance compares its strikes with those of another one. */
struct CrashHistorySyncOptions {
    /** A lost message about a strike is made up for after about this time. */
    Duration interval = std::chrono::seconds(2);
    /** While an instance is new, the others that it asks may be new as well, so it asks several in quick succession. */
    Duration firstInterval = std::chrono::milliseconds(200);
    int firstPulls = 10;
};

/**
 * Spreads the strikes of the quarantine to instances that have just started or that missed messages: each instance regularly
 * sends the hash of its strikes to one other instance, which responds with its own strikes if they differ.
 *
 * Not thread-safe, except for onPull() and onHistory().
 */
class CrashHistorySync
{
public:
    /** @param seed selects the members to ask; different on each instance */
    CrashHistorySync(InstanceId self, CrashGuard &guard, std::uint64_t seed, const CrashHistorySyncOptions &options = {});

    /** Returns the pull to send now, if one is due. @p members are the live ones. */
    std::optional<PeerMessage> tick(const std::vector<InstanceId> &members, Instant now);
    /** Returns the response to a pull of @p from. */
    [[nodiscard]] PeerOutbox onPull(const InstanceId &from, const Wire::CrashHistoryPull &pull) const;
    /** Applies the strikes in a response. */
    void onHistory(const InstanceId &from, const Wire::CrashHistory &history);

private:
    InstanceId m_self;
    CrashGuard &m_guard;
    CrashHistorySyncOptions m_options;
    std::size_t m_nextMember;
    int m_pulls = 0;
    std::optional<Instant> m_lastPull;
};

} // namespace Filbertmount
