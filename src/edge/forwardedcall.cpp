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
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(50);
constexpr Duration QuarantineTime = std::chrono::minutes(10);
constexpr Duration RetryAfterBusy = std::chrono::seconds(1);

CrashFingerprint fingerprintOf(const RoutedRequest &request)
{
    const ServerRequest &text = request.request;
    std::string bodyHash;
    if (!text.body.empty()) {
        const Sha256Digest digest = sha256(text.body);
        bodyHash.assign(digest.begin(), digest.end());
    }
    return crashFingerprint(request.service, text.method, text.target, bodyHash);
}

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
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
    }
    return "unknown";
}

} // namespace

ForwardedCall::ForwardedCall(CallEnvironment &context, RoutedRequest request, AnswerHandler answer)
    : m_context(context)
    , m_request(std::move(request))
    , m_answer(std::move(answer))
    , m_deadlineTimer(context.loop)
    , m_hedgeTimer(context.loop)
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
    admit(Purpose::Answer);
}

void ForwardedCall::admit(Purpose purpose)
{
    m_context.crashes.admit(m_request.service,
                            m_fingerprint,
                            [self = shared_from_this(), purpose](CrashAdmission admission, const CrashTicket &ticket) {
                                self->onAdmission(admission, ticket, purpose);
                            });
}

void ForwardedCall::onAdmission(CrashAdmission admission, const CrashTicket &ticket, Purpose purpose)
{
    const bool isAdmitted = admission == CrashAdmission::Run;
    if (m_isDone && isAdmitted) {
        m_context.crashes.ended(ticket);
    }
    if (m_isDone) {
        return;
    }
    if (isAdmitted) {
        place(ticket, purpose);
    } else if (purpose == Purpose::Hedge) {
        giveHedgeUp();
    } else {
        refuseSuspect(admission);
    }
}

void ForwardedCall::refuseSuspect(CrashAdmission admission)
{
    const bool isBusy = admission == CrashAdmission::Busy;
    const std::string reason = isBusy ? "too many like one that crashed an upstream" : "crashes upstreams";
    m_context.metrics.counter(MetricNames::Quarantined, {{"service", m_request.service.value()}}).Increment();
    if (m_mayHaveRun) {
        fail(BadGateway, reason);
    } else {
        refuse(isBusy ? RetryAfterBusy : QuarantineTime, reason);
    }
}

void ForwardedCall::place(const CrashTicket &ticket, Purpose purpose)
{
    m_context.router.place({.service = m_request.service,
                            .priority = m_request.priority,
                            .deadline = m_request.deadline,
                            .objective = m_request.objective,
                            .excluded = m_tried,
                            .hedge = purpose == Purpose::Hedge},
                           [self = shared_from_this(), ticket, purpose](PlacementResult result) {
                               self->onPlacement(std::move(result), ticket, purpose);
                           });
}

void ForwardedCall::onPlacement(PlacementResult result, const CrashTicket &ticket, Purpose purpose)
{
    const auto *refusal = std::get_if<PlacementRefusal>(&result);
    if (refusal != nullptr || m_isDone) {
        m_context.crashes.ended(ticket);
    }
    if (refusal == nullptr && m_isDone) {
        m_context.router.release(std::get<Placement>(result), {.outcome = AttemptOutcome::Unused});
    }
    if (m_isDone) {
        return;
    }
    if (refusal == nullptr) {
        m_isPlacingHedge = m_isPlacingHedge && purpose != Purpose::Hedge;
        send(std::get<Placement>(result), ticket);
        return;
    }
    if (purpose == Purpose::Hedge) {
        giveHedgeUp();
        return;
    }
    const std::string reason(refusalName(refusal->reason));
    if (m_mayHaveRun) {
        fail(BadGateway, "retry refused: " + reason);
    } else {
        refuse(refusal->retryAfter, reason);
    }
}

