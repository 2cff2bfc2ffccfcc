#include "edge/forwardedcall.h"

#include <filbertmount/telemetry/log.h>
#include <filbertmount/types/sha256.h>

#include <absl/strings/str_format.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration RetryAfterQuarantine = std::chrono::minutes(10);
constexpr Duration RetryAfterBusy = std::chrono::seconds(1);

CrashFingerprint fingerprintOf(const RoutedRequest &request)
{
    const ServerRequest &httpRequest = request.request;
    std::string bodyHash;
    if (!httpRequest.body.empty()) {
        const Sha256Digest digest = sha256(httpRequest.body);
        bodyHash.assign(digest.begin(), digest.end());
    }
    // Not the service: a route may split its requests between several, and the same request would crash the upstreams of each.
    return crashFingerprint(request.route->host, httpRequest.method, httpRequest.target, bodyHash);
}

bool mayHaveRunAfter(AttemptEnd end)
{
    return end == AttemptEnd::Broken || end == AttemptEnd::Failed || end == AttemptEnd::TimedOut;
}

std::string_view refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownService:
        return "unknown-service";
    case RefusalReason::NoUpstream:
        return "no-upstream";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalReason::Shed:
        return "shed";
    case RefusalReason::UpstreamsCold:
        return "upstreams-cold";
    case RefusalReason::UpstreamsPaused:
        return "upstreams-paused";
    case RefusalReason::ZonesEvacuated:
        return "zones-evacuated";
    }
    return "unknown";
}

} // namespace

ForwardedCall::ForwardedCall(CallEnvironment &environment, RoutedRequest request, ResponseHandler respond)
    : m_environment(environment)
    , m_request(std::move(request))
    , m_responseHandler(std::move(respond))
    , m_deadlineTimer(environment.loop)
    , m_hedgeTimer(environment.loop)
    , m_fingerprint(fingerprintOf(m_request))
{
}

Duration ForwardedCall::timeLeft() const
{
    return m_request.deadline - ProcessClock::now();
}

void ForwardedCall::start()
{
    m_deadlineTimer.start(timeLeft(), [weak = weak_from_this()] {
        const std::shared_ptr<ForwardedCall> self = weak.lock();
        if (self) {
            self->onDeadline();
        }
    });
    if (m_environment.responseBuffers.isNearlyUsedUp()) {
        refuse(RetryAfterBusy, "response-buffers-full");
        return;
    }
    requestAdmission(Purpose::Primary);
}

void ForwardedCall::requestAdmission(Purpose purpose)
{
    m_environment.crashGuard.admit(m_request.service,
                                   m_fingerprint,
                                   [self = shared_from_this(), purpose](CrashAdmission admission, const CrashTicket &ticket) {
                                       self->onAdmission(admission, ticket, purpose);
                                   });
}

void ForwardedCall::onAdmission(CrashAdmission admission, const CrashTicket &ticket, Purpose purpose)
{
    const bool isAdmitted = admission == CrashAdmission::Run;
    if (m_isDone && isAdmitted) {
        m_environment.crashGuard.ended(ticket);
    }
    if (m_isDone) {
        return;
    }
    if (isAdmitted) {
        requestPlacement(ticket, purpose);
    } else if (purpose == Purpose::Hedge) {
        onHedgeRefused();
    } else {
        refuseQuarantined(admission);
    }
}

void ForwardedCall::refuseQuarantined(CrashAdmission admission)
{
    const bool isBusy = admission == CrashAdmission::Busy;
    const std::string reason = isBusy ? "too many like one that crashed an upstream" : "crashes upstreams";
    m_environment.metrics.counter(MetricNames::Quarantined, {{"service", m_request.service.value()}}).Increment();
    if (m_mayHaveRun) {
        fail(BadGateway, reason);
    } else {
        refuse(isBusy ? RetryAfterBusy : RetryAfterQuarantine, reason);
    }
}

