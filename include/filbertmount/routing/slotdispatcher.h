#pragma once

#include <filbertmount/routing/slotmessages.h>
#include <filbertmount/routing/slotqueue.h>
#include <filbertmount/routing/slotselector.h>
#include <filbertmount/routing/upstreamtable.h>
#include <filbertmount/routing/zoneexitpolicy.h>

#include <absl/container/flat_hash_map.h>

#include <boost/circular_buffer.hpp>

#include <span>
#include <utility>
#include <vector>

namespace Filbertmount {

/** Limits and preferences of a SlotDispatcher. */
struct SlotDispatcherOptions {
    /** Maximum number of requests that wait for a slot. */
    std::size_t queue = 200;
    /** Maximum time after start() for which grants wait for the reports of the other members. */
    Duration reportWait = std::chrono::milliseconds(20);
    /**
     * An upstream in another zone is preferred when it is expected to be this many times as fast as one in the requester's
     * zone. This is the value for an idle service; it falls to 1 as the slots fill up.
     */
    double ownZoneAdvantage = 1.25;
    /** Decides by cost, instead of by ownZoneAdvantage, when requests leave their zone. */
    std::optional<ZoneExitOptions> zoneExit;
};

/**
 * Grants the slots of one service's upstreams to the entry instances of a region.
 *
 * Queues requests while no slot is free. Performs no I/O: responses are appended to an outbox. Not thread-safe.
 */
class SlotDispatcher
{
public:
    /** @p table must outlive the dispatcher, which records the attempts of all members in it. */
    SlotDispatcher(UpstreamTable &table, SlotDispatcherOptions options);

    void setOptions(const SlotDispatcherOptions &options);

    /** Starts dispatching: clears queue and counts, and grants nothing until @p members reported or reportWait has passed. */
    void start(std::span<const MemberIndex> members, Instant now);
    /** Stops dispatching and clears queue and counts. The members select the next dispatcher themselves. */
    void stop();
    [[nodiscard]] bool isRunning() const;

    void handle(MemberIndex from, const SlotRequest &request, Instant now, SlotOutbox &outbox);
    void handle(MemberIndex from, const SlotRelease &release, Instant now, SlotOutbox &outbox);
    void handle(MemberIndex from, const InFlightReport &report, Instant now, SlotOutbox &outbox);

    /** Frees the slots of a member that left and removes its queued requests. */
    void removeMember(MemberIndex member, Instant now, SlotOutbox &outbox);
    /** Refuses the queued requests that no usable upstream is left for. Call after upstreams were evacuated. */
    void refuseUnservable(SlotOutbox &outbox);
    /** Call after each change of the table that was not made by this class. */
    void upstreamsChanged(Instant now, SlotOutbox &outbox);
    /** Handles overdue attempts and queued requests. Call every few milliseconds. */
    void tick(Instant now, SlotOutbox &outbox);

    /** Attempts of all members in flight at an upstream. */
    [[nodiscard]] int inFlight(UpstreamIndex index) const;
    [[nodiscard]] std::size_t queued() const;
    /** Number of grants since the construction. */
    [[nodiscard]] std::uint64_t grants() const;
    [[nodiscard]] const SlotSelector &selector() const;

private:
    struct Grant {
        MemberIndex member = 0;
        UpstreamIndex upstream = 0;
        Instant start;
        /** Index of the member's zone. */
        std::size_t zone = 0;
    };

    /** Time at which an attempt that still runs counts as overdue. */
    struct OverdueCheck {
        Instant at;
        std::uint64_t grant = 0;
    };

    /** What to do with a request, and with which upstream. */
    struct Choice {
        UpstreamIndex upstream = SlotSelector::None;
        ZoneExitReason exitReason = ZoneExitReason::None;
        /** The request waits this long for a slot of its zone. */
        std::optional<Duration> holdFor;
    };

