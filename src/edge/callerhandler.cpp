#include "edge/callerhandler.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr int NotFound = 404;
constexpr int Unavailable = 503;
// Routes arrive within a second or so of a start.
constexpr const char *RetryAfterStart = "0.3";

} // namespace

CallerHandler::CallerHandler(CallEnvironment &context, std::uint64_t seed)
    : m_context(context)
    , m_split(seed)
    , m_held(context.loop, [this](ServerRequest request, AnswerHandler answer) {
        return forward(std::move(request), std::move(answer));
    })
{
}

void CallerHandler::open()
{
    if (m_isOpen) {
        return;
    }
    m_isOpen = true;
    m_held.releaseAll([this](ServerRequest request, AnswerHandler answer) {
        return forward(std::move(request), std::move(answer));
    });
}

void CallerHandler::setRoutes(std::shared_ptr<const RouteIndex> routes)
{
    m_routes = std::move(routes);
    m_split.retain(m_routes->routes());
    m_context.times.retain(m_routes->routes());
    m_urgentRank.clear();
    for (const ForwardRoute &route : m_routes->routes().routes) {
        for (const ForwardTarget &target : route.targets) {
            const auto [rank, isNew] = m_urgentRank.try_emplace(target.service, route.rank);
            rank->second = std::min(rank->second, route.rank);
        }
    }
}

void CallerHandler::startDraining()
{
    m_isDraining = true;
}

bool CallerHandler::isDraining() const
{
    return m_isDraining;
}

CallerLimits CallerHandler::limits() const
{
    return m_routes ? m_routes->routes().limits : CallerLimits();
}

Instant CallerHandler::deadlineOf(const ServerRequest &request, const ForwardRoute &route) const
{
    const std::string *stated = findHeader(request.headers, m_context.dialect.timeLeft);
    const std::optional<std::int64_t> milliseconds = stated != nullptr ? parseNumber(*stated) : std::nullopt;
    if (!milliseconds || *milliseconds < 0) {
        return request.arrival + route.timeout;
    }
    return request.arrival + std::min<Duration>(route.timeout, std::chrono::milliseconds(*milliseconds));
}

Instant CallerHandler::objectiveOf(const ServerRequest &request, const ForwardRoute &route) const
{
    // A caller that has less time than the route allows has used the rest for an earlier attempt.
    const Duration left = deadlineOf(request, route) - request.arrival;
    const Duration used = std::max(Duration::zero(), route.timeout - left);
    return request.arrival + route.latencyObjective - used;
}

Priority CallerHandler::priorityOf(const ForwardRoute &route, const ServiceName &service) const
{
    return route.rank <= m_urgentRank.at(service) ? Priority::Interactive : Priority::Patient;
}

std::shared_ptr<ActiveRequest> CallerHandler::handle(ServerRequest request, AnswerHandler answer)
{
    return m_isOpen ? forward(std::move(request), std::move(answer)) : m_held.hold(std::move(request), std::move(answer));
}

std::shared_ptr<ActiveRequest> CallerHandler::forward(ServerRequest request, AnswerHandler answer)
{
    if (!m_routes) {
        answerOwn(request,
                  answer,
                  {.status = Unavailable, .headers = {{.name = "Retry-After", .value = RetryAfterStart}}},
                  "no routes known yet");
        return nullptr;
    }
    const ForwardRoute *route = m_routes->find(*findHeader(request.headers, "Host"), request.target);
    if (route == nullptr) {
        answerOwn(request, answer, {.status = NotFound}, "no route");
        return nullptr;
    }
    const ServiceName &service = m_split.next(*route);
    const std::string *id = findHeader(request.headers, m_context.dialect.attemptId);
    RoutedRequest routed{.request = {},
                         .routes = m_routes,
                         .route = route,
                         .service = service,
                         .priority = priorityOf(*route, service),
                         .attemptId = id != nullptr ? *id : std::string(),
                         .deadline = deadlineOf(request, *route),
                         .objective = objectiveOf(request, *route)};
    routed.request = std::move(request);
    auto call = std::make_shared<ForwardedCall>(m_context, std::move(routed), std::move(answer));
    call->start();
    return call;
}

void CallerHandler::answerOwn(const ServerRequest &request, AnswerHandler &answer, ServerAnswer own, const std::string &reason)
{
    const std::string *id = findHeader(request.headers, m_context.dialect.attemptId);
    logLine(LogLevel::Info,
            "request answered",
            {{.name = "request", .value = id != nullptr ? *id : std::string()},
             {.name = "routes_version", .value = static_cast<std::int64_t>(m_routes ? m_routes->version().value() : 0)},
             {.name = "outcome", .value = std::string("refused")},
             {.name = "reason", .value = reason},
             {.name = "status", .value = std::int64_t{own.status}},
             {.name = "target", .value = request.target}});
    if (id != nullptr) {
        own.headers.push_back({.name = m_context.dialect.attemptId, .value = *id});
    }
    answer(std::move(own));
}

void CallerHandler::noteUnreadable(const std::string &client, int status, const std::string &reason)
{
    logLine(LogLevel::Info,
            "request refused before it was whole",
            {{.name = "caller", .value = client},
             {.name = "status", .value = std::int64_t{status}},
             {.name = "reason", .value = reason}});
}

} // namespace Filbertmount
