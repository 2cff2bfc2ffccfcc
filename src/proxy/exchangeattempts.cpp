// The attempts of an exchange: claim, placement, events of the transfers.
#include "proxy/exchange.h"

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// An answer of a stated length up to this is passed on when it is whole. It costs one wake-up instead of two, and
// an upstream that dies within it can be replaced by another one.
constexpr std::int64_t MaxHeldAnswerBytes = AnswerBuffer::HighWaterBytes;

Duration retryAfterOf(const AnswerHead &head)
{
    const std::string *value = findHeader(head.headers, "Retry-After");
    const auto seconds = value == nullptr ? std::nullopt : parseNumber(*value);
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds.value_or(1), 0, 3600));
}

} // namespace

void Exchange::begin()
{
    noteFingerprint();
    if (!m_route.repeatable && findHeader(m_head.headers, "Idempotency-Key") != nullptr) {
        askForClaim();
        return;
    }
    place(false);
}

void Exchange::askForClaim()
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_ports.claims.claim) {
            fail({.status = 503, .detail = "this instance has no store to claim the idempotency key in", .retry = false});
            return;
        }
        ++m_waiting;
    }
    m_ports.claims.claim(
        *m_document, *findHeader(m_head.headers, "Idempotency-Key"), [self = shared_from_this()](const ClaimAnswer &answer) {
            self->claimAnswered(answer);
        });
}

void Exchange::claimAnswered(const ClaimAnswer &answer)
{
    bool owned = false;
    {
        const absl::MutexLock lock(&m_mutex);
        --m_waiting;
        switch (answer.decision) {
        case ClaimDecision::Owned:
            m_claim = answer.id;
            m_dispatchBefore = answer.dispatchBefore;
            owned = !m_problem && !m_callerLeft;
            break;
        case ClaimDecision::AlreadyRun:
            fail({.status = 409,
                  .run = RunState::Ran,
                  .detail = "a request with this idempotency key was answered with status " + std::to_string(answer.status)});
            break;
        case ClaimDecision::OutcomeUnknown:
            fail({.status = 409, .run = RunState::MayHaveRun, .detail = "a request with this idempotency key may have run"});
            break;
        case ClaimDecision::Unavailable:
        case ClaimDecision::Full:
            fail({.status = 503,
                  .detail = answer.decision == ClaimDecision::Full ? "too many idempotency keys are in retention"
                                                                   : "the store cannot record the idempotency key",
                  .retry = true,
                  .retryAfter = std::chrono::seconds(1)});
            break;
        }
    }
    if (owned) {
        place(false);
    }
    settle();
}

void Exchange::askRouter(bool hedge, const CrashTicket &ticket)
{
    PlacementQuery query{.service = m_document->service, .priority = m_route.priority, .deadline = m_deadline, .isHedge = hedge};
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_waiting;
        query.excluded = m_used;
    }
    m_ports.router.place(query, [self = shared_from_this(), hedge, ticket](PlacementResult result) {
        self->placed(std::move(result), hedge, ticket);
    });
}

void Exchange::placed(PlacementResult result, bool hedge, const CrashTicket &ticket)
{
    bool again = false;
    bool started = false;
    std::optional<Placement> unused;
    {
        const absl::MutexLock lock(&m_mutex);
        --m_waiting;
        if (const auto *refusal = std::get_if<PlacementRefusal>(&result)) {
            again = placementRefused(*refusal, hedge);
        } else if (m_problem || m_callerLeft || m_winner != nullptr || !m_body.replayable()) {
            unused = std::get<Placement>(std::move(result));
        } else {
            startAttempt(std::get<Placement>(std::move(result)), ticket);
            started = true;
        }
    }
    if (!started) {
        endTicket(ticket);
    }
    if (unused) {
        m_ports.router.release(*unused, {.outcome = AttemptOutcome::Unused});
    }
    if (again) {
        place(false);
    }
    settle();
}

