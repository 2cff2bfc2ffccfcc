#pragma once

#include "edge/upstreampool.h"

#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/routes/routeset.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/telemetry/metrics.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace Filbertmount {

struct ProbeLoopOptions {
    PacePollingOptions ages;
    Duration timeout = std::chrono::milliseconds(150);
    /** Probes that one instance starts in a second at most. */
    int perSecond = 400;
};

/** Asks upstreams of the services that this instance dispatches how fast they work. Lives on the IoLoop. */
class ProbeLoop
{
public:
    ProbeLoop(IoLoop &loop, const HttpDialect &dialect, Router &router, Metrics &metrics, ProbeLoopOptions options = {});

    void setRoutes(const RouteSet &routes);
    /** Starts the probes that are due; call every 20 ms or so. */
    void tick(Instant now);

private:
    void probe(const ServiceName &service, const RoutedUpstream &upstream, const std::string &path);
    void onAnswer(const ServiceName &service, const RoutedUpstream &upstream, const ExchangeResult &result);
    bool takeToken(Instant now);

    const HttpDialect &m_dialect;
    Router &m_router;
    Metrics &m_metrics;
    ProbeLoopOptions m_options;
    UpstreamPool m_pool;
    absl::flat_hash_map<ServiceName, std::string> m_paths;
    absl::flat_hash_set<UpstreamId> m_running;
    double m_tokens = 0;
    Instant m_lastTick{};
};

} // namespace Filbertmount
