#pragma once

#include <filbertmount/routing/slotmessages.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace Filbertmount {

/** Bounded queue of slot requests by priority and then by arrival. Not thread-safe. */
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
        /** The member was told to expect an answer by then. */
        Instant promised;
        Position next = None;
        Position previous = None;
    };

    explicit SlotQueue(std::size_t capacity);

    void setCapacity(std::size_t capacity);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool isFull() const;

    Position push(Entry entry);
    void remove(Position position);

    /** First entry in the order of service; None when empty. */
    [[nodiscard]] Position front() const;
    [[nodiscard]] Position next(Position position) const;
    /** The entry that is shed first: the youngest of the lowest priority; None when empty. */
    [[nodiscard]] Position last() const;
    [[nodiscard]] Position find(MemberIndex member, std::uint64_t request) const;
    /** Entries that are served before a new one of @p priority. */
    [[nodiscard]] std::size_t countAhead(Priority priority) const;

    Entry &operator[](Position position);

private:
    static constexpr std::size_t Priorities = 2;

    struct Chain {
        Position first = None;
        Position last = None;
        std::size_t size = 0;
    };

    Chain &chain(Priority priority);

    std::size_t m_capacity;
    std::vector<Entry> m_entries;
    std::vector<Position> m_free;
    std::array<Chain, Priorities> m_chains;
    absl::flat_hash_map<std::pair<MemberIndex, std::uint64_t>, Position> m_positions;
};

} // namespace Filbertmount
