#include "instance/attempttelemetry.h"

#include <string>
#include <utility>

namespace Filbertmount {

namespace {

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

AttemptTelemetry::AttemptTelemetry(Metrics &metrics, EventRing &events)
    : m_metrics(metrics)
    , m_events(events)
{
}

prometheus::Counter &AttemptTelemetry::attemptCounter(const ServiceName &service, AttemptOutcome outcome)
{
    const absl::MutexLock lock(&m_mutex);
    prometheus::Counter *&counter = m_attempts[service].at(static_cast<std::size_t>(outcome));
    if (counter == nullptr) {
        counter = &m_metrics.counter(MetricNames::Attempts,
                                     {{"service", service.value()}, {"outcome", std::string(attemptOutcomeName(outcome))}});
    }
    return *counter;
}

void AttemptTelemetry::attemptEnded(const Placement &placement, const AttemptReport &report)
{
    attemptCounter(placement.service, report.outcome).Increment();
    if (report.outcome == AttemptOutcome::Success || report.outcome == AttemptOutcome::Cancelled) {
        return;
    }
    m_events.record({.kind = std::string("attempt.") + std::string(attemptOutcomeName(report.outcome)),
                     .service = placement.service.value(),
                     .request = {},
                     .text = placement.upstream.value()});
}

ClaimHandler AttemptTelemetry::claimHandler(const ServiceName &service, ClaimHandler handler)
{
    return [this, service, next = std::move(handler)](const ClaimResult &result) mutable {
        const std::string decision = decisionName(result.decision);
        m_metrics.counter(MetricNames::Claims, {{"service", service.value()}, {"decision", decision}}).Increment();
        if (result.decision != ClaimDecision::Owned) {
            m_events.record({.kind = "claim." + decision, .service = service.value(), .request = {}, .text = {}});
        }
        next(result);
    };
}

} // namespace Filbertmount
