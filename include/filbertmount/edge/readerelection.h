#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace Filbertmount {

struct ReaderElectionOptions {
    /** Knowledge that the store confirmed longer ago than this is stale. A reader gets an answer every 700 ms. */
    Duration staleAfter = std::chrono::milliseconds(1000);
    /** Each place in the order waits this much longer before it begins to read, so that they do not all begin at once. */
    Duration waitPerPosition = std::chrono::milliseconds(80);
    /** Places behind this one wait only a little longer each: so many are never needed, but they must not all begin. */
    std::size_t lastFullWaitPosition = 5;
    Duration tailWaitPerPosition = std::chrono::milliseconds(5);
    Duration maxTailWait = std::chrono::milliseconds(500);
    /** A reader stops when one before it in the order has been fresh for this long. */
    Duration handOverAfter = std::chrono::milliseconds(1000);
    /** Time after the start until an instance begins to read: others may tell it all it needs. */
    Duration startDelay = std::chrono::milliseconds(80);
    /**
     * The same for instances through which nobody joins. When all start at once, each one knows few others at first and
     * would take itself for the first in the order.
     */
    Duration nonSeedStartDelay = std::chrono::milliseconds(450);
    bool isSeed = true;
    /** Members that ask a store at one time that answers none of them. The first ones in the order do. */
    std::size_t maxSeekers = 8;
    /** The first ones may all be refused while the store serves others: after each such time, one more asks. */
    Duration seekerIncrementInterval = std::chrono::milliseconds(1000);
    /** A member that said longer ago than this that it asks the store does not count any more. */
    Duration seekingTimeout = std::chrono::milliseconds(1200);
};

/**
 * Decides whether this instance reads one kind of object from the store, or relies on another one that does. Sans-I/O,
 * not thread-safe.
 *
 * All members order themselves by rendezvous hash, those with large machines first. The first reads; each next one takes over
 * when it has heard of nobody for whom the store confirmed its knowledge lately. There may be several readers for a while, which
 * costs calls only. While the store answers nobody, only a few go on asking: each one of them tells the others so.
 */
class ReaderElection
{
public:
    ReaderElection(StateKind kind, InstanceId self, Instant now, ReaderElectionOptions options = {});

    /** @param preferred members that come first in the order; when empty, all are alike */
    void setMembers(const std::vector<InstanceId> &members, const std::vector<InstanceId> &preferred = {});
    /** @p from knows what the store confirmed at @p confirmed. */
    void noteConfirmed(const InstanceId &from, Instant confirmedAt);
    /** @p member asks the store and has no answer yet. */
    void noteSeeking(const InstanceId &member, Instant now);
    /** Whether this instance reads and the store has not confirmed its knowledge lately. */
    [[nodiscard]] bool isSeeking(Instant now) const;
    /** Whether no member that comes before this one reads, as far as it has told lately. */
    [[nodiscard]] bool isFirstReader(Instant now) const;
    /** Forgets all confirmations, after a pause in which their age is not known. */
    void forgetConfirmations();

    /** Whether this instance should read from now on. */
    bool updateRole(Instant now);
    [[nodiscard]] bool isReading() const;
    /** When the store last confirmed what any instance, this one included, has told. */
    [[nodiscard]] std::optional<Instant> lastConfirmed() const;

private:
    [[nodiscard]] std::size_t ownPosition() const;
    /** When this instance may begin to read at the earliest. */
    [[nodiscard]] Instant earliestReadStart() const;
    [[nodiscard]] Duration waitAt(std::size_t position) const;
    [[nodiscard]] bool isFresh(const InstanceId &member, Instant now) const;
    [[nodiscard]] bool isEarlierMemberFresh(Instant now) const;
    /** Whether @p member said lately that it asks the store and has no answer since. */
    [[nodiscard]] bool isReportedSeeking(const InstanceId &member, Instant now) const;
    /** Whether enough members that come before this one ask a store that does not answer. */
    [[nodiscard]] bool hasEnoughSeekers(Instant now) const;
    /** When this instance begins to read if nothing else is heard. */
    [[nodiscard]] bool isReadDue(Instant now) const;

    StateKind m_kind;
    InstanceId m_self;
    ReaderElectionOptions m_options;
    Instant m_startedAt;
    std::vector<InstanceId> m_order;
    absl::flat_hash_map<InstanceId, Instant> m_confirmedAt;
    /** When each member said last that it asks a store that does not answer. */
    absl::flat_hash_map<InstanceId, Instant> m_seekingAt;
    /** Since when one before this instance has been fresh. */
    std::optional<Instant> m_earlierFreshSince;
    bool m_isReading = false;
};

} // namespace Filbertmount