bool Exchange::placementRefused(const PlacementRefusal &refusal, bool hedge)
{
    if (!m_attempts.empty() || m_waiting > 0 || m_problem || m_winner != nullptr || m_callerLeft) {
        return false;
    }
    if (hedge) {
        return true; // The first attempt failed meanwhile; the attempt that was counted for the hedge becomes its retry.
    }
    // A service that has only upstreams which failed once is still better served by one of them.
    if (refusal.reason == RefusalReason::NoUpstream && !m_used.empty()) {
        m_used.clear();
        return true;
    }
    if (m_lastFailure) {
        fail(*m_lastFailure);
        return false;
    }
    const bool late = refusal.reason == RefusalReason::DeadlineTooShort;
    const char *detail = late ? "the deadline is too short for the queue"
        : refusal.reason == RefusalReason::QueueFull || refusal.reason == RefusalReason::Shed
        ? "the service is overloaded"
        : "the service has no usable upstream";
    fail({.status = late ? 504 : 503, .run = m_run, .detail = detail, .retry = true, .retryAfter = refusal.retryAfter});
    return false;
}

void Exchange::startAttempt(Placement placement, const CrashTicket &ticket)
{
    m_used.push_back(placement.upstream);
    auto attempt = std::make_shared<Attempt>(shared_from_this(), std::move(placement));
    attempt->ticket = ticket;
    m_attempts.push_back(attempt);
    attempt->transfer = m_ports.client.start(transferRequest(attempt->placement), attempt);
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
            .slowAfter = mayHedge ? m_ports.router.hedgeDelay(m_document->service) : std::nullopt};
}

std::optional<Problem> Exchange::tooLateToSend(Instant now) const
{
    if (now >= m_deadline) {
        return Problem{.status = 504, .run = m_run, .detail = "the deadline passed before the request was sent", .retry = true};
    }
    if (now >= m_dispatchBefore) {
        return Problem{.status = 503, .run = m_run, .detail = "the claim of the idempotency key is too old", .retry = true};
    }
    return std::nullopt;
}

Intake Exchange::attemptSending(Attempt &attempt)
{
    const absl::MutexLock lock(&m_mutex);
    const Instant now = ProcessClock::now();
    if (std::optional<Problem> late = tooLateToSend(now)) {
        m_lastFailure = std::move(late);
        return Intake::Stop;
    }
    if (m_problem || m_callerLeft || m_winner != nullptr) {
        return Intake::Stop;
    }
    attempt.sentAt = now;
    return Intake::Taken;
}

BodyRead Exchange::attemptBody(Attempt &attempt, std::span<char> buffer)
{
    const absl::MutexLock lock(&m_mutex);
    const std::size_t size = m_body.read(attempt.bodyOffset, buffer);
    attempt.bodyOffset += size;
    if (size > 0) {
        wake();
        return {.intake = Intake::Taken, .size = size};
    }
    if (m_body.finished()) {
        return {.intake = Intake::Taken, .size = 0};
    }
    if (m_callerLeft || m_problem) {
        return {.intake = Intake::Stop}; // The rest of the body will never come.
    }
    attempt.waitsForBody = true;
    return {.intake = Intake::Pause};
}

Intake Exchange::attemptHead(Attempt &attempt, AnswerHead head)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_problem || m_winner != nullptr) {
        return Intake::Stop;
    }
    attempt.status = head.status;
    attempt.refusal = documentedRefusal(head);
    if (attempt.refusal) {
        attempt.refusedFor = retryAfterOf(head);
        return Intake::Stop;
    }
    attempt.retryTaken = wantsRetryFor(head);
    if (attempt.retryTaken) {
        return Intake::Stop;
    }
    m_winner = &attempt;
    m_answerHead = std::move(head);
    m_answerStatus = m_answerHead.status;
    m_answerHead.headers = endToEndHeaders(m_answerHead.headers);
    cancelAttempts(&attempt);
    const bool held = m_answerHead.contentLength && *m_answerHead.contentLength <= MaxHeldAnswerBytes;
    if (!held) {
        m_headReady = true;
        wake();
    }
    return Intake::Taken;
}

bool Exchange::wantsRetryFor(const AnswerHead &head)
{
    const bool transient = head.status >= 502 && head.status <= 504;
    if (!transient || !m_retries.repeatable()) {
        return false;
    }
    m_retries.limitTo(retriesLeftOf(head.headers));
    return m_attempts.size() == 1 && takeRetry(false);
}

Intake Exchange::attemptData(Attempt &attempt, std::string_view data)
{
    const absl::MutexLock lock(&m_mutex);
    if (&attempt != m_winner) {
        return Intake::Stop;
    }
    if (m_callerLeft) {
        return Intake::Taken; // Only the outcome still matters.
    }
    if (m_answer.full()) {
        attempt.waitsForCaller = true;
        return Intake::Pause;
    }
    m_answer.append(data);
    if (m_headReady) {
        wake();
    }
    return Intake::Taken;
}

