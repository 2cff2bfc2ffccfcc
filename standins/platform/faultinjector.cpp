#include "faultinjector.h"

namespace Filbertmount::StandIn {

void FaultInjector::set(const Faults &faults)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
}

Faults FaultInjector::faults() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

bool FaultInjector::consumeLostResponse()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.loseResponses <= 0) {
        return false;
    }
    --m_faults.loseResponses;
    return true;
}

bool FaultInjector::consumeDroppedCall()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.dropCalls <= 0) {
        return false;
    }
    --m_faults.dropCalls;
    return true;
}

void FaultInjector::countCall(const std::string &operation)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_callCounts[operation];
}

std::map<std::string, std::uint64_t> FaultInjector::callCounts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_callCounts;
}

void FaultInjector::resetCallCounts()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_callCounts.clear();
}

} // namespace Filbertmount::StandIn
