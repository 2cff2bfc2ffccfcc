#pragma once

#include <filbertmount/membership/member.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>
#include <peer.pb.h>

#include <cstdint>
#include <random>
#include <vector>

namespace Filbertmount {

namespace Wire = ::filbertmount::peer;

/**
 * Entries of the other members, the rules that decide between contradicting statements about one, and the queue of
 * changes to pass on. Not thread-safe.
 */
class MemberRegister
{
public:
    struct Entry {
        Member member;
        /** Valid while the member is a suspect. */
        Instant suspicionEnds;
        /** This instance itself found the member silent. */
        bool suspectedLocally = false;
        /** When this instance learned of the death or the leave. */
        Instant departedAt;
    };

    /** Bounds the memory that a faulty peer can take with invented members. */
    static constexpr std::size_t MaxMembers = 4096;
    /** Late gossip about an ended member is recognised this long. */
    static constexpr Duration DepartedRetention = std::chrono::minutes(10);
    /** Time for the member to refute a suspicion of this instance. */
    static constexpr Duration LocalSuspicionTimeout = std::chrono::seconds(1);
    /** Longer for hearsay: the suspecting instance decides, and this covers only its own death meanwhile. */
    static constexpr Duration RemoteSuspicionTimeout = std::chrono::seconds(3);

    /** Applies a statement about another member. Returns whether it changed the entry. */
    bool apply(const Member &change, Instant now, bool observedLocally);
    /** Declares suspects dead whose time is over and forgets those that ended long ago. Returns the number of deaths. */
    std::size_t expire(Instant now);
    /** Moves all deadlines by the time that this process was frozen. */
    void extendSuspicions(Duration gap);
    void clear();

    [[nodiscard]] const Entry *find(const InstanceId &id) const;
    [[nodiscard]] const absl::flat_hash_map<InstanceId, Entry> &entries() const;
    [[nodiscard]] std::vector<InstanceId> liveIds() const;
    /** Hash over the live members and their incarnations, without this instance. */
    [[nodiscard]] std::uint64_t liveHash() const;

    /** Queues the entry of @p id to be passed on again. */
    void enqueue(const InstanceId &id);
    /** Adds up to @p limit queued changes to @p envelope, least often sent ones first. */
    void addChanges(Wire::Envelope &envelope, std::size_t limit);
    /** Adds the next @p count live members, in turn, so that differing views converge. */
    void addRefresh(Wire::Envelope &envelope, std::size_t count);

private:
    [[nodiscard]] int transmissionLimit() const;
    void put(const InstanceId &id, Entry entry);

    absl::flat_hash_map<InstanceId, Entry> m_entries;
    /** Times each queued change was sent. */
    std::vector<std::pair<int, InstanceId>> m_queue;
    InstanceId m_refreshCursor;
    std::uint64_t m_liveHash = 0;
};

/** Adds the statement that @p member makes to @p envelope; an ended member needs no addresses. */
void addMember(Wire::Envelope &envelope, const Member &member);
Member memberFromWire(const Wire::MemberUpdate &update);
/** Hash of one live member, combined by exclusive or. */
std::uint64_t memberHash(const Member &member);

} // namespace Filbertmount
