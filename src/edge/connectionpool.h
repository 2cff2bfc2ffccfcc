#pragma once

#include "edge/clientconnection.h"

#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace Filbertmount {

/** Which idle connections may carry a request. */
struct ConnectionReuse {
    Duration maxIdleTime = std::chrono::hours(1);
    /** Whether the connection may have delivered a refusal before; see ClientConnection::mayRepeatRefusal(). */
    bool acceptsAfterRefusal = true;
};

/** Keeps idle connections to upstreams for reuse, by upstream and address. Runs on the IoLoop. */
class ConnectionPool
{
public:
    explicit ConnectionPool(IoLoop &loop);

    /**
     * Returns an idle connection that @p reuse allows, or a new one that connects at its first exchange.
     * Returns null when @p address is not "IP:port".
     */
    std::shared_ptr<ClientConnection> take(const UpstreamId &upstream, const std::string &address, const ConnectionReuse &reuse);
    /** Keeps @p connection for later requests if it is reusable, else closes it. */
    void giveBack(const UpstreamId &upstream, const std::string &address, std::shared_ptr<ClientConnection> connection);
    /** Closes the idle connections of @p upstream. */
    void closeIdle(const UpstreamId &upstream);
    /** Closes idle connections shortly before the upstream would close them. Call about every second. */
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
