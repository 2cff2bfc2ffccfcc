#pragma once

#include "edge/forwardedcall.h"
#include "edge/heldrequests.h"
#include "edge/serversession.h"

#include <filbertmount/routes/splitselector.h>

#include <memory>

namespace Filbertmount {

/** Answers the requests of callers: finds the route of each one and forwards it. Lives on the IoLoop. */
class CallerHandler : public RequestHandler
{
public:
    CallerHandler(CallEnvironment &environment, std::uint64_t seed);

    /** Requests that arrive from now on follow @p routes. */
    void setRoutes(std::shared_ptr<const RouteIndex> routes);
    /** Routes and upstreams are known: requests are forwarded from now on, those held until now first. */
    void startForwarding();
    /** Answers end their connections from now on. */
    void startDraining();

    std::shared_ptr<ActiveRequest> handle(ServerRequest request, AnswerHandler answer) override;
    [[nodiscard]] CallerLimits limits() const override;
    [[nodiscard]] bool isDraining() const override;
    void onInvalidRequest(const std::string &client, int status, const std::string &reason) override;

private:
    std::shared_ptr<ActiveRequest> forward(ServerRequest request, AnswerHandler answer);
    void answerDirectly(const ServerRequest &request, AnswerHandler &answer, ServerAnswer localAnswer, const std::string &reason);
    [[nodiscard]] Instant deadlineOf(const ServerRequest &request, const ForwardRoute &route) const;
    [[nodiscard]] Instant objectiveOf(const ServerRequest &request, const ForwardRoute &route) const;
    [[nodiscard]] Priority priorityOf(const ForwardRoute &route, const ServiceName &service) const;

    CallEnvironment &m_environment;
    std::shared_ptr<const RouteIndex> m_routes;
    /** Rank of the most urgent routes of each service. */
    absl::flat_hash_map<ServiceName, int> m_mostUrgentRank;
    SplitSelector m_splitSelector;
    HeldRequests m_heldRequests;
    bool m_isForwarding = false;
    bool m_isDraining = false;
};

} // namespace Filbertmount
