#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace Filbertmount {

/** Timing of the reader election. */
struct ReaderElectionOptions {
    /** A member's state is stale if the store confirmed it longer ago than this; the store responds to readers every 700 ms. */
    Duration staleAfter = std::chrono::milliseconds(1000);
    /** Each member waits this much longer than the one before it in the order, so that they do not start to read together. */
    Duration waitPerPosition = std::chrono::milliseconds(80);
    /**
     * Members after this position wait only tailWaitPerPosition longer than the one before them, up to maxTailWait in total:
     * more readers than this are never needed, but those members must not all start together either.
     */
    std::size_t lastFullWaitPosition = 5;
    Duration tailWaitPerPosition = std::chrono::milliseconds(5);
    Duration maxTailWait = std::chrono::milliseconds(500);
    /** A reader stops when a member earlier in the order has been fresh for this long. */
    Duration handOverAfter = std::chrono::milliseconds(1000);
    /** Delay between process start and the first read, during which other instances may send the full state. */
    Duration startDelay = std::chrono::milliseconds(80);
    /**
     * Start delay of instances that are not seeds. When all instances start together, each one knows few others at first, so
     * with the short delay many would consider themselves the first in the order.
     */
    Duration nonSeedStartDelay = std::chrono::milliseconds(450);
    /** Whether other instances join the fleet through this one. */
    bool isSeed = true;
    /** Number of members, the earliest in the order, that keep calling the store during an outage. */
    std::size_t maxSeekers = 8;
    /** The store may refuse the earliest members and serve others, so one more seeker is allowed after each such interval. */
    Duration seekerIncrementInterval = std::chrono::milliseconds(1000);
    /** A member stops counting as a seeker this long after its last report. */
    Duration seekingTimeout = std::chrono::milliseconds(1200);
};

/**
 * Decides whether this instance reads one kind of object from the store, or relies on another instance that does. Sans-I/O,
 * not thread-safe.
 *
 * Members are ordered by rendezvous hash, those with large machines first. The first member reads; each later one takes over
 * when no member has reported a recent confirmation by the store. Several members may read for a while, which only costs
 * additional calls.
 *
 * A reader that the store does not respond to is a seeker and reports this to the other members, so that only a few of them keep
 * calling the store during an outage.
 */
class ReaderElection
{
public:
    ReaderElection(StateKind kind, InstanceId self, Instant now, ReaderElectionOptions options = {});

    /** @param preferred members that come first in the order; may be empty */
    void setMembers(const std::vector<InstanceId> &members, const std::vector<InstanceId> &preferred = {});
    /** Records that @p from has a state that the store confirmed at @p confirmedAt. */
    void recordConfirmation(const InstanceId &from, Instant confirmedAt);
    /** Records a report of @p member that it is a seeker. */
    void recordSeeking(const InstanceId &member, Instant now);
    /** Whether this instance is a seeker: it reads, and the store has not confirmed its state recently. */
    [[nodiscard]] bool isSeeking(Instant now) const;
    /** Whether no member earlier in the order has recently reported that it reads. */
    [[nodiscard]] bool isFirstReader(Instant now) const;
    /** Discards all confirmations and reports after a suspension of the process, because their age is unknown. */
    void forgetConfirmations();

    /** Decides from the members' reports whether this instance starts or stops reading; returns whether it reads from now on. */
    bool updateRole(Instant now);
    [[nodiscard]] bool isReading() const;
    /** Time of the last confirmation by the store that any member, this one included, has reported. */
    [[nodiscard]] std::optional<Instant> lastConfirmed() const;

private:
    [[nodiscard]] std::size_t ownPosition() const;
    /** Earliest time at which this instance may start to read. */
    [[nodiscard]] Instant earliestReadStart() const;
    /** How much longer than the first member the one at @p position waits before it starts to read. */
    [[nodiscard]] Duration waitAt(std::size_t position) const;
    [[nodiscard]] bool isFresh(const InstanceId &member, Instant now) const;
    [[nodiscard]] bool isEarlierMemberFresh(Instant now) const;
    /** Whether @p member recently reported that it is a seeker and has had no confirmation since. */
    [[nodiscard]] bool isReportedSeeking(const InstanceId &member, Instant now) const;
    /** Whether enough members earlier in the order are seekers. */
    [[nodiscard]] bool hasEnoughSeekers(Instant now) const;
    /** Whether this instance has waited long enough without a confirmation to start reading. */
    [[nodiscard]] bool isReadDue(Instant now) const;

    StateKind m_kind;
    InstanceId m_self;
    ReaderElectionOptions m_options;
    Instant m_startedAt;
    std::vector<InstanceId> m_order;
    absl::flat_hash_map<InstanceId, Instant> m_confirmedAt;
    /** Time of each member's last report that it is a seeker. */
    absl::flat_hash_map<InstanceId, Instant> m_seekingAt;
    /** Since when a member earlier in the order has been fresh without interruption. */
    std::optional<Instant> m_earlierFreshSince;
    bool m_isReading = false;
};

} // namespace Filbertmount
