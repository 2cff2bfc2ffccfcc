#pragma once

#include <filbertmount/claims/claimservice.h>
#include <filbertmount/routing/placement.h>
#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/telemetry/metrics.h>

namespace Filbertmount {

/** Counts an attempt; one that did not succeed also becomes an event. */
void recordAttempt(Metrics &metrics, EventRing &events, const Placement &placement, const AttemptReport &report);

/** Returns a handler that counts the decision, records it as an event and passes it to @p handler. */
ClaimHandler recordClaim(Metrics &metrics, EventRing &events, const ServiceName &service, ClaimHandler handler);

} // namespace Filbertmount
