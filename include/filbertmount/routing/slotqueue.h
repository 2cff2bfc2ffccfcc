#pragma once

#include <filbertmount/routing/slotmessages.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace Filbertmount {

/**
 * Bounded queue of slot requests. Those that can still be answered in time for full use come before the late ones, then
 * the more urgent before the others, then the oldest or the newest. Not thread-safe.
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
        /** By when an answer is of full use; nothing when that is not known. */
        std::optional<Instant> objective;
        /** The objective cannot be met any more. */
        bool isLate = false;
        /** The member was told to expect an answer by then. */
        Instant answerDue;
        Position next = None;
        Position previous = None;
    };

    explicit SlotQueue(std::size_t capacity);

    void setCapacity(std::size_t capacity);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool isFull() const;

    Position push(Entry entry);
    void remove(Position position);
    /** Puts an entry behind all that can still meet their objectives. */
    void demote(Position position);
    /**
     * Sets whether the newest entries of equal rank come first. While more arrives than can be served, the oldest would
     * all be served just too late.
     */
    void setNewestFirst(bool isNewestFirst);

    /** First entry in the order of service; None when empty. */
    [[nodiscard]] Position front() const;
    [[nodiscard]] Position next(Position position) const;
    /** The entry that is shed first: the one that would be served last; None when empty. */
    [[nodiscard]] Position last() const;
    [[nodiscard]] Position find(MemberIndex member, std::uint64_t request) const;
    /** Entries that rank before or equal to a new one. */
    [[nodiscard]] std::size_t countAhead(Priority priority, bool isLate = false) const;

    Entry &operator[](Position position);

private:
    static constexpr std::size_t Priorities = 2;
    /** Each priority in time, then each priority late. */
    static constexpr std::size_t Ranks = 2 * Priorities;

    struct RankList {
        Position first = None;
        Position last = None;
        std::size_t size = 0;
    };

    static std::size_t rankOf(Priority priority, bool isLate);
    void link(Position position);
    void unlink(Position position);
    [[nodiscard]] Position frontFrom(std::size_t rank) const;

    std::size_t m_capacity;
    std::vector<Entry> m_entries;
    std::vector<Position> m_free;
    std::array<RankList, Ranks> m_rankLists;
    bool m_isNewestFirst = false;
    absl::flat_hash_map<std::pair<MemberIndex, std::uint64_t>, Position> m_positions;
};

} // namespace Filbertmount
