#include <filbertmount/routing/admissioncontrol.h>

#include <algorithm>

namespace Filbertmount {

AdmissionControl::AdmissionControl(AdmissionOptions options)
    : m_options(options)
{
}

bool AdmissionControl::admit(const TeamName &team, Priority priority)
{
    const auto entry = m_inProgressByTeam.try_emplace(team, 0).first;
    if (!mayAdmit(entry->second, priority)) {
        return false;
    }
    if (entry->second == 0) {
        ++m_activeTeams;
    }
    ++entry->second;
    ++m_inProgress;
    return true;
}

bool AdmissionControl::mayAdmit(int inProgressByTeam, Priority priority) const
{
    const double usable = priority == Priority::Patient ? m_options.capacity * m_options.patientShare : m_options.capacity;
    if (m_inProgress >= usable) {
        return false;
    }
    if (m_inProgress < m_options.capacity * m_options.fairShareThreshold) {
        return true;
    }
    const int teams = std::max(1, m_activeTeams + (inProgressByTeam == 0 ? 1 : 0));
    return inProgressByTeam < std::max(1, m_options.capacity / teams);
}

void AdmissionControl::finish(const TeamName &team)
{
    const auto found = m_inProgressByTeam.find(team);
    if (found == m_inProgressByTeam.end() || found->second == 0) {
        return;
    }
    --found->second;
    --m_inProgress;
    if (found->second == 0) {
        --m_activeTeams;
    }
}

int AdmissionControl::inProgress() const
{
    return m_inProgress;
}

} // namespace Filbertmount
