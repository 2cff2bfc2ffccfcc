#pragma once

#include "edge/clientconnection.h"

#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace Filbertmount {

/** IdleConnections connections to upstreams, by upstream and address. Lives on the IoLoop. */
class ConnectionPool
{
public:
    explicit ConnectionPool(IoLoop &loop);

    /**
     * Returns an idle connection that was used within @p maxIdleTime, or a new one that connects at its first exchange;
     * null when the address is no IP address with a port.
     */
    std::shared_ptr<ClientConnection> take(const UpstreamId &upstream, const std::string &address, Duration maxIdleTime);
    /** Keeps @p connection for later requests if it can carry any. */
    void giveBack(const UpstreamId &upstream, const std::string &address, std::shared_ptr<ClientConnection> connection);
    /** Closes the idle connections of @p upstream. */
    void closeIdle(const UpstreamId &upstream);
    /** Closes connections that the upstream is about to close itself. Call every second or so. */
    void closeExpired(Instant now);

private:
    struct IdleConnections {
        std::string address;
        std::vector<std::shared_ptr<ClientConnection>> connections;
    };

    IoLoop &m_loop;
    absl::flat_hash_map<UpstreamId, IdleConnections> m_idle;
};

} // namespace Filbertmount
