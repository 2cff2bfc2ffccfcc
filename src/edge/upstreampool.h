#pragma once

#include "edge/clientconnection.h"

#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace Filbertmount {

/** Idle connections to upstreams, by upstream and address. Lives on the IoLoop. */
class UpstreamPool
{
public:
    explicit UpstreamPool(IoLoop &loop);

    /**
     * Returns an idle connection that was used within @p largestIdle, or a new one that connects at its first exchange;
     * null when the address is no IP address with a port.
     */
    std::shared_ptr<ClientConnection> take(const UpstreamId &upstream, const std::string &address, Duration largestIdle);
    /** Keeps @p connection for later requests if it can carry any. */
    void giveBack(const UpstreamId &upstream, const std::string &address, std::shared_ptr<ClientConnection> connection);
    /** Closes the idle connections of @p upstream. */
    void forget(const UpstreamId &upstream);
    /** Closes connections that the upstream is about to close itself. Call every second or so. */
    void closeExpired(Instant now);

private:
    struct Idle {
        std::string address;
        std::vector<std::shared_ptr<ClientConnection>> connections;
    };

    IoLoop &m_loop;
    absl::flat_hash_map<UpstreamId, Idle> m_idle;
};

} // namespace Filbertmount
