#pragma once

#include "edge/connectionpool.h"
#include "edge/crashcheck.h"
#include "edge/drainschedule.h"
#include "edge/serversession.h"

#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/edge/routesizes.h>
#include <filbertmount/edge/routetimes.h>
#include <filbertmount/quarantine/crashguard.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/telemetry/metrics.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Filbertmount {

class QuotaGate;

/** Components that all forwarded calls of an instance share. All of them outlive the calls. */
struct CallEnvironment {
    IoLoop &loop;
    const HttpDialect &dialect;
    Router &router;
    ConnectionPool &pool;
    Metrics &metrics;
    /** Limits, across all instances, how many upstreams one request can crash. */
    CrashGuard &crashGuard;
    CrashCheck &crashCheck;
    RouteTimes &routeTimes;
    RouteSizes &routeSizes;
    /** Limits the memory for responses of upstreams. */
    BufferBudget &responseBuffers;
    /** Called when another upstream responded at the address of the given one. */
    std::function<void(const ServiceName &, const UpstreamId &)> onWrongUpstream;
    /** Set while the instance is shutting down. */
    std::optional<DrainSchedule> drain = {};
    /** Returns when the store last confirmed the routes of this instance; nothing if unknown. */
    std::function<std::optional<Instant>()> routesConfirmedAt = {};
    /** Null if quotas of client accounts are not enforced. */
    QuotaGate *quotas = nullptr;
    /** Called before a request is handled; may let the handler hold requests. Empty if there is nothing to do. */
    std::function<void()> beforeRequest = {};
};

/** A request with its matched route, service and time limits. */
struct RoutedRequest {
    ServerRequest request;
    /** Keeps @c route and @c account valid when a newer route set replaces this one. */
    std::shared_ptr<const RouteIndex> routes;
    const ForwardRoute *route = nullptr;
    /** Account of the request's API key, kept valid by @c routes; null if the request needs none. */
    const ClientAccount *account = nullptr;
    ServiceName service;
    Priority priority = Priority::Interactive;
    /** Urgency among the requests of the service; see SlotRequest. */
    std::uint8_t rank = 0;
    /** Requests of one account take turns with those of others; 0 for requests without an account. */
    FlowId flow = {};
    /** Id that the caller gave to the request, the same for all attempts of this call; empty without one. */
    std::string requestId;
    /** Latest time at which the caller must have a response. */
    Instant deadline;
    /** Until when a response meets the latency objective of the route. */
    Instant objective;
};

} // namespace Filbertmount
