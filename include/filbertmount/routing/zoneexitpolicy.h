#pragma once

#include <filbertmount/routing/routedupstream.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** What a request to another availability zone costs. */
struct ZoneExitOptions {
    /** Milliseconds of a caller's time that one kilobyte (1000 bytes) between zones is worth. */
    double msPerKilobyte = 0;
    /** Milliseconds of a caller's time that each request to another zone costs; the measured round trip if not set. */
    std::optional<double> crossingMs;
};

/** Why a request was sent to another zone. Values are sent to other instances. */
enum class ZoneExitReason : std::uint8_t {
    /** It was not, or the reason is unknown. */
    None,
    /** No slot was free in the zone of the entry instance. */
    HomeFull,
    /** The free upstreams of the zone were slower by more than the crossing costs. */
    HomeSlow,
    /** The zone has no usable upstream. */
    NoHomeUpstream,
    /** The entry instance placed the request without a grant. Not sent to other instances. */
    LocalPlacement,
};

/** Returns the name of @p reason as it appears in metrics. */
std::string_view zoneExitReasonName(ZoneExitReason reason);

/**
 * Rise of the expected service time of an upstream from no slot in use to all. Concurrent requests on one machine slow each other
 * down: service times are 1.7 times as long when it is nearly full, also for the requests that already run there.
 */
inline constexpr double SlownessPerLoad = 1.5;

/** State of one service's upstreams in one zone. */
struct ZoneOffer {
    /** Expected service time at the best free upstream, as a multiple of the mean in an idle service; infinite without one. */
    double bestKey = 0;
    UpstreamIndex upstream = 0;
    /** Sum of the concurrency limits. */
    int slots = 0;
    /** Number of upstreams whose limit is above 0. */
    int usable = 0;
    /** Sum of limit / slowness: slots of average speed. */
    double averageSlots = 0;
};

/** A request that gets a slot of one of several zones. */
struct ZoneExitQuery {
    static constexpr std::size_t UnknownZone = ~std::size_t{0};

    /** Index of the zone of the entry instance among the offers; UnknownZone if no upstream was ever there. */
    std::size_t home = UnknownZone;
    Duration meanServiceTime{0};
    /** Share of all slots in use. */
    double utilization = 0;
    /** Expected size of request and response together; 0 when unknown. */
    std::uint64_t expectedBytes = 0;
    /** Queued requests of the zone that come first. */
    std::size_t homeQueue = 0;
    /** The request may wait for a slot of its zone. */
    bool mayHold = true;
    /** Time that the request has waited already. */
    Duration waited{0};
    /** Time until the latency objective or the deadline, whichever is first; nothing without either. */
    std::optional<Duration> objectiveLeft;
};

struct ZoneExitDecision {
    enum class Action : std::uint8_t {
        /** No slot is free in any zone. */
        None,
        /** Use the offered upstream of @c zone. */
        Grant,
        /** Wait for a slot of the own zone, at most for @c holdFor. */
        Hold,
    };

    Action action = Action::None;
    std::size_t zone = 0;
    ZoneExitReason reason = ZoneExitReason::None;
    Duration holdFor{0};
};

/**
 * Decides whether a request uses an upstream of its own availability zone, leaves the zone, or waits for a slot of the zone.
 *
 * A request leaves when the cost elsewhere (service time, crossing and bytes) is below the cost at home (wait and service
 * time). Differences between free upstreams must persist over several requests or be large; see
 * docs/design/cross-zone-routing.md. A decision costs O(zones) and allocates no memory while the number of zones stays the
 * same. Not thread-safe.
 */
class ZoneExitPolicy
{
public:
    /** Round trip between zones until one was measured. */
    static constexpr double DefaultCrossingMs = 1.5;

    explicit ZoneExitPolicy(ZoneExitOptions options = {});

    void setOptions(const ZoneExitOptions &options);

    /** Decides on one request. Call once per request and state of the offers, because each call adds a sample. */
    ZoneExitDecision decide(const ZoneExitQuery &query, std::span<const ZoneOffer> offers);

    /** Lets the smoothed gains decay, so that a zone without requests does not keep its last state. Call every few milliseconds.
     */
    void tick(Instant now);

    /**
     * Records the time that the dispatcher and an instance in @p zone needed for one exchange beyond the service time: from
     * sending a grant to receiving the release, without the time at the upstream.
     */
    void recordExchange(std::size_t zone, Duration overhead);

    /** Fixed cost of a request to another zone: the configured one, else the measured round trip, else the default. */
    [[nodiscard]] double crossingMs() const;
    /** Requests of @p from are currently sent to @p to because its free upstreams are persistently cheaper. */
    [[nodiscard]] bool isOutflowOpen(std::size_t from, std::size_t to) const;

private:
    /** Requests from one zone to another. */
    struct ZonePair {
        /** Smoothed gain of leaving, as a multiple of the mean service time. */
        double gain = 0;
        bool isOpen = false;
    };

    struct Exchange {
        double milliseconds = 0;
        bool isMeasured = false;
    };

    /** The cheapest free upstream outside of the own zone. */
    struct BestElsewhere {
        std::size_t zone = 0;
        double cost = 0;
        /** Time without the worth of the bytes. */
        double time = 0;
    };

    void resize(std::size_t zones);
    [[nodiscard]] std::optional<BestElsewhere> cheapestElsewhere(const ZoneExitQuery &query,
                                                                 std::span<const ZoneOffer> offers) const;
    /** Updates the smoothed gains of leaving; @p homeCost is that of the best free upstream at home. */
    void updateGains(const ZoneExitQuery &query, std::span<const ZoneOffer> offers, double homeCost);
    [[nodiscard]] ZoneExitDecision
    decideWithFreeHome(const ZoneExitQuery &query, double homeCost, const BestElsewhere &best) const;
    [[nodiscard]] ZoneExitDecision
    decideWithFullHome(const ZoneExitQuery &query, const ZoneOffer &home, const BestElsewhere &best) const;
    /** Longest time for which the request may wait for a slot of its zone. */
    [[nodiscard]] static double maxHoldMs(const ZoneExitQuery &query, const BestElsewhere &best);
    [[nodiscard]] double serviceMs(const ZoneExitQuery &query, double key) const;
    [[nodiscard]] double leavingMs(const ZoneExitQuery &query) const;
    [[nodiscard]] const ZonePair &pair(std::size_t from, std::size_t to) const;

    ZoneExitOptions m_options;
    std::size_t m_zones = 0;
    /** Pairs of zones, by row (from) and column (to). */
    std::vector<ZonePair> m_pairs;
    std::vector<Exchange> m_exchanges;
    double m_measuredCrossingMs = DefaultCrossingMs;
    Instant m_lastDecay{};
};

} // namespace Filbertmount
