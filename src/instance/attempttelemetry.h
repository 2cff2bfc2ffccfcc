#pragma once

#include <filbertmount/claims/claimservice.h>
#include <filbertmount/routing/placement.h>
#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/telemetry/metrics.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>

namespace Filbertmount {

/** Counts attempts and claims, and records attempts that failed and claims that were not granted as events. Thread-safe. */
class AttemptTelemetry
{
public:
    /** Both references must outlive this object and the handlers returned by claimHandler(). */
    AttemptTelemetry(Metrics &metrics, EventRing &events);

    /** Counts an attempt and records an event unless it succeeded or was cancelled. */
    void attemptEnded(const Placement &placement, const AttemptReport &report);

    /** Returns a handler that counts the decision, records an event unless it is Owned, and then calls @p handler. */
    ClaimHandler claimHandler(const ServiceName &service, ClaimHandler handler);

private:
    static constexpr std::size_t OutcomeCount = static_cast<std::size_t>(AttemptOutcome::Unused) + 1;

    prometheus::Counter &attemptCounter(const ServiceName &service, AttemptOutcome outcome);

    Metrics &m_metrics;
    EventRing &m_events;
    absl::Mutex m_mutex;
    /** Caches the counters, since each lookup in the registry allocates several times. */
    absl::flat_hash_map<ServiceName, std::array<prometheus::Counter *, OutcomeCount>> m_attempts ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
