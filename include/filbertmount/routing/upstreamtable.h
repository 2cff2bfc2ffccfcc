#pragma once

#include <filbertmount/routing/placement.h>
#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/routing/warmuplimiter.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** Cold start and ejection settings of an UpstreamTable. */
struct UpstreamTableOptions {
    /** Time over which the limit of a new upstream rises to all its slots. */
    Duration coldStart = std::chrono::seconds(5);
    /** Consecutive failures after which an upstream is ejected. */
    int failuresToEject = 5;
    /** Duration of the first ejection; doubles with each consecutive one up to maxEjectionTime. */
    Duration baseEjectionTime = std::chrono::milliseconds(250);
    Duration maxEjectionTime = std::chrono::seconds(10);
    WarmupOptions warmup;
};

/** Capacity of the usable upstreams of a service that are cold. */
struct ColdCapacity {
    std::size_t upstreams = 0;
    /** Sum of their limits. */
    int limit = 0;
    /** Requests that may be granted to them now, with the fractions that have accumulated. */
    double tokens = 0;
    /** Time until all of them are warm, as of the last tick. */
    Duration timeLeft{0};
};

/**
 * State, concurrency limit and recent speed of the upstreams of one service, as known in one instance.
 *
 * The limit is the number of slots in the document; it is lower during a cold start and after shedding refusals. Upstreams
 * with consecutive failures are ejected, but never more than half of the live ones. Not thread-safe.
 */
class UpstreamTable
{
public:
    /** An upstream whose slowness is above this value is a straggler. */
    static constexpr double StragglerSlowness = 3.0;

    explicit UpstreamTable(UpstreamTableOptions options = {});

    void setOptions(const UpstreamTableOptions &options);
    /** Sets whether this instance is the dispatcher; see WarmupLimiter::setRole. */
    void setRole(bool isDispatcher, std::size_t liveInstances, Instant now);

    /**
     * Replaces the list. Upstreams of the first non-empty list start warm, later ones start cold. Evacuated upstreams are known
     * but not listed; when their evacuation ends, they start cold.
     */
    void update(std::span<const RoutedUpstream> upstreams, Instant now);

    [[nodiscard]] std::optional<UpstreamIndex> find(std::string_view id) const;
    /** Number of indices, those of removed upstreams included. */
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const RoutedUpstream &upstream(UpstreamIndex index) const;
    [[nodiscard]] UpstreamState state(UpstreamIndex index) const;
    [[nodiscard]] bool isEjected(UpstreamIndex index) const;
    [[nodiscard]] bool isListed(UpstreamIndex index) const;
    /** Whether the last list contained evacuated upstreams. */
    [[nodiscard]] bool hasEvacuated() const;
    /**
     * Time after which a refused request should be repeated while all upstreams are evacuated, or nothing if some are listed.
     * The end of an evacuation is not known in advance. Asking callers to wait as long as it has lasted so far, within bounds, at
     * most doubles their wait and spreads their return.
     */
    [[nodiscard]] std::optional<Duration> evacuationRetryAfter(Instant now) const;
    /** The upstream stated in a response that it is draining; until its next incarnation, it accepts no attempts. */
    [[nodiscard]] bool isDraining(UpstreamIndex index) const;

    /** Records that @p incarnation of the upstream stated that it is draining; ignored unless it is the current one. */
    void recordDraining(UpstreamIndex index, Incarnation incarnation, Instant now);

    void setState(UpstreamIndex index, UpstreamState state, Instant now);

    /** Records what an upstream stated on its warm-up outside of an attempt. */
    void recordWarmup(UpstreamIndex index, const UpstreamSignals &signals, Instant now);
    /** Counts a grant of the upstream. */
    void recordGrant(UpstreamIndex index);
    [[nodiscard]] const WarmupLimiter &warmup() const;
    [[nodiscard]] WarmupLimiter &warmup();
    [[nodiscard]] const ColdCapacity &coldCapacity() const;

    /** Records the result of one attempt. */
    void record(UpstreamIndex index, const AttemptReport &report, Instant now);
    /** Records that an attempt has run for @p elapsed without ending. */
    void recordOverdue(UpstreamIndex index, Duration elapsed, Instant now);

    /** Records the pace that an upstream reported; see UpstreamLoad::pace. */
    void recordPace(UpstreamIndex index, double pace, Instant now);
    /** Time at which the upstream last reported its pace; nothing when it never did. */
    [[nodiscard]] std::optional<Instant> lastPaceAt(UpstreamIndex index) const;

