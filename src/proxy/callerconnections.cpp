#include "proxy/callerconnections.h"

#include "proxy/exchange.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace Filbertmount {

CallerConnection::CallerConnection(int socket, Instant now)
    : m_socket(socket)
    , m_waitingSince(now.time_since_epoch().count())
{
}

void CallerConnection::requestStarted(std::shared_ptr<Exchange> exchange)
{
    m_waitingSince = Instant::max().time_since_epoch().count();
    const absl::MutexLock lock(&m_mutex);
    m_exchange = std::move(exchange);
}

void CallerConnection::requestEnded(Instant now)
{
    m_waitingSince = now.time_since_epoch().count();
    const absl::MutexLock lock(&m_mutex);
    m_exchange.reset();
}

std::shared_ptr<Exchange> CallerConnection::exchange() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_exchange;
}

Instant CallerConnection::waitingSince() const
{
    return Instant(Duration(m_waitingSince));
}

std::shared_ptr<CallerConnection> CallerConnections::add(int socket)
{
    auto connection = std::make_shared<CallerConnection>(socket, ProcessClock::now());
    const absl::MutexLock lock(&m_mutex);
    m_connections.insert(connection);
    return connection;
}

void CallerConnections::remove(const std::shared_ptr<CallerConnection> &connection)
{
    const absl::MutexLock lock(&m_mutex);
    m_connections.erase(connection);
}

void CallerConnections::closeSlowCallers(Instant now, Duration headerTimeout)
{
    // remove() takes the same lock, so no socket is closed and no descriptor reused during the loop.
    const absl::MutexLock lock(&m_mutex);
    for (const std::shared_ptr<CallerConnection> &connection : m_connections) {
        const Instant since = connection->waitingSince();
        if (since < now && now - since > headerTimeout) {
            shutdown(connection->socket(), SHUT_RDWR);
        }
    }
}

std::vector<std::shared_ptr<CallerConnection>> CallerConnections::connectionsWithRequest() const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<std::shared_ptr<CallerConnection>> found;
    for (const std::shared_ptr<CallerConnection> &connection : m_connections) {
        if (connection->waitingSince() == Instant::max()) {
            found.push_back(connection);
        }
    }
    return found;
}

void CallerConnections::checkExchanges(Instant now)
{
    std::vector<std::shared_ptr<Exchange>> suspended;
    std::vector<pollfd> sockets;
    for (const std::shared_ptr<CallerConnection> &connection : connectionsWithRequest()) {
        const std::shared_ptr<Exchange> exchange = connection->exchange();
        if (exchange == nullptr) {
            continue;
        }
        exchange->expire(now);
        if (exchange->callerSuspended()) {
            suspended.push_back(exchange);
            sockets.push_back({.fd = connection->socket(), .events = POLLRDHUP, .revents = 0});
        }
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0) {
        return;
    }
    for (std::size_t index = 0; index < suspended.size(); ++index) {
        // A socket is closed only after its exchange has ended. callerDisconnected() ignores an exchange that is no longer
        // suspended, so a reused descriptor does no harm.
        if ((sockets[index].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            suspended[index]->callerDisconnected();
        }
    }
}

void CallerConnections::abortExchanges()
{
    for (const std::shared_ptr<CallerConnection> &connection : connectionsWithRequest()) {
        if (const std::shared_ptr<Exchange> exchange = connection->exchange()) {
            exchange->abort();
        }
    }
}

std::size_t CallerConnections::requestsInProgress() const
{
    return connectionsWithRequest().size();
}

bool CallerConnections::idleSince(Instant since) const
{
    const absl::MutexLock lock(&m_mutex);
    return std::all_of(m_connections.begin(), m_connections.end(), [&](const std::shared_ptr<CallerConnection> &connection) {
        return connection->waitingSince() <= since;
    });
}

} // namespace Filbertmount
