#include <filbertmount/claims/writerhealth.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// The timeout is this multiple of the average response time, so that a slow store does not make every member fall back to
// writing itself, which causes conflicts.
constexpr int TimeoutFactor = 4;
// A new response time has the weight 1 / SmoothingDivisor in the moving average.
constexpr int SmoothingDivisor = 8;

} // namespace

WriterHealth::WriterHealth(const ClaimOptions &options)
    : m_options(options)
{
}

Duration WriterHealth::timeout(const InstanceId &writer) const
{
    const auto found = m_writers.find(writer);
    const Duration average = found == m_writers.end() ? Duration(0) : found->second.responseTime;
    return std::clamp(average * TimeoutFactor, m_options.minForwardTimeout, m_options.maxForwardTimeout);
}

bool WriterHealth::isUsable(const InstanceId &writer, Instant now) const
{
    const auto found = m_writers.find(writer);
    return found == m_writers.end() || found->second.skippedUntil <= now;
}

void WriterHealth::recordResponse(const InstanceId &writer, Duration responseTime)
{
    State &state = m_writers[writer];
    state.responseTime += (responseTime - state.responseTime) / SmoothingDivisor;
}

void WriterHealth::recordTimeout(const InstanceId &writer, Instant now)
{
    State &state = m_writers[writer];
    state.skippedUntil = now + m_options.writerSkipTime;
    // A timeout yields no response time. Without the increase, a permanently slower store would time out every forwarded claim.
    state.responseTime = std::min(std::max(state.responseTime * 2, m_options.minForwardTimeout), m_options.maxForwardTimeout);
}

void WriterHealth::retainMembers(const std::vector<InstanceId> &members)
{
    absl::erase_if(m_writers, [&](const auto &entry) {
        return std::find(members.begin(), members.end(), entry.first) == members.end();
    });
}

} // namespace Filbertmount
