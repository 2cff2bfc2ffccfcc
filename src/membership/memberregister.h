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
 * Holds the other members, decides which of two contradicting updates about a member wins, and queues the changes that
 * are to be sent to other members. Not thread-safe.
 */
class MemberRegister
{
public:
    struct Entry {
        Member member;
        /** Valid while the member is suspect. */
        Instant suspicionEnds;
        /** The member did not respond to the pings of this instance; false when another instance reported the suspicion. */
        bool suspectedLocally = false;
        /** When the member became dead or left in this register. */
        Instant departedAt;
    };

    /** Bounds the memory that a faulty peer can occupy with members that do not exist. */
    static constexpr std::size_t MaxMembers = 4096;
    /** Dead and left members are kept for this long, so that late gossip does not bring them back. */
    static constexpr Duration DepartedRetention = std::chrono::minutes(10);
    /** Time for a member to refute a suspicion that this instance raised. */
    static constexpr Duration LocalSuspicionTimeout = std::chrono::seconds(1);
    /** Longer than the local timeout: the suspecting instance decides, and this one only if that instance dies first. */
    static constexpr Duration RemoteSuspicionTimeout = std::chrono::seconds(3);

    /**
     * Applies an update about another member. Returns whether it changed the entry.
     *
     * @param observedLocally whether the update comes from the failure detector of this instance
     */
    bool apply(const Member &change, Instant now, bool observedLocally);
    /**
     * Declares suspects dead whose suspicion timed out and drops departed members after DepartedRetention.
     *
     * @return the number of members declared dead
     */
    std::size_t expire(Instant now);
    /** Postpones the end of all suspicions by the time that this process was suspended. */
    void extendSuspicions(Duration gap);
    void clear();

    [[nodiscard]] const Entry *find(const InstanceId &id) const;
    [[nodiscard]] const absl::flat_hash_map<InstanceId, Entry> &entries() const;
    [[nodiscard]] std::vector<InstanceId> liveIds() const;
    /** Hash over the live members and their incarnations, without this instance. */
    [[nodiscard]] std::uint64_t liveHash() const;

    /** Queues the entry of @p id to be sent to other members. Restarts the count of an entry that is queued already. */
    void enqueue(const InstanceId &id);
    /** Adds up to @p limit queued changes to @p envelope, those sent the fewest times first. */
    void addChanges(Wire::Envelope &envelope, std::size_t limit);
    /** Adds @p count live members to @p envelope, round-robin by id, so that differing views converge. */
    void addRefresh(Wire::Envelope &envelope, std::size_t count);

private:
    /** Number of messages that carry a change before it leaves the queue. */
    [[nodiscard]] int transmissionLimit() const;
    void put(const InstanceId &id, Entry entry);

    absl::flat_hash_map<InstanceId, Entry> m_entries;
    /** Queued changes: the number of messages that carried each so far, and the member's id. */
    std::vector<std::pair<int, InstanceId>> m_queue;
    /** Last member that addRefresh() added. */
    InstanceId m_refreshCursor;
    std::uint64_t m_liveHash = 0;
};

/** Adds an update with the state of @p member to @p envelope; addresses are left out for dead and left members. */
void addMember(Wire::Envelope &envelope, const Member &member);
Member memberFromWire(const Wire::MemberUpdate &update);
/** Hash of the id and incarnation of one live member; the hash of a set of members is their exclusive or. */
std::uint64_t memberHash(const Member &member);

} // namespace Filbertmount
