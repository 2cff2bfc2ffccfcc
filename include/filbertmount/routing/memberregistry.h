#pragma once

#include <filbertmount/routing/routedupstream.h>
#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <vector>

namespace Filbertmount {

/**
 * Maps the entry instances of the region to small integer indices, and selects the dispatcher of each service. Indices of
 * members that left are reused. Not thread-safe.
 */
class MemberRegistry
{
public:
    /** @p self gets the index SelfMember. */
    explicit MemberRegistry(const InstanceId &self);

    /**
     * Sets the live members; the instance itself always counts as live. Returns the indices of members that left.
     *
     * @param dispatchers members that may dispatch; when empty, all may
     */
    std::vector<MemberIndex> setMembers(std::span<const InstanceId> members, std::span<const InstanceId> dispatchers = {});

    /** Returns the index of @p member; assigns one when it has none. */
    MemberIndex intern(const InstanceId &member);
    [[nodiscard]] std::optional<MemberIndex> find(const InstanceId &member) const;
    [[nodiscard]] const InstanceId &id(MemberIndex index) const;
    [[nodiscard]] const std::vector<InstanceId> &live() const;
    [[nodiscard]] const std::vector<MemberIndex> &liveIndices() const;

    /** Returns the member with the highest rendezvous hash for @p service among those that may dispatch. */
    [[nodiscard]] MemberIndex dispatcherOf(const ServiceName &service) const;

private:
    std::vector<InstanceId> m_ids;
    absl::flat_hash_map<InstanceId, MemberIndex> m_indices;
    std::vector<MemberIndex> m_free;
    std::vector<InstanceId> m_live;
    std::vector<InstanceId> m_dispatchers;
    std::vector<MemberIndex> m_liveIndices;
};

} // namespace Filbertmount
