#include <filbertmount/routing/memberregistry.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

MemberRegistry::MemberRegistry(const InstanceId &self)
    : m_ids{self}
    , m_positions{{self, SelfMember}}
    , m_live{self}
    , m_livePositions{SelfMember}
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
    m_livePositions.clear();
    for (const InstanceId &member : m_live) {
        m_livePositions.push_back(intern(member));
        isLive[m_livePositions.back()] = true;
    }
    std::vector<MemberIndex> left;
    for (const auto &[id, position] : m_positions) {
        if (!isLive[position]) {
            left.push_back(position);
        }
    }
    for (const MemberIndex position : left) {
        m_positions.erase(m_ids[position]);
        m_free.push_back(position);
    }
    return left;
}

MemberIndex MemberRegistry::intern(const InstanceId &member)
{
    const auto known = m_positions.find(member);
    if (known != m_positions.end()) {
        return known->second;
    }
    auto position = static_cast<MemberIndex>(m_ids.size());
    if (m_free.empty()) {
        m_ids.push_back(member);
    } else {
        position = m_free.back();
        m_free.pop_back();
        m_ids[position] = member;
    }
    m_positions.emplace(member, position);
    return position;
}

std::optional<MemberIndex> MemberRegistry::find(const InstanceId &member) const
{
    const auto known = m_positions.find(member);
    if (known == m_positions.end()) {
        return std::nullopt;
    }
    return known->second;
}

const InstanceId &MemberRegistry::id(MemberIndex index) const
{
    return m_ids[index];
}

const std::vector<InstanceId> &MemberRegistry::live() const
{
    return m_live;
}

const std::vector<MemberIndex> &MemberRegistry::livePositions() const
{
    return m_livePositions;
}

MemberIndex MemberRegistry::dispatcherOf(const ServiceName &service) const
{
    const std::vector<InstanceId> &candidates = m_dispatchers.empty() ? m_live : m_dispatchers;
    const std::vector<InstanceId> order = rendezvousOrder(service.value(), candidates, 1);
    return find(order.front()).value_or(SelfMember);
}

} // namespace Filbertmount
