#include "faultswitches.h"

namespace Filbertmount::StandIn {

void FaultSwitches::set(const Faults &faults)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
}

Faults FaultSwitches::faults() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

bool FaultSwitches::takeLostAnswer()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.loseAnswers <= 0) {
        return false;
    }
    --m_faults.loseAnswers;
    return true;
}

bool FaultSwitches::takeDroppedCall()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.dropCalls <= 0) {
        return false;
    }
    --m_faults.dropCalls;
    return true;
}

void FaultSwitches::count(const std::string &operation)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts[operation];
}

std::map<std::string, std::uint64_t> FaultSwitches::counts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_counts;
}

void FaultSwitches::resetCounts()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_counts.clear();
}

} // namespace Filbertmount::StandIn
