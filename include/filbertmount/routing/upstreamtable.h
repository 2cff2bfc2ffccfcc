#pragma once

#include <filbertmount/routing/placement.h>
#include <filbertmount/routing/routedupstream.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

struct UpstreamTableOptions {
    /** Time over which the limit of a new upstream rises from one slot to all of them. */
    Duration coldStart = std::chrono::seconds(5);
    /** Consecutive failures after which an upstream is ejected. */
    int failuresToEject = 5;
    /** First time out after an ejection; doubles with each one in a row. */
    Duration baseEjectionTime = std::chrono::milliseconds(250);
    Duration maxEjectionTime = std::chrono::seconds(10);
};

/**
 * What one instance knows of the upstreams of one service: state, concurrency limit and recent speed.
 *
 * The limit follows the slots of the document, rises during a cold start and falls after shedding refusals.
 * Upstreams that fail again and again are ejected, but never more than half of those that are live. Not thread-safe.
 */
class UpstreamTable
{
public:
    /** An upstream that takes more than this multiple of the service's usual time is a straggler. */
    static constexpr double StragglerSlowness = 3.0;

    explicit UpstreamTable(UpstreamTableOptions options = {});

    void setOptions(const UpstreamTableOptions &options);

    /** Replaces the list. Upstreams of the first list count as warm, later ones as cold. */
    void update(std::span<const RoutedUpstream> upstreams, Instant now);

    [[nodiscard]] std::optional<UpstreamIndex> find(std::string_view id) const;
    /** Number of positions, those of removed upstreams included. */
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const RoutedUpstream &upstream(UpstreamIndex index) const;
    [[nodiscard]] UpstreamState state(UpstreamIndex index) const;
    [[nodiscard]] bool isEjected(UpstreamIndex index) const;
    [[nodiscard]] bool isListed(UpstreamIndex index) const;

    void setState(UpstreamIndex index, UpstreamState state, Instant now);

    /** Takes the result of one attempt into account. */
    void record(UpstreamIndex index, const AttemptReport &report, Instant now);
    /** Takes into account that an attempt has run for @p elapsed and has not ended. */
    void recordOverdue(UpstreamIndex index, Duration elapsed, Instant now);

    /** Takes into account how fast the upstream says that it works at this moment, 1 being the usual. */
    void recordPace(UpstreamIndex index, double pace, Instant now);
    /** When the upstream last stated its pace; nothing when it never did. */
    [[nodiscard]] std::optional<Instant> lastPace(UpstreamIndex index) const;

    /** Moves cold starts and ejections on; call every few milliseconds to 100 ms. */
    void tick(Instant now);

    /** Attempts that the upstream may run at a time; 0 when it takes none. */
    [[nodiscard]] int limit(UpstreamIndex index) const;
    /** Sum of all limits. */
    [[nodiscard]] int totalLimit() const;
    /** Number of upstreams whose limit is above 0. */
    [[nodiscard]] std::size_t usableCount() const;
    /** Sum of the limits of upstreams that are not stragglers. */
    [[nodiscard]] int nonStragglerLimit() const;
    /** Expected service time relative to that of the whole service at the usual pace; 1 when nothing is known. */
    [[nodiscard]] double slowness(UpstreamIndex index) const;
    /** Mean service time of the service; zero before the first success. */
    [[nodiscard]] Duration meanServiceTime() const;

    /** Returns the upstreams whose limit or slowness changed since the last call, and clears them. */
    std::span<const UpstreamIndex> takeChanged();

private:
    struct Entry {
        RoutedUpstream upstream;
        bool listed = false;
        UpstreamState state = UpstreamState::Live;
        std::optional<Instant> coldSince;
        /** Share of the slots that shedding refusals leave, by additive increase and multiplicative decrease. */
        double shareAfterShedding = 1;
        Instant lastShedding{};
        /** Smoothed natural logarithm of service time over the service's; 0 is average. */
        double logSlowness = 0;
        Instant lastSample{};
        /** Smoothed share of the attempts that failed; decays while there are none. */
        double failureShare = 0;
        Instant failureAt{};
        std::optional<double> pace;
        Instant paceAt{};
        int failuresInRow = 0;
        int ejectionsInRow = 0;
        std::optional<Instant> ejectedUntil;
        int limit = 0;
        double slowness = 1;
        bool changed = false;
    };

    UpstreamIndex addOrUpdate(const RoutedUpstream &upstream, Instant now);
    void recordSuccess(Entry &entry, Duration serviceTime, Instant now);
    void recordFailure(UpstreamIndex index, Instant now, int weight);
    void recordSlowness(Entry &entry, double sample, Instant now);
    void eject(UpstreamIndex index, Instant now);
    [[nodiscard]] bool mayEject() const;
    [[nodiscard]] int currentLimit(const Entry &entry, Instant now) const;
    void recordOutcome(Entry &entry, bool hasFailed, Instant now);
    [[nodiscard]] static double failureShareOf(const Entry &entry, Instant now);
    [[nodiscard]] double paceOf(const Entry &entry, Instant now) const;
    void refresh(UpstreamIndex index, Instant now);

    UpstreamTableOptions m_options;
    std::vector<Entry> m_entries;
    absl::flat_hash_map<std::string, UpstreamIndex> m_positions;
    std::vector<UpstreamIndex> m_changed;
    std::vector<UpstreamIndex> m_takenChanges;
    bool m_hasUpstreams = false;
    int m_totalLimit = 0;
    int m_nonStragglerLimit = 0;
    std::size_t m_usableCount = 0;
    /** Smoothed mean in seconds and mean of the logarithm of service times, over all upstreams. */
    double m_meanSeconds = 0;
    double m_meanLog = 0;
    /** Smoothed mean of the stated paces; stands for the pace of upstreams that stated none lately. */
    double m_meanPace = 1;
    std::uint64_t m_samples = 0;
    Instant m_lastTick{};
};

} // namespace Filbertmount