void ForwardedCall::requestPlacement(const CrashTicket &ticket, Purpose purpose)
{
    m_environment.router.place({.service = m_request.service,
                                .priority = m_request.priority,
                                .rank = m_request.rank,
                                .flow = m_request.flow,
                                .deadline = m_request.deadline,
                                .objective = m_request.objective,
                                .excluded = m_triedUpstreams,
                                .isHedge = purpose == Purpose::Hedge,
                                .expectedBytes = m_environment.routeSizes.expectedBytes(m_request.route->name)},
                               [self = shared_from_this(), ticket, purpose](PlacementResult result) {
                                   self->onPlacement(std::move(result), ticket, purpose);
                               });
}

void ForwardedCall::onPlacement(PlacementResult result, const CrashTicket &ticket, Purpose purpose)
{
    const auto *refusal = std::get_if<PlacementRefusal>(&result);
    if (refusal != nullptr || m_isDone) {
        m_environment.crashGuard.ended(ticket);
    }
    if (refusal == nullptr && m_isDone) {
        m_environment.router.release(std::get<Placement>(result), {.outcome = AttemptOutcome::Unused});
    }
    if (m_isDone) {
        return;
    }
    if (refusal == nullptr) {
        m_isPlacingHedge = m_isPlacingHedge && purpose != Purpose::Hedge;
        startAttempt(std::get<Placement>(result), ticket);
        return;
    }
    if (purpose == Purpose::Hedge) {
        onHedgeRefused();
        return;
    }
    const std::string reason(refusalName(refusal->reason));
    if (m_mayHaveRun) {
        fail(BadGateway, "retry refused: " + reason);
    } else {
        refuse(refusal->retryAfter, reason);
    }
}

void ForwardedCall::startAttempt(const Placement &placement, const CrashTicket &ticket)
{
    if (timeLeft() <= Duration::zero()) {
        m_environment.crashGuard.ended(ticket);
        m_environment.router.release(placement, {.outcome = AttemptOutcome::Unused});
        onDeadline();
        return;
    }
    // A request that waited for its upstream since before the shutdown.
    const std::optional<DrainSchedule> &drain = m_environment.drain;
    if (drain && !drain->allows(*m_request.route, m_request.deadline, ProcessClock::now())) {
        m_environment.crashGuard.ended(ticket);
        m_environment.router.release(placement, {.outcome = AttemptOutcome::Unused});
        endIfWaiting();
        return;
    }
    ++m_attemptCount;
    m_triedUpstreams.push_back(placement.upstream);
    m_lastAttempt = std::make_shared<UpstreamAttempt>(m_environment, m_request, placement, ticket, m_attemptCount);
    m_activeAttempts.push_back(m_lastAttempt);
    m_placementDelay = ProcessClock::now() - m_request.request.arrival;
    scheduleHedge();
    m_lastAttempt->send(
        [self = shared_from_this()](const std::shared_ptr<UpstreamAttempt> &attempt, AttemptEnd end, ExchangeResult result) {
            self->onAttemptEnd(attempt, end, std::move(result));
        });
}

void ForwardedCall::scheduleHedge()
{
    const ForwardRoute &route = *m_request.route;
    if (!route.isRepeatable || m_hasHedged || m_attemptCount >= route.maxAttempts) {
        return;
    }
    const Duration delay = m_environment.routeTimes.hedgeDelay(route, m_request.objective - ProcessClock::now());
    if (delay >= timeLeft()) {
        return;
    }
    m_hedgeTimer.start(delay, [weak = weak_from_this()] {
        const std::shared_ptr<ForwardedCall> self = weak.lock();
        if (self) {
            self->startHedge();
        }
    });
}

