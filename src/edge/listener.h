#pragma once

#include "edge/serversession.h"

#include <functional>
#include <memory>
#include <vector>

namespace Filbertmount {

/** Accepts connections and keeps the sessions on them. Lives on the IoLoop. */
class Listener
{
public:
    /**
     * Listens at @p address; @p handler outlives the listener.
     *
     * @throws boost::system::system_error when the address cannot be listened on
     */
    Listener(IoLoop &loop, const Tcp::endpoint &address, RequestHandler &handler, std::size_t maxSessions);

    /** Takes no further connections; open ones stay. */
    void stopAccepting();
    /** Ends sessions without a request in progress. */
    void drainIdle();
    void closeAll();
    /** Requests that have been read and not answered yet. */
    [[nodiscard]] std::size_t unansweredRequests() const;
    [[nodiscard]] std::size_t openSessions() const;

private:
    void accept();
    void removeClosedSessions();

    Tcp::acceptor m_acceptor;
    Asio::steady_timer m_retryTimer;
    RequestHandler &m_handler;
    const std::size_t m_maxSessions;
    std::vector<std::shared_ptr<ServerSession>> m_sessions;
    std::size_t m_cleanupThreshold;
};

} // namespace Filbertmount