void Exchange::attemptSlow()
{
    {
        const absl::MutexLock lock(&m_mutex);
        const bool answered = m_problem || m_callerLeft || m_winner != nullptr;
        if (answered || m_hedged || m_attempts.size() != 1 || m_waiting > 0 || !m_retries.mayRetry(false)) {
            return;
        }
        if (!m_ports.router.takeHedge(m_document->service)) {
            return;
        }
        m_hedged = true;
        m_retries.extraAttempt();
    }
    place(true);
}

void Exchange::attemptEnded(Attempt &attempt, const TransferEnd &end)
{
    bool again = false;
    {
        const absl::MutexLock lock(&m_mutex);
        std::erase_if(m_attempts, [&](const std::shared_ptr<Attempt> &other) {
            return other.get() == &attempt;
        });
        if (!attempt.notRun(end)) {
            m_run = std::max(m_run, RunState::MayHaveRun);
        }
        again = &attempt == m_winner ? winnerEnded(attempt, end) : attemptFailed(attempt, end);
    }
    const AttemptReport report = attempt.report(end, ProcessClock::now());
    m_ports.router.release(attempt.placement, report);
    if (m_ports.attemptEnded) {
        m_ports.attemptEnded(attempt.placement, report);
    }
    judgeCrash(attempt, end);
    if (again) {
        place(false);
    }
    settle();
}

bool Exchange::winnerEnded(const Attempt &attempt, const TransferEnd &end)
{
    if (end.result == TransferResult::Complete) {
        m_answerProgress = Progress::Whole;
        m_headReady = true;
        wake();
        return false;
    }
    if (m_headReady) {
        m_answerProgress = Progress::Broken;
        wake();
        return false;
    }
    // Nothing was passed on yet.
    m_winner = nullptr;
    m_answer.clear();
    return attemptFailed(attempt, end);
}

bool Exchange::attemptFailed(const Attempt &attempt, const TransferEnd &end)
{
    if (m_problem || m_winner != nullptr || m_callerLeft) {
        return false;
    }
    if (!m_lastFailure || attempt.sentAt) {
        m_lastFailure = problemOf(attempt, end);
    }
    if (!m_attempts.empty() || m_waiting > 0) {
        return false; // Another attempt may still answer.
    }
    if (attempt.retryTaken || takeRetry(attempt.notRun(end))) {
        return true;
    }
    fail(*m_lastFailure);
    return false;
}

bool Exchange::takeRetry(bool notRun)
{
    const bool possible = m_retries.mayRetry(notRun) && m_body.replayable() && !tooLateToSend(ProcessClock::now())
        && m_ports.router.takeRetry(m_document->service);
    if (possible) {
        m_retries.extraAttempt();
    }
    return possible;
}

Problem Exchange::problemOf(const Attempt &attempt, const TransferEnd &end) const
{
    const bool retry = m_run == RunState::NotRun || m_route.repeatable;
    if (attempt.refusal) {
        return {.status = 503,
                .run = m_run,
                .detail = "the upstream refused the request",
                .retry = retry,
                .retryAfter = attempt.refusedFor};
    }
    if (end.result == TransferResult::TimedOut) {
        return {.status = 504, .run = m_run, .detail = "the upstream did not answer in time", .retry = retry};
    }
    if (attempt.status >= 502) {
        return {.status = attempt.status, .run = m_run, .detail = "the upstream answered with an error", .retry = retry};
    }
    return {.status = 502, .run = m_run, .detail = "upstream: " + end.reason, .retry = retry};
}

void Exchange::settle()
{
    std::optional<ClaimId> claim;
    bool ran = false;
    int status = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        const bool over = m_problem || m_callerLeft || m_answerProgress != Progress::Open;
        if (!m_claim || !over || !m_attempts.empty() || m_waiting > 0) {
            return;
        }
        claim = std::exchange(m_claim, std::nullopt);
        ran = m_answerProgress == Progress::Whole;
        status = m_answerStatus;
        if (!ran && m_run != RunState::NotRun) {
            return; // The claim stays and says that the request may have run.
        }
    }
    if (ran) {
        m_ports.claims.complete(*claim, status);
    } else {
        m_ports.claims.release(*claim);
    }
}

} // namespace Filbertmount