void ForwardedCall::startHedge()
{
    const bool isOnlyAttempt = !m_isDone && m_activeAttempts.size() == 1 && m_attemptCount < m_request.route->maxAttempts;
    if (!isOnlyAttempt || m_hasHedged || !m_environment.router.takeRetryForHedge(m_request.service)) {
        return;
    }
    m_hasHedged = true;
    m_isPlacingHedge = true;
    logLine(LogLevel::Info,
            "a second attempt is made beside a slow one",
            {{.name = "request", .value = m_request.requestId},
             {.name = "service", .value = m_request.service.value()},
             {.name = "upstream", .value = m_triedUpstreams.back().value()},
             {.name = "elapsed_ms", .value = toMilliseconds(ProcessClock::now() - m_request.request.arrival)}});
    requestAdmission(Purpose::Hedge);
}

void ForwardedCall::onHedgeRefused()
{
    m_isPlacingHedge = false;
    m_environment.router.refundRetry(m_request.service);
    if (m_failureDuringHedge) {
        auto [end, result] = std::move(*m_failureDuringHedge);
        m_failureDuringHedge.reset();
        continueAfterFailure(end, std::move(result));
    }
}

void ForwardedCall::onAttemptEnd(const std::shared_ptr<UpstreamAttempt> &attempt, AttemptEnd end, ExchangeResult result)
{
    std::erase(m_activeAttempts, attempt);
    if (m_isDone) {
        return;
    }
    m_lastAttempt = attempt;
    if (end == AttemptEnd::Responded) {
        cancelAttempts(AttemptOutcome::Cancelled);
        deliver(std::move(result.response));
        return;
    }
    if (m_isPlacingHedge) {
        m_failureDuringHedge = {end, std::move(result)};
        return;
    }
    if (!m_activeAttempts.empty()) {
        // The other attempt may still receive a response.
        m_mayHaveRun = m_mayHaveRun || mayHaveRunAfter(end);
        return;
    }
    continueAfterFailure(end, std::move(result));
}

void ForwardedCall::continueAfterFailure(AttemptEnd end, ExchangeResult result)
{
    const RetryAllowance allowance{.isRepeatable = m_request.route->isRepeatable,
                                   .attempts = m_request.route->maxAttempts - m_attemptCount,
                                   .timeLeft = timeLeft()};
    AttemptDecision decision = decideAfterAttempt(end, allowance, m_mayHaveRun);
    if (decision == AttemptDecision::Retry && !m_environment.router.takeRetry(m_request.service)) {
        decision = decideWithoutRetry(end, m_mayHaveRun);
    }
    m_mayHaveRun = m_mayHaveRun || mayHaveRunAfter(end);
    switch (decision) {
    case AttemptDecision::Retry:
        requestAdmission(Purpose::Primary);
        return;
    case AttemptDecision::Deliver:
        deliver(std::move(result.response));
        return;
    case AttemptDecision::RefuseNotRun:
        refuse(MinRetryAfter, std::string(attemptEndName(end)));
        return;
    case AttemptDecision::FailMayHaveRun:
        fail(BadGateway, std::string(attemptEndName(end)));
        return;
    case AttemptDecision::FailTimedOut:
        fail(GatewayTimeout, std::string(attemptEndName(end)));
        return;
    }
}

void ForwardedCall::onDeadline()
{
    if (m_isDone) {
        return;
    }
    const bool wasSent = cancelAttempts(AttemptOutcome::TimedOut) > 0;
    if (wasSent || m_mayHaveRun || m_failureDuringHedge) {
        fail(GatewayTimeout, "deadline");
    } else {
        refuse(MinRetryAfter, "deadline");
    }
}

std::size_t ForwardedCall::cancelAttempts(AttemptOutcome outcome)
{
    const auto running = std::exchange(m_activeAttempts, {});
    for (const std::shared_ptr<UpstreamAttempt> &attempt : running) {
        attempt->cancel(outcome);
    }
    return running.size();
}

