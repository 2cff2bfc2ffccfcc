// The part of Exchange that makes attempts: claims, placements and events of the transfers.
#include "proxy/exchange.h"

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// A response with a Content-Length up to this is forwarded only when it is complete. That resumes the caller's connection
// once instead of twice, and the request can be retried if the upstream fails in the middle of the response.
constexpr std::int64_t MaxWithheldResponseBytes = ResponseBuffer::HighWaterBytes;

Duration retryAfterOf(const ResponseHead &head)
{
    const std::string *value = findHeader(head.headers, "Retry-After");
    const auto seconds = value == nullptr ? std::nullopt : parseNumber(*value);
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds.value_or(1), 0, 3600));
}

} // namespace

void Exchange::start()
{
    computeFingerprint();
    if (!m_route.repeatable && findHeader(m_head.headers, "Idempotency-Key") != nullptr) {
        requestClaim();
        return;
    }
    startPlacement(false);
}

void Exchange::requestClaim()
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_dependencies.claims.claim) {
            fail({.status = 503, .detail = "this instance has no store to record idempotency keys in", .retry = false});
            return;
        }
        ++m_pendingDecisions;
    }
    m_dependencies.claims.claim(
        *m_document, *findHeader(m_head.headers, "Idempotency-Key"), [self = shared_from_this()](const ClaimResult &result) {
            self->claimDecided(result);
        });
}

void Exchange::claimDecided(const ClaimResult &result)
{
    bool owned = false;
    {
        const absl::MutexLock lock(&m_mutex);
        --m_pendingDecisions;
        switch (result.decision) {
        case ClaimDecision::Owned:
            m_claim = result.id;
            m_dispatchBefore = result.dispatchBefore;
            owned = !m_problem && !m_callerGone;
            break;
        case ClaimDecision::AlreadyRun:
            fail({.status = 409,
                  .run = RunState::Ran,
                  .detail = "a request with this idempotency key was answered with status " + std::to_string(result.status)});
            break;
        case ClaimDecision::OutcomeUnknown:
            fail({.status = 409, .run = RunState::MayHaveRun, .detail = "a request with this idempotency key may have run"});
            break;
        case ClaimDecision::Unavailable:
        case ClaimDecision::Full:
            fail({.status = 503,
                  .detail = result.decision == ClaimDecision::Full ? "the limit of retained idempotency keys is reached"
                                                                   : "the store cannot record the idempotency key",
                  .retry = true,
                  .retryAfter = std::chrono::seconds(1)});
            break;
        }
    }
    if (owned) {
        startPlacement(false);
    }
    settleClaim();
}

void Exchange::requestPlacement(bool hedge, const CrashTicket &ticket)
{
    PlacementQuery query{.service = m_document->service, .priority = m_route.priority, .deadline = m_deadline, .isHedge = hedge};
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_pendingDecisions;
        query.excluded = m_triedUpstreams;
    }
    m_dependencies.router.place(query, [self = shared_from_this(), hedge, ticket](PlacementResult result) {
        self->placementDecided(std::move(result), hedge, ticket);
    });
}

void Exchange::placementDecided(PlacementResult result, bool hedge, const CrashTicket &ticket)
{
    bool placeAgain = false;
    bool started = false;
    std::optional<Placement> unused;
    {
        const absl::MutexLock lock(&m_mutex);
        --m_pendingDecisions;
        if (const auto *refusal = std::get_if<PlacementRefusal>(&result)) {
            placeAgain = placementRefused(*refusal, hedge);
        } else if (m_problem || m_callerGone || m_winner != nullptr || !m_body.replayable()) {
            unused = std::get<Placement>(std::move(result));
        } else {
            startAttempt(std::get<Placement>(std::move(result)), ticket);
            started = true;
        }
    }
    if (!started) {
        releaseTicket(ticket);
    }
    if (unused) {
        m_dependencies.router.release(*unused, {.outcome = AttemptOutcome::Unused});
    }
    if (placeAgain) {
        startPlacement(false);
    }
    settleClaim();
}

bool Exchange::placementRefused(const PlacementRefusal &refusal, bool hedge)
{
    if (!m_attempts.empty() || m_pendingDecisions > 0 || m_problem || m_winner != nullptr || m_callerGone) {
        return false;
    }
    if (hedge) {
        return true; // The first attempt failed in the meantime: the attempt counted for the hedge is used to retry.
    }
    // If every upstream was tried already, trying one of them again is better than failing the request.
    if (refusal.reason == RefusalReason::NoUpstream && !m_triedUpstreams.empty()) {
        m_triedUpstreams.clear();
        return true;
    }
    if (m_lastFailure) {
        fail(*m_lastFailure);
        return false;
    }
    const bool late = refusal.reason == RefusalReason::DeadlineTooShort;
    const char *detail = late ? "the deadline would pass while the request waits in the queue"
        : refusal.reason == RefusalReason::QueueFull || refusal.reason == RefusalReason::Shed
        ? "the service is overloaded"
        : "the service has no available upstream";
    fail({.status = late ? 504 : 503, .run = m_runState, .detail = detail, .retry = true, .retryAfter = refusal.retryAfter});
    return false;
}

