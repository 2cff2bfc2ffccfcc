#include "edge/callerhandler.h"

#include "edge/quotaadmission.h"

#include <filbertmount/telemetry/log.h>
#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
// In seconds; an instance receives its state within about a second of its start.
constexpr const char *RetryAfterNotStarted = "0.3";
// In seconds; the connection closes with the response, and another instance can serve the request at once.
constexpr const char *RetryAfterShutdown = "0.05";
// In seconds; a newer configuration reaches all instances within about this time.
constexpr const char *RetryAfterOutdated = "0.3";
// Stands for the key of requests that wait because of their route.
constexpr std::uint64_t NoKey = 0;
// A request without a route has no timeout; most routes have a longer one.
constexpr Duration TimeoutWithoutRoute = std::chrono::seconds(1);

} // namespace

CallerHandler::CallerHandler(CallEnvironment &environment, std::uint64_t seed)
    : m_environment(environment)
    , m_splitSelector(seed)
    , m_heldRequests(environment.loop,
                     [this](const ServerRequest &request, ResponseHandler respond) {
                         rejectBeforeStart(request, respond);
                         return nullptr;
                     })
    , m_authenticator({.keyHeader = environment.dialect.apiKey})
    , m_accountMetrics(environment.metrics)
    , m_pendingRequests(environment.loop, [this](ServerRequest request, ResponseHandler respond, bool isFinal) {
        return forward(std::move(request), std::move(respond), isFinal);
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

void CallerHandler::holdRequests()
{
    m_isForwarding = false;
}

void CallerHandler::setRoutes(std::shared_ptr<const RouteIndex> routes)
{
    m_routes = std::move(routes);
    m_splitSelector.retain(m_routes->routes());
    m_environment.routeTimes.retain(m_routes->routes());
    m_environment.routeSizes.retain(m_routes->routes());
    m_ranks = RequestRanks(m_routes->routes());
    m_authenticator.forgetRefusals();
}

void CallerHandler::retryPendingRequests()
{
    m_pendingRequests.retryAll();
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

Instant CallerHandler::deadlineOf(const ServerRequest &request, Duration routeTimeout) const
{
    const std::string *timeLeftHeader = findHeader(request.headers, m_environment.dialect.timeLeft);
    const std::optional<std::int64_t> milliseconds = timeLeftHeader != nullptr ? parseNumber(*timeLeftHeader) : std::nullopt;
    if (!milliseconds || *milliseconds < 0) {
        return request.arrival + routeTimeout;
    }
    // Compared in milliseconds, because the conversion of a large number would overflow.
    const auto longest = std::chrono::ceil<std::chrono::milliseconds>(routeTimeout);
    return request.arrival + std::min<Duration>(routeTimeout, std::min(longest, std::chrono::milliseconds(*milliseconds)));
}

Instant CallerHandler::objectiveOf(const ServerRequest &request, const ForwardRoute &route) const
{
    // A caller that waits for less time than the route allows has spent the difference on earlier attempts.
    const Duration left = deadlineOf(request, route.timeout) - request.arrival;
    const Duration used = std::max(Duration::zero(), route.timeout - left);
    return request.arrival + route.latencyObjective - used;
}

std::shared_ptr<ActiveRequest> CallerHandler::handle(ServerRequest request, ResponseHandler respond)
{
    if (m_environment.beforeRequest) {
        m_environment.beforeRequest();
    }
    return m_isForwarding ? forward(std::move(request), std::move(respond))
                          : m_heldRequests.hold(std::move(request), std::move(respond));
}

void CallerHandler::rejectBeforeStart(const ServerRequest &request, ResponseHandler &respond)
{
    respondDirectly(request,
                    respond,
                    {.status = Unavailable, .headers = {{.name = "Retry-After", .value = RetryAfterNotStarted}}},
                    m_routes ? "the state is not complete yet" : "no routes known yet");
}

std::optional<Duration> CallerHandler::confirmationAge() const
{
    const std::optional<Instant> confirmedAt = m_environment.routesConfirmedAt ? m_environment.routesConfirmedAt() : std::nullopt;
    return confirmedAt ? std::optional(ProcessClock::now() - *confirmedAt) : std::nullopt;
}

std::shared_ptr<ActiveRequest> CallerHandler::forward(ServerRequest request, ResponseHandler respond, bool isFinal)
{
    const ForwardRoute *route = m_routes->find(*findHeader(request.headers, "Host"), request.target);
    if (route == nullptr) {
        return handleUnknownRoute(std::move(request), std::move(respond), isFinal);
    }
    const std::optional<DrainSchedule> &drain = m_environment.drain;
    if (drain && !drain->allows(*route, deadlineOf(request, route->timeout), request.arrival)) {
        respondDirectly(request,
                        respond,
                        {.status = Unavailable, .headers = {{.name = "Retry-After", .value = RetryAfterShutdown}}},
                        "shutting down");
        return nullptr;
    }
    const Authentication authentication =
        m_authenticator.authenticate({.configuration = *m_routes,
                                      .route = *route,
                                      .headers = request.headers,
                                      .confirmationAge = isFinal ? confirmationAge() : std::nullopt,
                                      .hasWaited = isFinal});
    if (authentication.outcome == AuthenticationOutcome::Refused) {
        refuseKey(request, respond, authentication);
        return nullptr;
    }
    if (authentication.outcome == AuthenticationOutcome::NotYetKnown) {
        const Duration wait = m_authenticator.waitFor(deadlineOf(request, route->timeout) - request.arrival);
        const Instant until = request.arrival + wait;
        return handleUnknownKey(authentication, std::move(request), std::move(respond), until, isFinal);
    }
    return forwardAs(authentication.account, *route, std::move(request), std::move(respond));
}

std::shared_ptr<ActiveRequest> CallerHandler::handleUnknownRoute(ServerRequest request, ResponseHandler respond, bool isFinal)
{
    const bool isCurrent = m_authenticator.isCurrent(confirmationAge());
    // A configuration with accounts waits even while it is current: its keys and routes change together.
    const bool mayWait = !isFinal && (!isCurrent || m_routes->routes().requiresKey);
    if (mayWait && m_pendingRequests.hasRoom(request, NoKey)) {
        const Duration wait = m_authenticator.waitFor(deadlineOf(request, TimeoutWithoutRoute) - request.arrival);
        const Instant until = request.arrival + wait;
        return m_pendingRequests.hold(std::move(request), std::move(respond), NoKey, until);
    }
    if (isCurrent) {
        respondDirectly(request, respond, {.status = NotFound}, "no route");
    } else {
        refuseOutdated(request, respond, "no route");
    }
    return nullptr;
}

std::shared_ptr<ActiveRequest> CallerHandler::handleUnknownKey(Authentication authentication,
                                                               ServerRequest request,
                                                               ResponseHandler respond,
                                                               Instant until,
                                                               bool isFinal)
{
    if (!isFinal && m_pendingRequests.hasRoom(request, authentication.keyId)) {
        return m_pendingRequests.hold(std::move(request), std::move(respond), authentication.keyId, until);
    }
    if (!isFinal) {
        authentication.outcome = m_authenticator.decideWithoutWait(authentication.keyId, confirmationAge());
    }
    if (authentication.outcome == AuthenticationOutcome::Refused) {
        refuseKey(request, respond, authentication);
    } else {
        m_accountMetrics.count({}, AccountRequest::Refused);
        refuseOutdated(request, respond, authentication.reason);
    }
    return nullptr;
}

void CallerHandler::refuseKey(const ServerRequest &request, ResponseHandler &respond, const Authentication &authentication)
{
    m_authenticator.recordRefusal(authentication.keyId);
    m_accountMetrics.count({}, AccountRequest::UnknownKey);
    respondDirectly(request,
                    respond,
                    {.status = Unauthorized, .headers = {{.name = "WWW-Authenticate", .value = m_environment.dialect.apiKey}}},
                    std::string(authentication.reason));
}

void CallerHandler::refuseOutdated(const ServerRequest &request, ResponseHandler &respond, std::string_view reason)
{
    respondDirectly(request,
                    respond,
                    {.status = Unavailable, .headers = {{.name = "Retry-After", .value = RetryAfterOutdated}}},
                    std::string(reason) + ", and the configuration may be outdated");
}

std::shared_ptr<ActiveRequest>
CallerHandler::forwardAs(const ClientAccount *account, const ForwardRoute &route, ServerRequest request, ResponseHandler respond)
{
    const ServiceName &service = m_splitSelector.next(route);
    const std::string *id = findHeader(request.headers, m_environment.dialect.requestId);
    RoutedRequest routed{.request = {},
                         .routes = m_routes,
                         .route = &route,
                         .account = account,
                         .service = service,
                         .priority = m_ranks.priorityOf(route, account, service),
                         .rank = m_ranks.rankOf(route, account, service),
                         .flow = account != nullptr ? FlowId(stableHash(account->name.value())) : FlowId(),
                         .requestId = id != nullptr ? *id : std::string(),
                         .deadline = deadlineOf(request, route.timeout),
                         .objective = objectiveOf(request, route)};
    routed.request = std::move(request);
    return startCall(std::move(routed), std::move(respond));
}

std::shared_ptr<ActiveRequest> CallerHandler::startCall(RoutedRequest request, ResponseHandler respond)
{
    if (request.account != nullptr && request.account->rate > 0 && m_environment.quotas != nullptr) {
        return startCallWithQuota(std::move(request), std::move(respond));
    }
    if (request.account != nullptr) {
        m_accountMetrics.count(request.account->name, AccountRequest::Admitted);
    }
    auto call = std::make_shared<ForwardedCall>(m_environment, std::move(request), std::move(respond));
    call->start();
    return call;
}

std::shared_ptr<ActiveRequest> CallerHandler::startCallWithQuota(RoutedRequest request, ResponseHandler respond)
{
    const ClientAccount &account = *request.account;
    QuotaAccount limited{.name = account.name.value(), .limit = {.ratePerSecond = account.rate, .burst = account.burst}};
    const auto refuse = [this, name = account.name](const ServerRequest &refused,
                                                    ResponseHandler &handler,
                                                    ServerResponse response,
                                                    const std::string &reason) {
        m_accountMetrics.count(name, response.status == TooManyRequests ? AccountRequest::OverQuota : AccountRequest::Refused);
        respondDirectly(refused, handler, std::move(response), reason);
    };
    const auto onAdmitted = [this, name = account.name] {
        m_accountMetrics.count(name, AccountRequest::Admitted);
    };
    return startWithQuota(m_environment, std::move(limited), std::move(request), std::move(respond), refuse, onAdmitted);
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