    /** Grants free slots to queued requests and refuses those that cannot finish before their deadline. */
    void serveQueue(Instant now, SlotOutbox &outbox);
    void grant(MemberIndex member, const SlotRequest &request, const Choice &choice, Instant now, SlotOutbox &outbox);
    void refuse(MemberIndex member, std::uint64_t request, RefusalReason reason, SlotOutbox &outbox) const;
    /** Sheds the last queued request if @p request may take its place; returns whether it did. */
    bool shedFor(const SlotRequest &request, SlotOutbox &outbox);
    /** Whether @p queued is late, less urgent than @p request, or of a flow that has more requests in the queue. */
    [[nodiscard]] bool mayReplace(const SlotQueue::Entry &queued, const SlotRequest &request) const;
    void
    enqueue(MemberIndex member, const SlotRequest &request, std::optional<Duration> holdFor, Instant now, SlotOutbox &outbox);
    /** Sends the expected wait to the member, so that it does not time out meanwhile. */
    void announceWait(SlotQueue::Entry &entry, std::size_t ahead, Instant now, SlotOutbox &outbox) const;
    /** Refuses expired requests, moves late ones back and renews announced waits. */
    void expireAndReorderQueue(Instant now, SlotOutbox &outbox);
    void scheduleOverdueCheck(std::uint64_t grant, Instant now);
    void checkOverdueAttempts(Instant now);
    [[nodiscard]] bool hasUpstreamFor(const SlotRequest &request) const;
    Choice chooseUpstream(const SlotRequest &request);
    /** Chooses for a request that waited for @p waited, besides @p queued others of which @p homeQueue of its zone come first. */
    Choice chooseByCost(const SlotRequest &request, Duration waited, std::size_t homeQueue, std::size_t queued);
    /** Best upstream that may get one attempt beyond its slots, or None. */
    UpstreamIndex chooseOvercommitted(const SlotRequest &request);
    /** Chooses for a queued request that comes after @p heldAhead held ones; renews or ends its hold. */
    Choice chooseForQueued(SlotQueue::Position position, std::size_t heldAhead, Instant now);
    /** Whether @p queued requests are few enough that another may wait for its zone while slots elsewhere are free. */
    [[nodiscard]] bool mayHold(std::size_t queued) const;
    /** Records the round trip to the member's zone from an attempt that succeeded. */
    void recordExchange(const Grant &grant, const AttemptReport &report, Instant now);
    /** The objective is sooner than the mean service time. */
    [[nodiscard]] bool isLate(const SlotRequest &request) const;
    [[nodiscard]] bool hasBecomeLate(const SlotQueue::Entry &entry, Instant now) const;
    /** More requests wait than can be served within their objectives. */
    [[nodiscard]] bool isOverloaded() const;
    /** All usable upstreams are cold, so that their warm-up rate limits the grants. */
    [[nodiscard]] bool isRationed() const;
    [[nodiscard]] Duration expectedWait(std::size_t ahead) const;
    /** Expected wait at the rate at which cold upstreams are granted, at most until all of them are warm. */
    [[nodiscard]] Duration expectedWaitWhileCold(std::size_t ahead, Duration waitWhenWarm) const;
    [[nodiscard]] double maxSlowness() const;
    [[nodiscard]] bool mayOvercommit() const;
    /** Enough slots are free to grant one to a hedged attempt. */
    [[nodiscard]] bool hasSlotsForHedges() const;
    /** Share of the slots in use. */
    [[nodiscard]] double utilization() const;
    /** Advantage of the requester's zone at the current utilization of the slots. */
    [[nodiscard]] double ownZoneAdvantage() const;
    [[nodiscard]] bool isWaitingForReports(Instant now) const;
    void addInFlight(UpstreamIndex index, int change);
    /** Removes the in-flight counts of a member: all that it reported, and its grants up to @p lastGrant. */
    void removeMemberCounts(MemberIndex member, std::uint64_t lastGrant);
    /** Updates the selector keys of the upstreams whose limit or slowness changed. */
    void refreshChangedUpstreams();
    /** Grows m_inFlight to the number of upstreams in the table. */
    void resizeInFlight();

    UpstreamTable &m_table;
    SlotDispatcherOptions m_options;
    SlotQueue m_queue;
    SlotSelector m_selector;
    ZoneExitPolicy m_zoneExit;
    std::vector<int> m_inFlight;
    absl::flat_hash_map<std::uint64_t, Grant> m_grants;
    boost::circular_buffer<OverdueCheck> m_overdueChecks;
    /** Attempts known from a report rather than a grant, by member and upstream. */
    absl::flat_hash_map<std::pair<MemberIndex, UpstreamIndex>, int> m_reportedAttempts;
    std::vector<MemberIndex> m_missingReports;
    Instant m_startedAt{};
    std::uint64_t m_lastGrant = 0;
    /** Attempts in flight beyond the limits of their upstreams. */
    int m_overcommitted = 0;
    /** Attempts in flight at all upstreams. */
    int m_totalInFlight = 0;
    bool m_isRunning = false;
};

} // namespace Filbertmount