void ForwardedCall::send(const Placement &placement, const CrashTicket &ticket)
{
    if (timeLeft() <= Duration::zero()) {
        m_context.crashes.ended(ticket);
        m_context.router.release(placement, {.outcome = AttemptOutcome::Unused});
        onDeadline();
        return;
    }
    ++m_attempts;
    m_tried.push_back(placement.upstream);
    m_last = std::make_shared<UpstreamAttempt>(m_context, m_request, placement, ticket, m_attempts);
    m_running.push_back(m_last);
    m_placedAfter = ProcessClock::now() - m_request.request.arrival;
    waitForHedge();
    m_last->send(
        [self = shared_from_this()](const std::shared_ptr<UpstreamAttempt> &attempt, AttemptEnd end, ExchangeResult result) {
            self->onAttemptEnd(attempt, end, std::move(result));
        });
}

void ForwardedCall::waitForHedge()
{
    const ForwardRoute &route = *m_request.route;
    if (!route.isRepeatable || m_hasHedged || m_attempts >= route.maxAttempts) {
        return;
    }
    const Duration delay = m_context.times.hedgeDelay(route, m_request.objective - ProcessClock::now());
    if (delay >= timeLeft()) {
        return;
    }
    m_hedgeTimer.start(delay, [weak = weak_from_this()] {
        const std::shared_ptr<ForwardedCall> self = weak.lock();
        if (self) {
            self->hedge();
        }
    });
}

void ForwardedCall::hedge()
{
    const bool isStillAlone = !m_isDone && m_running.size() == 1 && m_attempts < m_request.route->maxAttempts;
    if (!isStillAlone || m_hasHedged || !m_context.router.takeRetryForHedge(m_request.service)) {
        return;
    }
    m_hasHedged = true;
    m_isPlacingHedge = true;
    logLine(LogLevel::Info,
            "a second attempt is made beside a slow one",
            {{.name = "request", .value = m_request.attemptId},
             {.name = "service", .value = m_request.service.value()},
             {.name = "upstream", .value = m_tried.back().value()},
             {.name = "elapsed_ms", .value = toMilliseconds(ProcessClock::now() - m_request.request.arrival)}});
    admit(Purpose::Hedge);
}

void ForwardedCall::giveHedgeUp()
{
    m_isPlacingHedge = false;
    m_context.router.refundRetry(m_request.service);
    if (m_endBesideHedge) {
        auto [end, result] = std::move(*m_endBesideHedge);
        m_endBesideHedge.reset();
        follow(end, std::move(result));
    }
}

void ForwardedCall::onAttemptEnd(const std::shared_ptr<UpstreamAttempt> &attempt, AttemptEnd end, ExchangeResult result)
{
    std::erase(m_running, attempt);
    if (m_isDone) {
        return;
    }
    m_last = attempt;
    if (end == AttemptEnd::Answered) {
        cancelAttempts(AttemptOutcome::Cancelled);
        deliver(std::move(result.answer));
        return;
    }
    if (m_isPlacingHedge) {
        m_endBesideHedge = {end, std::move(result)};
        return;
    }
    if (!m_running.empty()) {
        // The other attempt may still give an answer.
        m_mayHaveRun = m_mayHaveRun || mayHaveRunAfter(end);
        return;
    }
    follow(end, std::move(result));
}

