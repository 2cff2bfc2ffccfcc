#include "instancetable.h"

#include <absl/time/clock.h>

namespace Filbertmount::StandIn {

void InstanceTable::set(const std::string &service, std::string list, absl::Duration lag)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending[service].push_back({.due = absl::Now() + lag, .list = std::move(list)});
}

std::string InstanceTable::visibleList(const std::string &service)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::deque<PendingChange> &pending = m_pending[service];
    while (!pending.empty() && pending.front().due <= absl::Now()) {
        m_visible[service] = std::move(pending.front().list);
        pending.pop_front();
    }
    const auto found = m_visible.find(service);
    return found == m_visible.end() ? R"({"instances":[]})" : found->second;
}

} // namespace Filbertmount::StandIn
