#pragma once

#include <filbertmount/routing/slotmessages.h>
#include <filbertmount/routing/upstreamtable.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Filbertmount {

/** Timeouts and intervals of a SlotClient. */
struct SlotClientOptions {
    AvailabilityZone zone;
    /** Time after the announced wait until the instance places the attempt locally; longer if the dispatcher is slow. */
    Duration grantTimeout = std::chrono::milliseconds(5);
    /** Interval of in-flight reports to the dispatcher. */
    Duration reportInterval = std::chrono::milliseconds(500);
    /** Interval of reports for a service without requests; 610 idle services at reportInterval would send 19 KB/s. */
    Duration idleReportInterval = std::chrono::seconds(10);
    /** Interval of reports while locally placed attempts run, which the dispatcher can count only from reports. */
    Duration localPlacementReportInterval = std::chrono::milliseconds(20);
    /** Consecutive timeouts after which the dispatcher gets only one request per backoffRequestInterval. */
    int timeoutsBeforeBackoff = 3;
    /** Minimum time between requests to a dispatcher that does not respond. */
    Duration backoffRequestInterval = std::chrono::milliseconds(100);
    std::uint64_t seed = 1;
};

/** Upstream that was chosen for one attempt. */
struct SlotPlacement {
    std::uint64_t request = 0;
    UpstreamIndex upstream = 0;
    /** Number of the grant; NoGrant when the attempt was placed locally. */
    std::uint64_t grant = NoGrant;
    /** Why the upstream is in another zone, as stated in the grant. */
    ZoneExitReason exitReason = ZoneExitReason::None;
};

/** Decisions on requests of this instance. Each request gets exactly one placement or refusal. */
struct SlotDecisions {
    std::vector<SlotPlacement> placements;
    std::vector<SlotRefusal> refusals;

    void clear();
};

/**
 * Requests slots from the dispatcher of a service. Places attempts locally, without a grant, when the dispatcher does not
 * respond in time.
 *
 * Performs no I/O: messages to the dispatcher are appended to the outbox. Not thread-safe.
 */
class SlotClient
{
public:
    /** @p table must outlive the client. */
    SlotClient(UpstreamTable &table, SlotClientOptions options);

    /** Sets the dispatcher and sends waiting requests to it. Without a dispatcher, attempts are placed locally. */
    void setDispatcher(std::optional<MemberIndex> dispatcher, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);
    [[nodiscard]] std::optional<MemberIndex> dispatcher() const;

    /** Requests an upstream. The request number must be unique in this process. */
    void request(SlotRequest request, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);
    /** Ends a placed attempt and frees its slot. */
    void release(const SlotPlacement &placement, const AttemptReport &report, Instant now, SlotOutbox &outbox);

    void handle(MemberIndex from, const SlotGrant &grant, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);
    void handle(MemberIndex from, const SlotQueued &queued, Instant now);
    void handle(MemberIndex from, const SlotRefusal &refusal, Instant now, SlotDecisions &decisions);
    /** Handles a grant of an upstream that is not in the table or not live: places the request locally instead. */
    void
    handleUnknownUpstream(MemberIndex from, const SlotGrant &grant, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);

    /** Sends no attempt to an upstream for @p pause, because it asked this instance for that. */
    void recordPause(UpstreamIndex index, Duration pause, Instant now);
    /** Whether the upstream, in its current incarnation, has asked this instance for a pause that is not over. */
    [[nodiscard]] bool isPaused(UpstreamIndex index, Instant now) const;

    /** Handles timeouts and sends reports. Call every few milliseconds. */
    void tick(Instant now, SlotOutbox &outbox, SlotDecisions &decisions);

    /** Attempts of this instance in flight at an upstream. */
    [[nodiscard]] int inFlight(UpstreamIndex index) const;
    /** Requests that wait for a response from the dispatcher. */
    [[nodiscard]] std::size_t waiting() const;
    /** Attempts placed without a grant since the start. */
    [[nodiscard]] std::uint64_t localPlacements() const;
    /** Attempts placed by a grant since the start. */
    [[nodiscard]] std::uint64_t grants() const;

private:
    struct Pending {
        SlotRequest request;
        Instant deadline;
        Instant sent;
        Instant responseDue;
    };

    struct Pause {
        UpstreamIndex upstream = 0;
        Incarnation incarnation;
        Instant until;
    };

    void placeLocally(const SlotRequest &request, Instant now, SlotDecisions &decisions);
    /** Power of two choices: returns the less loaded of two randomly drawn upstreams. */
    std::optional<UpstreamIndex> betterOfTwoRandom(const SlotRequest &request, Instant now);
    std::optional<UpstreamIndex> randomUsableUpstream(const SlotRequest &request, Instant now);
    /**
     * Returns a cold upstream that may get this attempt, if there is one.
     *
     * @param candidates increased by the number of cold upstreams that could run the request at another time
     */
    std::optional<UpstreamIndex> coldUpstream(const SlotRequest &request, Instant now, std::size_t &candidates);
    /** Whether the upstream accepts attempts and no earlier attempt of @p request used it. */
    [[nodiscard]] bool isCandidate(UpstreamIndex index, const SlotRequest &request) const;
    /** Time until the first pause ends when pauses leave @p request no upstream; nothing otherwise. */
    [[nodiscard]] std::optional<Duration> timeUntilUnpaused(const SlotRequest &request, Instant now) const;
    /** Refuses the request because its upstreams accept nothing for @p wait, to which a random part is added. */
    void refuse(const SlotRequest &request, RefusalReason reason, Duration wait, SlotDecisions &decisions);
    void excludePaused(SlotRequest &request, Instant now) const;
    [[nodiscard]] double load(UpstreamIndex index) const;
    /** Returns whether a request may be sent to the dispatcher now, and records @p now as the time of the last request if so. */
    [[nodiscard]] bool startDispatcherRequest(Instant now);
    /** Time to wait for a response from the dispatcher, adapted to its recent response times. */
    [[nodiscard]] Duration timeout() const;
    void beginAttempt(const SlotPlacement &placement, SlotDecisions &decisions);
    void sendReport(Instant now, SlotOutbox &outbox);
    /** Updates the response time and resets the count of timeouts. */
    void recordResponse(const Pending &pending, Instant now);
    /** Grows m_inFlight to the number of upstreams in the table. */
    void resizeInFlight();

    UpstreamTable &m_table;
    SlotClientOptions m_options;
    std::optional<MemberIndex> m_dispatcher;
    absl::flat_hash_map<std::uint64_t, Pending> m_pending;
    std::vector<int> m_inFlight;
    /** Pauses that upstreams asked for; those that are over are removed by tick(). */
    std::vector<Pause> m_pauses;
    std::vector<std::uint64_t> m_expired;
    std::mt19937_64 m_random;
    std::uint64_t m_lastGrant = 0;
    int m_localInFlight = 0;
    /** The last report included locally placed attempts. */
    bool m_hasReportedLocal = false;
    /** Consecutive reports without attempts in flight. */
    int m_emptyReports = 0;
    Instant m_lastReport{};
    Instant m_lastRequestAt{};
    int m_timeoutsInRow = 0;
    /** Smoothed time until the first response from the dispatcher, in nanoseconds. */
    double m_responseTime = 0;
    std::uint64_t m_localPlacements = 0;
    std::uint64_t m_grants = 0;
};

} // namespace Filbertmount
