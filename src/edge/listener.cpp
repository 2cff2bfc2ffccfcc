#include "edge/listener.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr int Backlog = 1024;
constexpr std::size_t MinCleanupThreshold = 64;
// Accepting fails while all file descriptors are in use.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Listener::Listener(IoLoop &loop, const Tcp::endpoint &address, RequestHandler &handler, std::size_t maxSessions)
    : m_acceptor(loop)
    , m_retryTimer(loop)
    , m_handler(handler)
    , m_maxSessions(maxSessions)
    , m_cleanupThreshold(MinCleanupThreshold)
{
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen(Backlog);
    accept();
}

void Listener::accept()
{
    m_acceptor.async_accept([this](const error_code &error, Tcp::socket socket) {
        if (error == Asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            logLine(LogLevel::Warning, "a connection could not be accepted", {{.name = "reason", .value = error.message()}});
            m_retryTimer.expires_after(AcceptRetryDelay);
            m_retryTimer.async_wait([this](const error_code &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        if (m_sessions.size() >= std::min(m_cleanupThreshold, m_maxSessions)) {
            removeClosedSessions();
        }
        if (m_sessions.size() < m_maxSessions) {
            m_sessions.push_back(std::make_shared<ServerSession>(std::move(socket), m_handler));
            m_sessions.back()->start();
        } else {
            logLine(LogLevel::Warning,
                    "a connection was closed on accept: too many are open",
                    {{.name = "open", .value = static_cast<std::int64_t>(m_sessions.size())}});
        }
        accept();
    });
}

void Listener::removeClosedSessions()
{
    std::erase_if(m_sessions, [](const std::shared_ptr<ServerSession> &session) {
        return session->isClosed();
    });
    m_cleanupThreshold = std::max(MinCleanupThreshold, 2 * m_sessions.size());
}

void Listener::stopAccepting()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
}

void Listener::closeIdleSessions()
{
    removeClosedSessions();
    for (const std::shared_ptr<ServerSession> &session : m_sessions) {
        session->closeIfIdle();
    }
}

void Listener::endWaitingRequests()
{
    for (const std::shared_ptr<ServerSession> &session : m_sessions) {
        session->endWaitingRequests();
    }
}

void Listener::closeAll()
{
    for (const std::shared_ptr<ServerSession> &session : m_sessions) {
        session->close();
    }
    m_sessions.clear();
}

std::size_t Listener::pendingRequests() const
{
    std::size_t count = 0;
    for (const std::shared_ptr<ServerSession> &session : m_sessions) {
        count += session->pendingRequests();
    }
    return count;
}

std::size_t Listener::openSessions() const
{
    return static_cast<std::size_t>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &session) {
        return !session->isClosed();
    }));
}

} // namespace Filbertmount