void ForwardedCall::follow(AttemptEnd end, ExchangeResult result)
{
    const RemainingEffort effort{.isRepeatable = m_request.route->isRepeatable,
                                 .attempts = m_request.route->maxAttempts - m_attempts,
                                 .timeLeft = timeLeft()};
    NextStep step = nextStep(end, effort, m_mayHaveRun);
    if (step == NextStep::Retry && !m_context.router.takeRetry(m_request.service)) {
        step = nextStepWithoutRetry(end, m_mayHaveRun);
    }
    m_mayHaveRun = m_mayHaveRun || mayHaveRunAfter(end);
    switch (step) {
    case NextStep::Retry:
        admit(Purpose::Answer);
        return;
    case NextStep::Deliver:
        deliver(std::move(result.answer));
        return;
    case NextStep::RefuseNotRun:
        refuse(ShortestRetryAfter, std::string(attemptEndName(end)));
        return;
    case NextStep::FailMayHaveRun:
        fail(BadGateway, std::string(attemptEndName(end)));
        return;
    case NextStep::FailTimedOut:
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
    if (wasSent || m_mayHaveRun || m_endBesideHedge) {
        fail(GatewayTimeout, "deadline");
    } else {
        refuse(ShortestRetryAfter, "deadline");
    }
}

std::size_t ForwardedCall::cancelAttempts(AttemptOutcome outcome)
{
    const auto running = std::exchange(m_running, {});
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
            {{.name = "request", .value = m_request.attemptId},
             {.name = "service", .value = m_request.service.value()},
             {.name = "was_sent", .value = wasSent},
             {.name = "waited_ms", .value = toMilliseconds(ProcessClock::now() - m_request.request.arrival)}});
    m_answer = nullptr;
}

void ForwardedCall::deliver(ClientAnswer answer)
{
    const int status = answer.status;
    answerWith({.status = status, .headers = endToEndHeaders(answer.headers), .body = std::move(answer.body)},
               "delivered",
               std::string());
}

void ForwardedCall::refuse(Duration retryAfter, const std::string &reason)
{
    const double seconds = std::chrono::duration<double>(std::max(retryAfter, ShortestRetryAfter)).count();
    answerWith({.status = Unavailable, .headers = {{.name = "Retry-After", .value = absl::StrFormat("%.3f", seconds)}}},
               "refused",
               reason);
}

void ForwardedCall::fail(int status, const std::string &reason)
{
    answerWith({.status = status}, "failed", reason);
}

void ForwardedCall::answerWith(ServerAnswer answer, const std::string &outcome, const std::string &reason)
{
    m_isDone = true;
    m_deadlineTimer.cancel();
    m_hedgeTimer.cancel();
    const Duration elapsed = ProcessClock::now() - m_request.request.arrival;
    if (findHeader(answer.headers, m_context.dialect.attemptId) == nullptr) {
        answer.headers.push_back({.name = m_context.dialect.attemptId, .value = m_request.attemptId});
    }
    logAnswer(answer.status, outcome, reason, elapsed);
    m_context.metrics
        .counter(MetricNames::Requests, {{"service", m_request.service.value()}, {"status", std::to_string(answer.status)}})
        .Increment();
    m_context.metrics.histogram(MetricNames::RequestSeconds, {{"service", m_request.service.value()}})
        .Observe(std::chrono::duration<double>(elapsed).count());
    AnswerHandler handler = std::move(m_answer);
    handler(std::move(answer));
}

void ForwardedCall::logAnswer(int status, const std::string &outcome, const std::string &reason, Duration elapsed) const
{
    logLine(LogLevel::Info,
            "request answered",
            {{.name = "request", .value = m_request.attemptId},
             {.name = "route", .value = m_request.route->name},
             {.name = "routes_version", .value = static_cast<std::int64_t>(m_request.routes->version().value())},
             {.name = "service", .value = m_request.service.value()},
             {.name = "outcome", .value = outcome},
             {.name = "reason", .value = reason},
             {.name = "status", .value = std::int64_t{status}},
             {.name = "upstream", .value = m_last ? m_last->placement().upstream.value() : std::string()},
             {.name = "granted_by", .value = m_last ? m_last->placement().dispatcher.value() : std::string()},
             {.name = "placed_ms", .value = toMilliseconds(m_placedAfter)},
             {.name = "upstream_load", .value = m_last ? m_last->statedLoad() : std::string()},
             {.name = "attempts", .value = std::int64_t{m_attempts}},
             {.name = "elapsed_ms", .value = toMilliseconds(elapsed)},
             {.name = "left_ms", .value = toMilliseconds(timeLeft())}});
}

} // namespace Filbertmount
