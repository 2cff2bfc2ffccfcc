#include "executionlog.h"

namespace Filbertmount::StandIn {

namespace {

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

} // namespace

ExecutionLog::ExecutionLog(const std::string &path)
{
    if (!path.empty()) {
        m_file.open(path, std::ios::app);
    }
}

void ExecutionLog::record(const std::string &requestId,
                          const std::string &idempotencyKey,
                          const std::string &method,
                          const std::string &path)
{
    const absl::MutexLock lock(&m_mutex);
    if (!m_file.is_open()) {
        return;
    }
    m_file << orDash(requestId) << ' ' << orDash(idempotencyKey) << ' ' << method << ' ' << path << '\n';
    m_file.flush();
}

} // namespace Filbertmount::StandIn
