#pragma once

#include "edge/forwardedcall.h"
#include "edge/heldrequests.h"
#include "edge/serversession.h"

#include <filbertmount/routes/splitselector.h>

#include <memory>

namespace Filbertmount {

/** Handles the requests of callers: finds the route of each request and forwards it to an upstream. Runs on the IoLoop. */
class CallerHandler : public RequestHandler
{
public:
    CallerHandler(CallEnvironment &environment, std::uint64_t seed);

    /** Sets the routes for all requests that arrive from now on. */
    void setRoutes(std::shared_ptr<const RouteIndex> routes);
    /** Call once routes and upstreams are known. Forwards the held requests first, then all new ones. */
    void startForwarding();
    /**
     * From now on, connections are closed after their next response, and a request that may still be in progress when the process
     * ends is refused as not run, so that its caller sends it to another instance.
     */
    void startDraining(const DrainSchedule &schedule);

    std::shared_ptr<ActiveRequest> handle(ServerRequest request, ResponseHandler respond) override;
    [[nodiscard]] CallerLimits limits() const override;
    [[nodiscard]] bool isDraining() const override;
    void onInvalidRequest(const std::string &client, int status, const std::string &reason) override;

private:
    std::shared_ptr<ActiveRequest> forward(ServerRequest request, ResponseHandler respond);
    /** Responds without an upstream and logs @p reason. */
    void respondDirectly(const ServerRequest &request,
                         ResponseHandler &respond,
                         ServerResponse localResponse,
                         const std::string &reason);
    /** The earlier one of the timeout of the route and the time that the caller still waits. */
    [[nodiscard]] Instant deadlineOf(const ServerRequest &request, const ForwardRoute &route) const;
    [[nodiscard]] Instant objectiveOf(const ServerRequest &request, const ForwardRoute &route) const;
    [[nodiscard]] Priority priorityOf(const ForwardRoute &route, const ServiceName &service) const;

    CallEnvironment &m_environment;
    std::shared_ptr<const RouteIndex> m_routes;
    /** Lowest rank among the routes of each service, which is that of the most urgent ones. */
    absl::flat_hash_map<ServiceName, int> m_mostUrgentRank;
    SplitSelector m_splitSelector;
    HeldRequests m_heldRequests;
    bool m_isForwarding = false;
};

} // namespace Filbertmount
