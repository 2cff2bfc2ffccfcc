#include "faultswitches.h"

namespace Filbertmount::StandIn {

void FaultSwitches::set(const Faults &faults)
{
    const absl::MutexLock lock(&m_mutex);
    m_faults = faults;
}

Faults FaultSwitches::faults() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_faults;
}

bool FaultSwitches::takeLostAnswer()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_faults.loseAnswers <= 0) {
        return false;
    }
    --m_faults.loseAnswers;
    return true;
}

bool FaultSwitches::takeDroppedCall()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_faults.dropCalls <= 0) {
        return false;
    }
    --m_faults.dropCalls;
    return true;
}

void FaultSwitches::count(const std::string &operation)
{
    const absl::MutexLock lock(&m_mutex);
    ++m_counts[operation];
}

std::map<std::string, std::uint64_t> FaultSwitches::counts() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_counts;
}

void FaultSwitches::resetCounts()
{
    const absl::MutexLock lock(&m_mutex);
    m_counts.clear();
}

} // namespace Filbertmount::StandIn
