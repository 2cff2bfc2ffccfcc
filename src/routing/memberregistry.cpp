#include <filbertmount/routing/memberregistry.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

MemberRegistry::MemberRegistry(const InstanceId &self)
    : m_ids{self}
    , m_indices{{self, SelfMember}}
    , m_live{self}
    , m_liveIndices{SelfMember}
{
}

std::vector<MemberIndex> MemberRegistry::setMembers(std::span<const InstanceId> members, std::span<const InstanceId> dispatchers)
{
    m_dispatchers.assign(dispatchers.begin(), dispatchers.end());
    m_live.assign(members.begin(), members.end());
    if (std::find(m_live.begin(), m_live.end(), m_ids[SelfMember]) == m_live.end()) {
        m_live.push_back(m_ids[SelfMember]);
    }
    std::vector<bool> isLive(m_ids.size() + m_live.size(), false);
    m_liveIndices.clear();
    for (const InstanceId &member : m_live) {
        m_liveIndices.push_back(intern(member));
        isLive[m_liveIndices.back()] = true;
    }
    std::vector<MemberIndex> left;
    for (const auto &[id, index] : m_indices) {
        if (!isLive[index]) {
            left.push_back(index);
        }
    }
    for (const MemberIndex index : left) {
        m_indices.erase(m_ids[index]);
        m_free.push_back(index);
    }
    return left;
}

MemberIndex MemberRegistry::intern(const InstanceId &member)
{
    const auto found = m_indices.find(member);
    if (found != m_indices.end()) {
        return found->second;
    }
    auto index = static_cast<MemberIndex>(m_ids.size());
    if (m_free.empty()) {
        m_ids.push_back(member);
    } else {
        index = m_free.back();
        m_free.pop_back();
        m_ids[index] = member;
    }
    m_indices.emplace(member, index);
    return index;
}

std::optional<MemberIndex> MemberRegistry::find(const InstanceId &member) const
{
    const auto found = m_indices.find(member);
    if (found == m_indices.end()) {
        return std::nullopt;
    }
    return found->second;
}

const InstanceId &MemberRegistry::id(MemberIndex index) const
{
    return m_ids[index];
}

const std::vector<InstanceId> &MemberRegistry::live() const
{
    return m_live;
}

const std::vector<MemberIndex> &MemberRegistry::liveIndices() const
{
    return m_liveIndices;
}

MemberIndex MemberRegistry::dispatcherOf(const ServiceName &service) const
{
    const std::vector<InstanceId> &candidates = m_dispatchers.empty() ? m_live : m_dispatchers;
    const std::vector<InstanceId> order = rendezvousOrder(service.value(), candidates, 1);
    return find(order.front()).value_or(SelfMember);
}

} // namespace Filbertmount
