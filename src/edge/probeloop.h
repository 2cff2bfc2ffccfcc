#pragma once

#include "edge/connectionpool.h"

#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/routes/routeset.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/telemetry/metrics.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace Filbertmount {

struct ProbeLoopOptions {
    /** Selects the upstreams that are due for a probe. */
    PacePollingOptions polling;
    /** For the whole exchange of a probe. */
    Duration timeout = std::chrono::milliseconds(150);
    /** Maximum number of probes that this instance starts per second. */
    int perSecond = 400;
};

/** Probes the upstreams of the services that this instance dispatches for their current pace. Runs on the IoLoop. */
class ProbeLoop
{
public:
    ProbeLoop(IoLoop &loop, const HttpDialect &dialect, Router &router, Metrics &metrics, ProbeLoopOptions options = {});

    /** Sets the paths to probe, which are the health paths of the services in @p routes; services without one are not probed. */
    void setRoutes(const RouteSet &routes);
    /** Closes idle connections to @p upstream. */
    void closeIdle(const UpstreamId &upstream);
    /** Starts the probes that are due. Call about every 20 ms. */
    void tick(Instant now);

private:
    void probe(const ServiceName &service, const RoutedUpstream &upstream, const std::string &path);
    void onResponse(const ServiceName &service, const RoutedUpstream &upstream, const ExchangeResult &result);
    /** Takes one token of the rate limit; returns false when there is none. */
    bool takeToken(Instant now);

    const HttpDialect &m_dialect;
    Router &m_router;
    Metrics &m_metrics;
    ProbeLoopOptions m_options;
    ConnectionPool m_pool;
    absl::flat_hash_map<ServiceName, std::string> m_healthPaths;
    /** Services that state a warm-up rate. */
    absl::flat_hash_set<ServiceName> m_warmingServices;
    absl::flat_hash_set<UpstreamId> m_activeProbes;
    double m_tokens = 0;
    Instant m_lastRefill{};
};

} // namespace Filbertmount
