#pragma once

#include <filbertmount/routing/slotmessages.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace Filbertmount {

/**
 * Bounded queue of slot requests. Ordered by rank: requests that can still meet their objective come before late ones, and
 * within these the more urgent rank comes first.
 *
 * Requests of equal rank belong to flows, for example one for each client account. Flows of a rank take turns (start-time fair
 * queueing), so that one with many requests delays only its own. Within a flow, requests are ordered by arrival, oldest first
 * unless set otherwise. Not thread-safe.
 */
class SlotQueue
{
public:
    /** Position of an entry; valid until the entry is removed. */
    using Position = std::uint32_t;
    static constexpr Position None = std::numeric_limits<Position>::max();

    struct Entry {
        MemberIndex member = 0;
        SlotRequest request;
        Instant arrival;
        Instant deadline;
        /** Latency objective; nothing when none was stated. */
        std::optional<Instant> objective;
        /** The objective can no longer be met. */
        bool isLate = false;
        /** End of the wait that was announced to the member. */
        Instant responseDue;
        /** Index of the zone of the entry instance; entries of each zone are counted. */
        std::size_t zone = 0;
        /** Until when the request waits for a slot of its zone although slots elsewhere are free; set by hold(). */
        std::optional<Instant> heldUntil;
        Position next = None;
        Position previous = None;
        Position nextInFlow = None;
        Position previousInFlow = None;
    };

    explicit SlotQueue(std::size_t capacity);

    void setCapacity(std::size_t capacity);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool isFull() const;

    Position push(Entry entry);
    void remove(Position position);
    /** Removes an entry that gets a slot, which counts as a turn of its flow. */
    void removeServed(Position position);
    /** Marks an entry as late and moves it behind all entries that can still meet their objectives. */
    void demote(Position position);
    /** Lets a free slot of another zone pass the entry until @p until. */
    void hold(Position position, Instant until);
    void endHold(Position position);
    /** Number of held entries. */
    [[nodiscard]] std::size_t held() const;
    /** Number of entries of the zone with index @p zone. */
    [[nodiscard]] std::size_t countInZone(std::size_t zone) const;

    /**
     * Sets whether the newest entries of a flow come first. Under overload, serving the oldest first would serve each of
     * them just after its objective.
     */
    void setNewestFirst(bool isNewestFirst);

    /** The entry that is served next; None when empty. */
    [[nodiscard]] Position front() const;
    /** First entry in the order of arrival within the ranks, from which next() visits all entries; None when empty. */
    [[nodiscard]] Position first() const;
    [[nodiscard]] Position next(Position position) const;
    /**
     * Entry that is shed first: of the last rank, the last one of the flow with the most entries; None when empty.
     */
    [[nodiscard]] Position last() const;
    [[nodiscard]] Position find(MemberIndex member, std::uint64_t request) const;
    /** Number of entries that are served before a new one. */
    [[nodiscard]] std::size_t countAhead(const SlotRequest &request, bool isLate = false) const;
    /** Number of entries of the flow of @p request and of its rank. */
    [[nodiscard]] std::size_t flowSize(const SlotRequest &request, bool isLate = false) const;

    Entry &operator[](Position position);

private:
    /** Lists of entries in time, one per rank, followed by those of the late entries. */
    static constexpr std::size_t Lists = 2 * QueueRanks;

    /** The entries of one flow and rank, in the order of arrival. */
    struct Flow {
        Position first = None;
        Position last = None;
        std::size_t size = 0;
        /** Turns that the flow had, in the virtual time of its list. */
        std::uint64_t turns = 0;
    };

    /** Doubly linked list of the entries of one rank, in the order of arrival. */
    struct RankList {
        Position first = None;
        Position last = None;
        std::size_t size = 0;
        absl::flat_hash_map<FlowId, Flow> flows;
        /** Turns of the flow that was served last; a flow that returns starts here, so it cannot save up turns. */
        std::uint64_t virtualTime = 0;
    };

    static std::size_t listOf(const SlotRequest &request, bool isLate);
    void link(Position position);
    void unlink(Position position);
    void linkInFlow(Position position, RankList &list);
    void unlinkFromFlow(Position position, RankList &list);
    [[nodiscard]] Position firstFrom(std::size_t list) const;
    [[nodiscard]] Position nextTurn(const RankList &list) const;

    std::size_t m_capacity;
    std::vector<Entry> m_entries;
    std::vector<Position> m_free;
    std::array<RankList, Lists> m_rankLists;
    bool m_isNewestFirst = false;
    std::size_t m_held = 0;
    /** Number of entries by the index of their zone. */
    absl::InlinedVector<std::uint32_t, 8> m_byZone;
    absl::flat_hash_map<std::pair<MemberIndex, std::uint64_t>, Position> m_positions;
};

} // namespace Filbertmount