void Exchange::startAttempt(Placement placement, const CrashTicket &ticket)
{
    m_triedUpstreams.push_back(placement.upstream);
    auto attempt = std::make_shared<Attempt>(shared_from_this(), std::move(placement));
    attempt->ticket = ticket;
    m_attempts.push_back(attempt);
    attempt->transfer = m_dependencies.client.start(transferRequest(attempt->placement), attempt);
}

TransferRequest Exchange::transferRequest(const Placement &placement)
{
    const Duration timeLeft = m_deadline - ProcessClock::now();
    CallContext context = m_context;
    context.retriesLeft = m_retries.retriesLeft();
    RequestHead head{.method = m_head.method,
                     .target = m_head.target,
                     .headers = forwardedHeaders(m_head.headers, context, timeLeft),
                     .contentLength = m_head.contentLength};
    if (m_body.finished() && m_body.replayable()) {
        head.contentLength = static_cast<std::int64_t>(m_body.size());
    }
    const bool mayHedge = !m_hedged && m_retries.mayRetry(false) && m_body.finished() && m_body.replayable();
    return {.address = placement.address,
            .head = std::move(head),
            .freshConnection = !m_route.repeatable,
            .timeout = timeLeft,
            .slowAfter = mayHedge ? m_dependencies.router.hedgeDelay(m_document->service) : std::nullopt};
}

std::optional<Problem> Exchange::tooLateToSend(Instant now) const
{
    if (now >= m_deadline) {
        return Problem{
            .status = 504, .run = m_runState, .detail = "the deadline passed before the request was sent", .retry = true};
    }
    if (now >= m_dispatchBefore) {
        return Problem{.status = 503,
                       .run = m_runState,
                       .detail = "the claim of the idempotency key expired before the request was sent",
                       .retry = true};
    }
    return std::nullopt;
}

FlowControl Exchange::beforeAttemptSend(Attempt &attempt)
{
    const absl::MutexLock lock(&m_mutex);
    const Instant now = ProcessClock::now();
    if (std::optional<Problem> late = tooLateToSend(now)) {
        m_lastFailure = std::move(late);
        return FlowControl::Cancel;
    }
    if (m_problem || m_callerGone || m_winner != nullptr) {
        return FlowControl::Cancel;
    }
    attempt.sentAt = now;
    return FlowControl::Continue;
}

BodyReadResult Exchange::readRequestBody(Attempt &attempt, std::span<char> buffer)
{
    const absl::MutexLock lock(&m_mutex);
    const std::size_t size = m_body.read(attempt.bodyOffset, buffer);
    attempt.bodyOffset += size;
    if (size > 0) {
        resumeCaller();
        return {.control = FlowControl::Continue, .size = size};
    }
    if (m_body.finished()) {
        return {.control = FlowControl::Continue, .size = 0};
    }
    if (m_callerGone || m_problem) {
        return {.control = FlowControl::Cancel}; // The rest of the body will not arrive.
    }
    attempt.waitsForBody = true;
    return {.control = FlowControl::Pause};
}

FlowControl Exchange::responseHeadReceived(Attempt &attempt, ResponseHead head)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_problem || m_winner != nullptr) {
        return FlowControl::Cancel;
    }
    attempt.status = head.status;
    attempt.refusal = documentedRefusal(head);
    if (attempt.refusal) {
        attempt.retryAfterRefusal = retryAfterOf(head);
        return FlowControl::Cancel;
    }
    attempt.retryReserved = reserveRetryFor(head);
    if (attempt.retryReserved) {
        return FlowControl::Cancel;
    }
    m_winner = &attempt;
    m_responseHead = std::move(head);
    m_responseStatus = m_responseHead.status;
    m_responseHead.headers = endToEndHeaders(m_responseHead.headers);
    cancelAttempts(&attempt);
    const bool withheld = m_responseHead.contentLength && *m_responseHead.contentLength <= MaxWithheldResponseBytes;
    if (!withheld) {
        m_headReady = true;
        resumeCaller();
    }
    return FlowControl::Continue;
}

bool Exchange::reserveRetryFor(const ResponseHead &head)
{
    const bool transient = head.status >= 502 && head.status <= 504;
    if (!transient || !m_retries.repeatable()) {
        return false;
    }
    m_retries.limitRetriesLeft(retriesLeftOf(head.headers));
    return m_attempts.size() == 1 && reserveRetry(false);
}

