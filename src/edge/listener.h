#pragma once

#include "edge/serversession.h"

#include <functional>
#include <memory>
#include <vector>

namespace Filbertmount {

/** Accepts connections and owns their sessions. Runs on the IoLoop. */
class Listener
{
public:
    /**
     * Listens on @p address and accepts up to @p maxSessions connections at a time; @p handler outlives the listener.
     *
     * @throws boost::system::system_error when the address cannot be listened on
     */
    Listener(IoLoop &loop, const Tcp::endpoint &address, RequestHandler &handler, std::size_t maxSessions);

    /** Stops accepting connections; open connections stay open. */
    void stopAccepting();
    /** Closes the sessions without a request in progress. */
    void closeIdleSessions();
    /** Responds to the requests of all sessions that are not in progress at an upstream. */
    void endWaitingRequests();
    void closeAll();
    /** Number of requests that have been read and whose responses have not been written yet. */
    [[nodiscard]] std::size_t pendingRequests() const;
    [[nodiscard]] std::size_t openSessions() const;

private:
    void accept();
    void removeClosedSessions();

    Tcp::acceptor m_acceptor;
    Asio::steady_timer m_retryTimer;
    RequestHandler &m_handler;
    const std::size_t m_maxSessions;
    std::vector<std::shared_ptr<ServerSession>> m_sessions;
    /** Number of sessions in m_sessions at which closed ones are removed. */
    std::size_t m_cleanupThreshold;
};

} // namespace Filbertmount
