#include "instance/attempttelemetry.h"

#include <utility>

namespace Filbertmount {

namespace {

const char *outcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Success:
        return "success";
    case AttemptOutcome::ServerError:
        return "server-error";
    case AttemptOutcome::RefusedDraining:
        return "refused-draining";
    case AttemptOutcome::RefusedShedding:
        return "refused-shedding";
    case AttemptOutcome::RefusedStarting:
        return "refused-starting";
    case AttemptOutcome::ConnectFailed:
        return "connect-failed";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    case AttemptOutcome::Unused:
        return "unused";
    }
    return "unknown";
}

const char *decisionName(ClaimDecision decision)
{
    switch (decision) {
    case ClaimDecision::Owned:
        return "owned";
    case ClaimDecision::AlreadyRun:
        return "already-run";
    case ClaimDecision::OutcomeUnknown:
        return "outcome-unknown";
    case ClaimDecision::Unavailable:
        return "unavailable";
    case ClaimDecision::Full:
        return "full";
    }
    return "unknown";
}

} // namespace

void recordAttempt(Metrics &metrics, EventRing &events, const Placement &placement, const AttemptReport &report)
{
    const std::string outcome = outcomeName(report.outcome);
    metrics.counter(MetricNames::Attempts, {{"service", placement.service.value()}, {"outcome", outcome}}).Increment();
    if (report.outcome == AttemptOutcome::Success || report.outcome == AttemptOutcome::Cancelled) {
        return;
    }
    events.record(
        {.kind = "attempt." + outcome, .service = placement.service.value(), .request = {}, .text = placement.upstream.value()});
}

ClaimHandler recordClaim(Metrics &metrics, EventRing &events, const ServiceName &service, ClaimHandler handler)
{
    return [&metrics, &events, service, next = std::move(handler)](const ClaimAnswer &answer) mutable {
        const std::string decision = decisionName(answer.decision);
        metrics.counter(MetricNames::Claims, {{"service", service.value()}, {"decision", decision}}).Increment();
        if (answer.decision != ClaimDecision::Owned) {
            events.record({.kind = "claim." + decision, .service = service.value(), .request = {}, .text = {}});
        }
        next(answer);
    };
}

} // namespace Filbertmount
