#pragma once

#include "edge/forwardedcall.h"
#include "edge/heldrequests.h"
#include "edge/pendingrequests.h"
#include "edge/requestranks.h"
#include "edge/serversession.h"

#include <filbertmount/accounts/accountmetrics.h>
#include <filbertmount/accounts/authenticator.h>
#include <filbertmount/routes/splitselector.h>

#include <memory>

namespace Filbertmount {

/**
 * Handles the requests of callers: finds the route and the account of each request and forwards it to an upstream. Runs on the
 * IoLoop.
 */
class CallerHandler : public RequestHandler
{
public:
    CallerHandler(CallEnvironment &environment, std::uint64_t seed);

    /** Sets the routes for all requests that arrive from now on. */
    void setRoutes(std::shared_ptr<const RouteIndex> routes);
    /** Decides again on requests that wait for a newer configuration. Call after setRoutes() once the services are configured. */
    void retryPendingRequests();
    /** Call once routes and upstreams are in force. Forwards the held requests first, then all new ones. */
    void startForwarding();
    /** Holds new requests until startForwarding() is called again. */
    void holdRequests();
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
    /** Responds with 503 to a request for which the state did not arrive in time after the start. */
    void rejectBeforeStart(const ServerRequest &request, ResponseHandler &respond);
    /** @param isFinal the request cannot wait any longer for a newer configuration */
    std::shared_ptr<ActiveRequest> forward(ServerRequest request, ResponseHandler respond, bool isFinal = false);
    /** Forwards a request that is admitted as @p account, which is null if it needs none. */
    std::shared_ptr<ActiveRequest>
    forwardAs(const ClientAccount *account, const ForwardRoute &route, ServerRequest request, ResponseHandler respond);
    std::shared_ptr<ActiveRequest> startCall(RoutedRequest request, ResponseHandler respond);
    /** Starts a call once the account of the request has a token, or refuses it. */
    std::shared_ptr<ActiveRequest> startCallWithQuota(RoutedRequest request, ResponseHandler respond);
    /** Holds a request without a route if a newer configuration may have one; else responds with 404 or 503. */
    std::shared_ptr<ActiveRequest> handleUnknownRoute(ServerRequest request, ResponseHandler respond, bool isFinal);
    /** Holds a request whose key may be in a newer configuration, or responds to it if it cannot wait. */
    std::shared_ptr<ActiveRequest>
    handleUnknownKey(Authentication authentication, ServerRequest request, ResponseHandler respond, Instant until, bool isFinal);
    /** Responds with 401. */
    void refuseKey(const ServerRequest &request, ResponseHandler &respond, const Authentication &authentication);
    /** Responds with 503, because the configuration may be outdated. */
    void refuseOutdated(const ServerRequest &request, ResponseHandler &respond, std::string_view reason);
    [[nodiscard]] std::optional<Duration> confirmationAge() const;
    /** Responds without an upstream and logs @p reason. */
    void respondDirectly(const ServerRequest &request,
                         ResponseHandler &respond,
                         ServerResponse localResponse,
                         const std::string &reason);
    /** The earlier one of the timeout of the route and the time that the caller still waits. */
    [[nodiscard]] Instant deadlineOf(const ServerRequest &request, Duration routeTimeout) const;
    [[nodiscard]] Instant objectiveOf(const ServerRequest &request, const ForwardRoute &route) const;

    CallEnvironment &m_environment;
    std::shared_ptr<const RouteIndex> m_routes;
    RequestRanks m_ranks;
    SplitSelector m_splitSelector;
    HeldRequests m_heldRequests;
    Authenticator m_authenticator;
    AccountMetrics m_accountMetrics;
    PendingRequests m_pendingRequests;
    bool m_isForwarding = false;
};

} // namespace Filbertmount
