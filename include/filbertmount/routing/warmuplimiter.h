#pragma once

#include <filbertmount/routing/placement.h>
#include <filbertmount/routing/routedupstream.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** Bound on the requests to one cold upstream of a service. */
struct WarmupOptions {
    /** Time after its start for which an upstream is cold when it states no time itself. */
    Duration duration{0};
    /** Requests per second that a cold upstream sustains; 0 for no limit. */
    double rate = 0;
    /** In any second, all instances together send at most rate * overshoot + slack requests to a cold upstream. */
    double overshoot = 1.5;
    /** Requests per second; see overshoot. */
    double slack = 8;
    /** Number of instances in the deployment, whether or not they can be reached; at least 1. */
    double instances = 1;
    /** Differs between instances, so that their local placements are not simultaneous. */
    std::uint64_t seed = 0;
};

/** Why an upstream is considered cold or warm. */
enum class WarmupReason : std::uint8_t {
    /** Its entry in the store states the remaining time. */
    Entry,
    /** Its entry shows a new process and states no remaining time. */
    Restart,
    /** A connection to it was refused or broke, so that its process may have been replaced. */
    Connection,
    /** A response states the remaining time. */
    Response,
    /** A health response after a suspected restart states no remaining time. */
    HealthResponse,
    /** The time is over. */
    Elapsed,
};

/** Returns the name of @p reason as it appears in logs and metrics. */
std::string_view warmupReasonName(WarmupReason reason);

/** An upstream has turned cold or warm. */
struct WarmupChange {
    UpstreamIndex upstream = 0;
    bool isCold = false;
    WarmupReason reason = WarmupReason::Elapsed;
    /** Time for which the upstream stays cold, or would have stayed cold before it turned warm. */
    Duration left{0};

    /** Whether neither the upstream's entry nor the passage of time explains the change. */
    [[nodiscard]] bool isUnexpected() const;
};

/**
 * Decides which upstreams of one service are cold, and how many requests this instance may send to each of them.
 *
 * The dispatcher sends up to the warm-up rate; other instances have a share each, for attempts that they place without a grant.
 * Performs no I/O. Not thread-safe.
 */
class WarmupLimiter
{
public:
    /** A dispatcher that was assigned or suspended within this time may have a predecessor that still grants requests. */
    static constexpr Duration HandoverTime = std::chrono::seconds(3);

    explicit WarmupLimiter(WarmupOptions options = {});

    void setOptions(const WarmupOptions &options);
    /** Whether requests to cold upstreams are limited. */
    [[nodiscard]] bool isEnabled() const;

    /** Sets whether this instance is the dispatcher, and the number of live instances that it knows, itself included. */
    void setRole(bool isDispatcher, std::size_t liveInstances, Instant now);

    /** Records the entry of an upstream in the store; @p left is zero when the entry states none. */
    void recordEntry(UpstreamIndex index, Incarnation incarnation, Duration left, Instant now);
    /** Records the result of an attempt, of this or another instance. */
    void recordAttempt(UpstreamIndex index, const AttemptReport &report, Instant now);
    /** Records what an upstream stated outside of an attempt. */
    void recordSignals(UpstreamIndex index, const UpstreamSignals &signals, Instant now);

    /** Ends cold times and adds tokens. Call every few milliseconds: a longer gap counts as a suspension of the process. */
    void update(Instant now);

    [[nodiscard]] bool isCold(UpstreamIndex index) const;
    /** Whether a dispatcher in this instance may not grant the upstream now. */
    [[nodiscard]] bool isBlocked(UpstreamIndex index) const;
    /** Requests that a dispatcher in this instance may grant to the upstream now, with the fraction that has accumulated. */
    [[nodiscard]] double tokens(UpstreamIndex index) const;
    /** Counts a grant of the upstream; no effect unless it is cold. */
    void takeGrant(UpstreamIndex index);
    /** Returns whether an attempt may be placed at a cold upstream without a grant, and counts it if so. */
    bool takeLocal(UpstreamIndex index, Instant now);

    /** Requests per second that this instance may grant at one cold upstream. */
    [[nodiscard]] double grantRate() const;
    /** Expected time until takeLocal() succeeds for one of @p count upstreams. */
    [[nodiscard]] Duration localWait(std::size_t count) const;
    /** Upstreams that are cold. */
    [[nodiscard]] std::span<const UpstreamIndex> cold() const;
    /** Time until the upstream is warm; zero when it is. */
    [[nodiscard]] Duration timeLeft(UpstreamIndex index, Instant now) const;

    /** Returns the upstreams for which isCold() or isBlocked() changed since the last call, and clears them. */
    std::vector<UpstreamIndex> takeChanged();
    /** Returns the changes between cold and warm since the last call, and clears them. */
    std::vector<WarmupChange> takeChanges();

private:
    struct Entry {
        bool isKnown = false;
        bool isCold = false;
        bool isBlocked = false;
        Incarnation incarnation;
        /** Remaining time in the last entry. */
        Duration entryLeft{0};
        /** End of the cold time that the upstream stated. */
        Instant statedUntil{};
        /** End of the cold time that follows from a restart or a failed connection. */
        Instant inferredUntil{};
        /** Requests that may be granted now. */
        double tokens = 0;
        /** Last period in which an attempt was placed locally, and the number of those in it. */
        std::int64_t localPeriod = -1;
        std::uint64_t localAttempts = 0;
    };

    Entry &entryOf(UpstreamIndex index);
    /** Updates the state after a change of the cold times; @p previousLeft is the time left before the change. */
    void applyEvidence(UpstreamIndex index, WarmupReason reason, Instant now, Duration previousLeft = {});
    void updateBlocked(UpstreamIndex index);
    /** Removes all tokens and starts a handover time. */
    void restartGrants(Instant now);
    void updateGrantRate(Instant now);
    /** Rate beyond the warm-up rate that the bound leaves for a second dispatcher. */
    [[nodiscard]] double spareRate() const;
    [[nodiscard]] double maxTokens() const;
    /** Requests per second to one upstream that this instance may place without a grant. */
    [[nodiscard]] double localRate() const;

    WarmupOptions m_options;
    std::vector<Entry> m_entries;
    std::vector<UpstreamIndex> m_cold;
    std::vector<UpstreamIndex> m_changed;
    std::vector<WarmupChange> m_changes;
    bool m_isDispatcher = false;
    std::size_t m_liveInstances = 1;
    /** End of the handover time. */
    Instant m_settledAt{};
    Instant m_lastUpdate{};
    double m_grantRate = 0;
};

} // namespace Filbertmount
