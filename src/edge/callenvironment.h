#pragma once

#include "edge/connectionpool.h"
#include "edge/crashcheck.h"
#include "edge/serversession.h"

#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/edge/routetimes.h>
#include <filbertmount/quarantine/crashguard.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/telemetry/metrics.h>

#include <functional>
#include <memory>
#include <string>

namespace Filbertmount {

/** What calls share; all of it outlives them. */
struct CallEnvironment {
    IoLoop &loop;
    const HttpDialect &dialect;
    Router &router;
    ConnectionPool &pool;
    Metrics &metrics;
    /** Bounds the upstreams that a request takes down by crashing them, over all instances. */
    CrashGuard &crashGuard;
    CrashCheck &crashCheck;
    RouteTimes &routeTimes;
    /** An upstream showed that it is not at its address any more. */
    std::function<void(const ServiceName &, const UpstreamId &)> onWrongUpstream;
};

/** A request together with the route that it takes. */
struct RoutedRequest {
    ServerRequest request;
    /** Keeps the route alive while a newer version comes into force. */
    std::shared_ptr<const RouteIndex> routes;
    const ForwardRoute *route = nullptr;
    ServiceName service;
    Priority priority = Priority::Interactive;
    std::string attemptId;
    /** When the final answer is due. */
    Instant deadline;
    /** By when an answer is of full use to the caller. */
    Instant objective;
};

} // namespace Filbertmount
