#include "edge/connectionpool.h"

#include <algorithm>

namespace Filbertmount {

namespace {

// Further idle connections would only use up the connection limit of the upstream.
constexpr std::size_t MaxIdlePerUpstream = 4;
constexpr Duration DefaultIdleTimeout = std::chrono::seconds(8);
// Keeps a request from being sent while the upstream closes the connection.
constexpr Duration IdleTimeoutMargin = std::chrono::seconds(1);

Duration usableIdleTime(const ClientConnection &connection)
{
    const std::optional<Duration> serverTimeout = connection.serverIdleTimeout();
    return serverTimeout ? std::max(*serverTimeout - IdleTimeoutMargin, Duration::zero()) : DefaultIdleTimeout;
}

} // namespace

ConnectionPool::ConnectionPool(IoLoop &loop)
    : m_loop(loop)
{
}

std::shared_ptr<ClientConnection>
ConnectionPool::take(const UpstreamId &upstream, const std::string &address, const ConnectionReuse &reuse)
{
    const Instant now = ProcessClock::now();
    const auto idle = m_idle.find(upstream);
    if (idle != m_idle.end() && idle->second.address == address) {
        auto &connections = idle->second.connections;
        // The most recently used connection is the least likely to be closed by the upstream now.
        const auto found = std::find_if(connections.rbegin(), connections.rend(), [&](const auto &connection) {
            const Duration age = now - connection->idleSince();
            return connection->isReusable() && age < std::min(reuse.maxIdleTime, usableIdleTime(*connection))
                && (reuse.acceptsAfterRefusal || !connection->mayRepeatRefusal());
        });
        if (found != connections.rend()) {
            std::shared_ptr<ClientConnection> connection = std::move(*found);
            connections.erase(std::next(found).base());
            return connection;
        }
    }
    const std::optional<Tcp::endpoint> endpoint = toTcpEndpoint(address);
    if (!endpoint) {
        return nullptr;
    }
    return std::make_shared<ClientConnection>(m_loop, *endpoint);
}

void ConnectionPool::giveBack(const UpstreamId &upstream,
                              const std::string &address,
                              std::shared_ptr<ClientConnection> connection)
{
    if (!connection->isReusable()) {
        connection->close();
        return;
    }
    IdleConnections &idle = m_idle[upstream];
    if (idle.address != address) {
        closeIdle(upstream);
        m_idle[upstream].address = address;
    }
    std::vector<std::shared_ptr<ClientConnection>> &connections = m_idle[upstream].connections;
    if (connections.size() >= MaxIdlePerUpstream) {
        connections.front()->close();
        connections.erase(connections.begin());
    }
    connections.push_back(std::move(connection));
}

void ConnectionPool::closeIdle(const UpstreamId &upstream)
{
    const auto idle = m_idle.find(upstream);
    if (idle == m_idle.end()) {
        return;
    }
    for (const std::shared_ptr<ClientConnection> &connection : idle->second.connections) {
        connection->close();
    }
    m_idle.erase(idle);
}

void ConnectionPool::closeExpired(Instant now)
{
    absl::erase_if(m_idle, [now](auto &item) {
        std::erase_if(item.second.connections, [now](const std::shared_ptr<ClientConnection> &connection) {
            const bool isExpired = !connection->isReusable() || now - connection->idleSince() >= usableIdleTime(*connection);
            if (isExpired) {
                connection->close();
            }
            return isExpired;
        });
        return item.second.connections.empty();
    });
}

} // namespace Filbertmount