void ForwardedCall::abandon()
{
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    m_deadlineTimer.cancel();
    m_hedgeTimer.cancel();
    const bool wasSent = cancelAttempts(AttemptOutcome::Cancelled) > 0;
    logLine(LogLevel::Info,
            "caller left before the answer",
            {{.name = "request", .value = m_request.requestId},
             {.name = "service", .value = m_request.service.value()},
             {.name = "was_sent", .value = wasSent},
             {.name = "waited_ms", .value = toMilliseconds(ProcessClock::now() - m_request.request.arrival)}});
    m_responseHandler = nullptr;
}

void ForwardedCall::endIfWaiting()
{
    if (m_isDone || !m_activeAttempts.empty()) {
        return;
    }
    const std::string reason = "shutting down";
    if (m_mayHaveRun || m_failureDuringHedge) {
        fail(BadGateway, reason);
    } else {
        refuse(MinRetryAfter, reason);
    }
}

void ForwardedCall::deliver(ClientResponse response)
{
    const int status = response.status;
    sendResponse({.status = status,
                  .headers = endToEndHeaders(response.headers),
                  .body = std::move(response.body),
                  .reservation = std::move(response.reservation)},
                 "delivered",
                 std::string());
}

void ForwardedCall::refuse(Duration retryAfter, const std::string &reason)
{
    const double seconds = std::chrono::duration<double>(std::max(retryAfter, MinRetryAfter)).count();
    sendResponse({.status = Unavailable, .headers = {{.name = "Retry-After", .value = absl::StrFormat("%.3f", seconds)}}},
                 "refused",
                 reason);
}

void ForwardedCall::fail(int status, const std::string &reason)
{
    sendResponse({.status = status}, "failed", reason);
}

void ForwardedCall::sendResponse(ServerResponse response, const std::string &outcome, const std::string &reason)
{
    m_isDone = true;
    m_deadlineTimer.cancel();
    m_hedgeTimer.cancel();
    const Duration elapsed = ProcessClock::now() - m_request.request.arrival;
    if (findHeader(response.headers, m_environment.dialect.requestId) == nullptr) {
        response.headers.push_back({.name = m_environment.dialect.requestId, .value = m_request.requestId});
    }
    logResponse(response.status, outcome, reason, elapsed);
    m_environment.metrics
        .counter(MetricNames::Requests, {{"service", m_request.service.value()}, {"status", std::to_string(response.status)}})
        .Increment();
    m_environment.metrics.histogram(MetricNames::RequestSeconds, {{"service", m_request.service.value()}})
        .Observe(std::chrono::duration<double>(elapsed).count());
    ResponseHandler handler = std::move(m_responseHandler);
    handler(std::move(response));
}

void ForwardedCall::logResponse(int status, const std::string &outcome, const std::string &reason, Duration elapsed) const
{
    logLine(LogLevel::Info,
            "request answered",
            {{.name = "request", .value = m_request.requestId},
             {.name = "route", .value = m_request.route->name},
             {.name = "routes_version", .value = static_cast<std::int64_t>(m_request.routes->version().value())},
             {.name = "account", .value = m_request.account != nullptr ? m_request.account->name.value() : std::string()},
             {.name = "service", .value = m_request.service.value()},
             {.name = "outcome", .value = outcome},
             {.name = "reason", .value = reason},
             {.name = "status", .value = std::int64_t{status}},
             {.name = "upstream", .value = m_lastAttempt ? m_lastAttempt->placement().upstream.value() : std::string()},
             {.name = "granted_by", .value = m_lastAttempt ? m_lastAttempt->placement().dispatcher.value() : std::string()},
             {.name = "placed_ms", .value = toMilliseconds(m_placementDelay)},
             {.name = "upstream_load", .value = m_lastAttempt ? m_lastAttempt->loadHeader() : std::string()},
             {.name = "attempts", .value = std::int64_t{m_attemptCount}},
             {.name = "elapsed_ms", .value = toMilliseconds(elapsed)},
             {.name = "left_ms", .value = toMilliseconds(timeLeft())}});
}

} // namespace Filbertmount
