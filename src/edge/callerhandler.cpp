#include "edge/callerhandler.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr int NotFound = 404;
constexpr int Unavailable = 503;
// In seconds; an instance receives its routes within about a second of its start.
constexpr const char *RetryAfterNoRoutes = "0.3";
// In seconds; the connection closes with the response, and another instance can serve the request at once.
constexpr const char *RetryAfterShutdown = "0.05";

} // namespace

CallerHandler::CallerHandler(CallEnvironment &environment, std::uint64_t seed)
    : m_environment(environment)
    , m_splitSelector(seed)
    , m_heldRequests(environment.loop, [this](ServerRequest request, ResponseHandler respond) {
        return forward(std::move(request), std::move(respond));
    })
{
}

void CallerHandler::startForwarding()
{
    if (m_isForwarding) {
        return;
    }
    m_isForwarding = true;
    m_heldRequests.releaseAll([this](ServerRequest request, ResponseHandler respond) {
        return forward(std::move(request), std::move(respond));
    });
}

void CallerHandler::setRoutes(std::shared_ptr<const RouteIndex> routes)
{
    m_routes = std::move(routes);
    m_splitSelector.retain(m_routes->routes());
    m_environment.routeTimes.retain(m_routes->routes());
    m_environment.routeSizes.retain(m_routes->routes());
    m_mostUrgentRank.clear();
    for (const ForwardRoute &route : m_routes->routes().routes) {
        for (const ForwardTarget &target : route.targets) {
            const auto [rank, isNew] = m_mostUrgentRank.try_emplace(target.service, route.rank);
            rank->second = std::min(rank->second, route.rank);
        }
    }
}

void CallerHandler::startDraining(const DrainSchedule &schedule)
{
    m_environment.drain = schedule;
}

bool CallerHandler::isDraining() const
{
    return m_environment.drain.has_value();
}

CallerLimits CallerHandler::limits() const
{
    return m_routes ? m_routes->routes().limits : CallerLimits();
}

Instant CallerHandler::deadlineOf(const ServerRequest &request, const ForwardRoute &route) const
{
    const std::string *timeLeftHeader = findHeader(request.headers, m_environment.dialect.timeLeft);
    const std::optional<std::int64_t> milliseconds = timeLeftHeader != nullptr ? parseNumber(*timeLeftHeader) : std::nullopt;
    if (!milliseconds || *milliseconds < 0) {
        return request.arrival + route.timeout;
    }
    return request.arrival + std::min<Duration>(route.timeout, std::chrono::milliseconds(*milliseconds));
}

Instant CallerHandler::objectiveOf(const ServerRequest &request, const ForwardRoute &route) const
{
    // A caller that waits for less time than the route allows has spent the difference on earlier attempts.
    const Duration left = deadlineOf(request, route) - request.arrival;
    const Duration used = std::max(Duration::zero(), route.timeout - left);
    return request.arrival + route.latencyObjective - used;
}

Priority CallerHandler::priorityOf(const ForwardRoute &route, const ServiceName &service) const
{
    return route.rank <= m_mostUrgentRank.at(service) ? Priority::Interactive : Priority::Patient;
}

std::shared_ptr<ActiveRequest> CallerHandler::handle(ServerRequest request, ResponseHandler respond)
{
    return m_isForwarding ? forward(std::move(request), std::move(respond))
                          : m_heldRequests.hold(std::move(request), std::move(respond));
}

std::shared_ptr<ActiveRequest> CallerHandler::forward(ServerRequest request, ResponseHandler respond)
{
    if (!m_routes) {
        respondDirectly(request,
                        respond,
                        {.status = Unavailable, .headers = {{.name = "Retry-After", .value = RetryAfterNoRoutes}}},
                        "no routes known yet");
        return nullptr;
    }
    const ForwardRoute *route = m_routes->find(*findHeader(request.headers, "Host"), request.target);
    if (route == nullptr) {
        respondDirectly(request, respond, {.status = NotFound}, "no route");
        return nullptr;
    }
    const std::optional<DrainSchedule> &drain = m_environment.drain;
    if (drain && !drain->allows(*route, deadlineOf(request, *route), request.arrival)) {
        respondDirectly(request,
                        respond,
                        {.status = Unavailable, .headers = {{.name = "Retry-After", .value = RetryAfterShutdown}}},
                        "shutting down");
        return nullptr;
    }
    const ServiceName &service = m_splitSelector.next(*route);
    const std::string *id = findHeader(request.headers, m_environment.dialect.requestId);
    RoutedRequest routed{.request = {},
                         .routes = m_routes,
                         .route = route,
                         .service = service,
                         .priority = priorityOf(*route, service),
                         .requestId = id != nullptr ? *id : std::string(),
                         .deadline = deadlineOf(request, *route),
                         .objective = objectiveOf(request, *route)};
    routed.request = std::move(request);
    auto call = std::make_shared<ForwardedCall>(m_environment, std::move(routed), std::move(respond));
    call->start();
    return call;
}

void CallerHandler::respondDirectly(const ServerRequest &request,
                                    ResponseHandler &respond,
                                    ServerResponse localResponse,
                                    const std::string &reason)
{
    const std::string *id = findHeader(request.headers, m_environment.dialect.requestId);
    logLine(LogLevel::Info,
            "request answered",
            {{.name = "request", .value = id != nullptr ? *id : std::string()},
             {.name = "routes_version", .value = static_cast<std::int64_t>(m_routes ? m_routes->version().value() : 0)},
             {.name = "outcome", .value = std::string("refused")},
             {.name = "reason", .value = reason},
             {.name = "status", .value = std::int64_t{localResponse.status}},
             {.name = "target", .value = request.target}});
    if (id != nullptr) {
        localResponse.headers.push_back({.name = m_environment.dialect.requestId, .value = *id});
    }
    respond(std::move(localResponse));
}

void CallerHandler::onInvalidRequest(const std::string &client, int status, const std::string &reason)
{
    logLine(LogLevel::Info,
            "refused an invalid or incomplete request",
            {{.name = "caller", .value = client},
             {.name = "status", .value = std::int64_t{status}},
             {.name = "reason", .value = reason}});
}

} // namespace Filbertmount
