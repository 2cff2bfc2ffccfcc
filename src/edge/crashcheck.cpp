#include "edge/crashcheck.h"

#include <memory>
#include <utility>

namespace Filbertmount {

namespace {

// A connection or refusal takes a few milliseconds; after a longer time the result is inconclusive.
constexpr Duration CheckTimeout = std::chrono::milliseconds(300);
// Many simultaneous broken connections point to a failed link or machine, and each check costs the upstream a connection.
constexpr int MaxRunningChecks = 8;

struct Check {
    explicit Check(IoLoop &loop)
        : socket(loop)
        , timer(loop)
    {
    }

    Tcp::socket socket;
    Asio::steady_timer timer;
};

} // namespace

CrashCheck::CrashCheck(IoLoop &loop)
    : m_loop(loop)
{
}

int CrashCheck::runningChecks() const
{
    return m_running;
}

void CrashCheck::check(const Tcp::endpoint &server, ResultHandler handler)
{
    if (m_running >= MaxRunningChecks) {
        handler(false);
        return;
    }
    ++m_running;
    auto check = std::make_shared<Check>(m_loop);
    check->timer.expires_after(CheckTimeout);
    check->timer.async_wait([check](const error_code &cancelled) {
        if (!cancelled) {
            error_code ignored;
            check->socket.close(ignored);
        }
    });
    check->socket.async_connect(server, [this, check, handler = std::move(handler)](const error_code &error) {
        --m_running;
        check->timer.cancel();
        handler(error == Asio::error::connection_refused);
    });
}

} // namespace Filbertmount