    /** Updates cold starts, ejections and decaying averages. Call at least every 100 ms. */
    void tick(Instant now);

    /** Number of attempts that the upstream may run at a time; 0 when it accepts none. */
    [[nodiscard]] int limit(UpstreamIndex index) const;
    /** Sum of all limits. */
    [[nodiscard]] int totalLimit() const;
    /** Number of upstreams whose limit is above 0. */
    [[nodiscard]] std::size_t usableCount() const;
    /** Sum of the limits of upstreams that are not stragglers. */
    [[nodiscard]] int nonStragglerLimit() const;
    /** Expected service time relative to the mean of the service at the usual pace; 1 when nothing was recorded. */
    [[nodiscard]] double slowness(UpstreamIndex index) const;
    /** Smoothed mean service time over all upstreams; zero before the first success. */
    [[nodiscard]] Duration meanServiceTime() const;

    /** Returns the upstreams whose limit, slowness or warm-up changed since the last call, and clears them. */
    std::span<const UpstreamIndex> takeChanged();

private:
    struct Entry {
        RoutedUpstream upstream;
        bool isListed = false;
        UpstreamState state = UpstreamState::Live;
        /** Incarnation that stated that it is draining. */
        std::optional<Incarnation> draining;
        std::optional<Instant> coldSince;
        /** Share of the slots in use after shedding refusals; additive increase, multiplicative decrease (AIMD). */
        double shareAfterShedding = 1;
        Instant lastShedding{};
        /** Smoothed natural logarithm of the service time relative to the service's mean; 0 is average. */
        double logSlowness = 0;
        Instant lastSample{};
        /** Smoothed share of failed attempts; decays while there are no attempts. */
        double failureShare = 0;
        Instant failureAt{};
        std::optional<double> pace;
        Instant paceAt{};
        int failuresInRow = 0;
        int ejectionsInRow = 0;
        std::optional<Instant> ejectedUntil;
        int limit = 0;
        double slowness = 1;
        bool isChanged = false;
    };

    UpstreamIndex addOrUpdate(const RoutedUpstream &upstream, Instant now);
    void recordSuccess(UpstreamIndex index, Duration serviceTime, Instant now);
    /** Expected service time of an upstream that is cold relative to a warm one; 1 for a warm one. */
    [[nodiscard]] double coldFactor(UpstreamIndex index) const;
    void recordFailure(UpstreamIndex index, Instant now, int weight);
    void recordSlowness(Entry &entry, double sample, Instant now);
    void eject(UpstreamIndex index, Instant now);
    [[nodiscard]] bool mayEject() const;
    [[nodiscard]] int currentLimit(const Entry &entry, Instant now) const;
    void recordOutcome(Entry &entry, bool hasFailed, Instant now);
    [[nodiscard]] static double failureShareOf(const Entry &entry, Instant now);
    [[nodiscard]] double paceOf(const Entry &entry, Instant now) const;
    void refresh(UpstreamIndex index, Instant now);
    void markChanged(UpstreamIndex index);
    /** Applies changes of the warm-up limiter to slowness and changed upstreams. */
    void applyWarmup(Instant now);

    UpstreamTableOptions m_options;
    std::vector<Entry> m_entries;
    absl::flat_hash_map<std::string, UpstreamIndex> m_indices;
    std::vector<UpstreamIndex> m_changed;
    std::vector<UpstreamIndex> m_takenChanges;
    /** A non-empty list was set before. */
    bool m_hasUpstreams = false;
    bool m_hasEvacuated = false;
    /** Since when all upstreams are evacuated. */
    std::optional<Instant> m_evacuatedSince;
    int m_totalLimit = 0;
    int m_nonStragglerLimit = 0;
    std::size_t m_usableCount = 0;
    /** Smoothed mean service time in seconds, over all upstreams. */
    double m_meanSeconds = 0;
    /** Smoothed mean of the natural logarithm of service times, over all upstreams. */
    double m_meanLog = 0;
    /** Smoothed mean of the reported paces; used for upstreams whose last report is too old. */
    double m_meanPace = 1;
    std::uint64_t m_samples = 0;
    Instant m_lastTick{};
    WarmupLimiter m_warmup;
    ColdCapacity m_coldCapacity;
};

} // namespace Filbertmount