FlowControl Exchange::responseBodyReceived(Attempt &attempt, std::string_view data)
{
    const absl::MutexLock lock(&m_mutex);
    if (&attempt != m_winner) {
        return FlowControl::Cancel;
    }
    if (m_callerGone) {
        return FlowControl::Continue; // The body is discarded; only the outcome is still needed.
    }
    if (m_responseBuffer.full()) {
        attempt.waitsForCaller = true;
        return FlowControl::Pause;
    }
    m_responseBuffer.append(data);
    if (m_headReady) {
        resumeCaller();
    }
    return FlowControl::Continue;
}

void Exchange::attemptSlow()
{
    {
        const absl::MutexLock lock(&m_mutex);
        const bool finished = m_problem || m_callerGone || m_winner != nullptr;
        if (finished || m_hedged || m_attempts.size() != 1 || m_pendingDecisions > 0 || !m_retries.mayRetry(false)) {
            return;
        }
        if (!m_dependencies.router.takeHedge(m_document->service)) {
            return;
        }
        m_hedged = true;
        m_retries.countExtraAttempt();
    }
    startPlacement(true);
}

void Exchange::attemptEnded(Attempt &attempt, const TransferEnd &end)
{
    bool placeAgain = false;
    {
        const absl::MutexLock lock(&m_mutex);
        std::erase_if(m_attempts, [&](const std::shared_ptr<Attempt> &other) {
            return other.get() == &attempt;
        });
        if (!attempt.notRun(end)) {
            m_runState = std::max(m_runState, RunState::MayHaveRun);
        }
        placeAgain = &attempt == m_winner ? winnerEnded(attempt, end) : attemptFailed(attempt, end);
    }
    const AttemptReport report = attempt.report(end, ProcessClock::now());
    m_dependencies.router.release(attempt.placement, report);
    if (m_dependencies.attemptEnded) {
        m_dependencies.attemptEnded(attempt.placement, report);
    }
    reportToCrashGuard(attempt, end);
    if (placeAgain) {
        startPlacement(false);
    }
    settleClaim();
}

bool Exchange::winnerEnded(const Attempt &attempt, const TransferEnd &end)
{
    if (end.result == TransferResult::Complete) {
        m_responseProgress = ResponseProgress::Complete;
        m_headReady = true;
        resumeCaller();
        return false;
    }
    if (m_headReady) {
        m_responseProgress = ResponseProgress::Truncated;
        resumeCaller();
        return false;
    }
    // Nothing was forwarded to the caller yet, so another attempt may still replace this one.
    m_winner = nullptr;
    m_responseBuffer.clear();
    return attemptFailed(attempt, end);
}

bool Exchange::attemptFailed(const Attempt &attempt, const TransferEnd &end)
{
    if (m_problem || m_winner != nullptr || m_callerGone) {
        return false;
    }
    if (!m_lastFailure || attempt.sentAt) {
        m_lastFailure = problemFor(attempt, end);
    }
    if (!m_attempts.empty() || m_pendingDecisions > 0) {
        return false; // Another attempt may still succeed.
    }
    if (attempt.retryReserved || reserveRetry(attempt.notRun(end))) {
        return true;
    }
    fail(*m_lastFailure);
    return false;
}

bool Exchange::reserveRetry(bool notRun)
{
    const bool possible = m_retries.mayRetry(notRun) && m_body.replayable() && !tooLateToSend(ProcessClock::now())
        && m_dependencies.router.takeRetry(m_document->service);
    if (possible) {
        m_retries.countExtraAttempt();
    }
    return possible;
}

Problem Exchange::problemFor(const Attempt &attempt, const TransferEnd &end) const
{
    const bool retry = m_runState == RunState::NotRun || m_route.repeatable;
    if (attempt.refusal) {
        return {.status = 503,
                .run = m_runState,
                .detail = "the upstream refused the request",
                .retry = retry,
                .retryAfter = attempt.retryAfterRefusal};
    }
    if (end.result == TransferResult::TimedOut) {
        return {.status = 504, .run = m_runState, .detail = "the upstream did not respond in time", .retry = retry};
    }
    if (attempt.status >= 502) {
        return {.status = attempt.status, .run = m_runState, .detail = "the upstream responded with an error", .retry = retry};
    }
    return {.status = 502, .run = m_runState, .detail = "upstream: " + end.reason, .retry = retry};
}

void Exchange::settleClaim()
{
    std::optional<ClaimId> claim;
    bool ran = false;
    int status = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        const bool finished = m_problem || m_callerGone || m_responseProgress != ResponseProgress::Incomplete;
        if (!m_claim || !finished || !m_attempts.empty() || m_pendingDecisions > 0) {
            return;
        }
        claim = std::exchange(m_claim, std::nullopt);
        ran = m_responseProgress == ResponseProgress::Complete;
        status = m_responseStatus;
        if (!ran && m_runState != RunState::NotRun) {
            return; // The claim is kept: it records that the request may have run.
        }
    }
    if (ran) {
        m_dependencies.claims.complete(*claim, status);
    } else {
        m_dependencies.claims.release(*claim);
    }
}

} // namespace Filbertmount
