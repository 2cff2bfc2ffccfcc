#include "telemetry/boundedlogbackend.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// About 150 KB/s at 300 bytes a line, a fraction of the traffic that a small instance forwards.
constexpr double LinesPerSecond = 500;
// Longer writes to a pipe are not atomic and may block.
constexpr std::size_t MaxLineBytes = 4096;

} // namespace

LineRateLimit::LineRateLimit(double linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
    , m_tokens(linesPerSecond)
{
}

bool LineRateLimit::admit(Instant now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - m_refilledAt).count());
    m_tokens = std::min(m_linesPerSecond, m_tokens + elapsed * m_linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LineRateLimit::countDropped(std::uint64_t lines)
{
    m_dropped += lines;
}

std::uint64_t LineRateLimit::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

BoundedLogBackend::BoundedLogBackend(int descriptor)
    : m_descriptor(descriptor)
    , m_limit(LinesPerSecond)
{
}

void BoundedLogBackend::consume(const boost::log::record_view & /*record*/, const std::string &line)
{
    if (!m_limit.admit(ProcessClock::now())) {
        return;
    }
    const std::uint64_t dropped = m_limit.takeDropped();
    if (dropped > 0) {
        const std::string notice = R"({"level":"warning","message":"log lines dropped","lines":)" + std::to_string(dropped) + "}";
        if (!write(notice)) {
            m_limit.countDropped(dropped);
        }
    }
    if (!write(line)) {
        m_limit.countDropped(1);
    }
}

bool BoundedLogBackend::write(const std::string &line) const
{
    pollfd ready{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    std::string text = line.substr(0, MaxLineBytes - 1);
    text.push_back('\n');
    return ::write(m_descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

} // namespace Filbertmount
