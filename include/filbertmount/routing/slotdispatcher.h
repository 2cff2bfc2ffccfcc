#pragma once

#include <filbertmount/routing/slotmessages.h>
#include <filbertmount/routing/slotqueue.h>
#include <filbertmount/routing/slotselector.h>
#include <filbertmount/routing/upstreamtable.h>

#include <absl/container/flat_hash_map.h>

#include <boost/circular_buffer.hpp>

#include <span>
#include <utility>
#include <vector>

namespace Filbertmount {

struct SlotDispatcherOptions {
    /** Requests that wait for a slot. */
    std::size_t queue = 200;
    /** After a take-over, requests wait this long at most for the reports of the other members. */
    Duration reportWait = std::chrono::milliseconds(20);
    /**
     * An upstream in another zone is used when it is expected to be this many times as fast as one in the own zone. Holds in
     * a service without load; the advantage shrinks to nothing with the use of its slots.
     */
    double ownZoneAdvantage = 1.25;
};

/**
 * Grants the slots of one service's upstreams to the entry instances of a region.
 *
 * Sans-I/O: takes messages with the time of their arrival and appends answers to an outbox. Not thread-safe.
 */
class SlotDispatcher
{
public:
    /** @p table must outlive the dispatcher; it is fed with the reports of all members. */
    SlotDispatcher(UpstreamTable &table, SlotDispatcherOptions options);

    void setOptions(const SlotDispatcherOptions &options);

    /** Takes over: forgets all counts and waits for the reports of @p members. */
    void start(std::span<const MemberIndex> members, Instant now);
    /** Stops and forgets queue and counts; the members find the next dispatcher themselves. */
    void stop();
    [[nodiscard]] bool isRunning() const;

    void handle(MemberIndex from, const SlotRequest &request, Instant now, SlotOutbox &outbox);
    void handle(MemberIndex from, const SlotRelease &release, Instant now, SlotOutbox &outbox);
    void handle(MemberIndex from, const InFlightReport &report, Instant now, SlotOutbox &outbox);

    /** Gives the slots of a member that died back and drops what it queued. */
    void removeMember(MemberIndex member, Instant now, SlotOutbox &outbox);
    /** Call after each change of the table that did not come through this class. */
    void upstreamsChanged(Instant now, SlotOutbox &outbox);
    /** Call every few milliseconds. */
    void tick(Instant now, SlotOutbox &outbox);

    [[nodiscard]] int inFlight(UpstreamIndex index) const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::uint64_t grants() const;
    [[nodiscard]] const SlotSelector &selector() const;

private:
    struct Grant {
        MemberIndex member = 0;
        UpstreamIndex upstream = 0;
        Instant start;
    };

    struct OverdueCheck {
        Instant at;
        std::uint64_t grant = 0;
    };

    void serveQueue(Instant now, SlotOutbox &outbox);
    void grant(MemberIndex member, const SlotRequest &request, UpstreamIndex upstream, Instant now, SlotOutbox &outbox);
    void refuse(MemberIndex member, std::uint64_t request, RefusalReason reason, SlotOutbox &outbox) const;
    bool evictForPriority(Priority priority, SlotOutbox &outbox);
    void enqueue(MemberIndex member, const SlotRequest &request, Instant now, SlotOutbox &outbox);
    void announceWait(SlotQueue::Entry &entry, std::size_t ahead, Instant now, SlotOutbox &outbox) const;
    void expireAndReorderQueue(Instant now, SlotOutbox &outbox);
    void scheduleOverdueCheck(std::uint64_t grant, Instant now);
    void checkOverdueAttempts(Instant now);
    [[nodiscard]] bool hasUpstreamFor(const SlotRequest &request) const;
    UpstreamIndex chooseUpstream(const SlotRequest &request);
    /** No answer of full use is to be expected any more. */
    [[nodiscard]] bool isLate(const SlotRequest &request) const;
    [[nodiscard]] bool hasBecomeLate(const SlotQueue::Entry &entry, Instant now) const;
    /** More waits than can be served in time. */
    [[nodiscard]] bool isOverloaded() const;
    [[nodiscard]] Duration expectedWait(std::size_t ahead) const;
    [[nodiscard]] double maxSlowness() const;
    [[nodiscard]] bool mayOvercommit() const;
    [[nodiscard]] bool hasRoomForHedges() const;
    /** Advantage of the own zone at the present use of the slots. */
    [[nodiscard]] double ownZoneAdvantage() const;
    [[nodiscard]] bool isWaitingForReports(Instant now) const;
    void addInFlight(UpstreamIndex index, int change);
    void dropMemberCounts(MemberIndex member, std::uint64_t lastGrant);
    void refreshChanged();
    void ensureSize();

    UpstreamTable &m_table;
    SlotDispatcherOptions m_options;
    SlotQueue m_queue;
    SlotSelector m_selector;
    std::vector<int> m_inFlight;
    absl::flat_hash_map<std::uint64_t, Grant> m_grants;
    boost::circular_buffer<OverdueCheck> m_overdueChecks;
    /** Attempts that only a report told of, by member and upstream. */
    absl::flat_hash_map<std::pair<MemberIndex, UpstreamIndex>, int> m_reportedAttempts;
    std::vector<MemberIndex> m_missingReports;
    Instant m_startedAt{};
    std::uint64_t m_lastGrant = 0;
    int m_overcommitted = 0;
    /** Requests in flight at all upstreams. */
    int m_totalInFlight = 0;
    bool m_isRunning = false;
};

} // namespace Filbertmount
