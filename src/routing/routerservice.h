#pragma once

#include <filbertmount/routing/router.h>

#include "peer.pb.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace Filbertmount {

/** State of one service in the router. */
struct Router::Service {
    Service(const ServiceName &serviceName, ServiceRouterOptions options)
        : name(serviceName)
        , router(std::move(options))
    {
    }

    /** A call of place() that has not been answered yet. */
    struct PendingPlacement {
        PlacementHandler handler;
        TeamName team;
        bool isHedge = false;
    };

    const ServiceName name;
    absl::Mutex mutex;
    ServiceRouter router ABSL_GUARDED_BY(mutex);
    ServiceRouterOutput output ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::uint64_t, PendingPlacement> pendingPlacements ABSL_GUARDED_BY(mutex);
    std::uint64_t lastRequest ABSL_GUARDED_BY(mutex) = 0;
    ServiceRouting routing ABSL_GUARDED_BY(mutex);
    RetryBudget retryBudget ABSL_GUARDED_BY(mutex){RetrySettings().budgetPercent};
    RetryBudget hedgeBudget ABSL_GUARDED_BY(mutex){HedgingSettings().budgetPercent};
    HedgePolicy hedgePolicy ABSL_GUARDED_BY(mutex);
};

/** Handler calls and messages that are deferred until no lock is held. */
struct Router::DeferredEffects {
    struct HandlerCall {
        PlacementHandler handler;
        PlacementResult result;
    };

    struct UpstreamWarmup {
        ServiceName service;
        UpstreamId upstream;
        WarmupChange change;
    };

    std::vector<HandlerCall> handlerCalls;
    std::vector<UpstreamWarmup> warmupChanges;
    std::vector<std::pair<InstanceId, Wire::Envelope>> messages;

    /** Appends @p body to the envelope for @p to, so that each member gets one envelope. */
    void addMessage(const InstanceId &to, Wire::Body body)
    {
        const auto found = std::find_if(messages.begin(), messages.end(), [&](const auto &message) {
            return message.first == to;
        });
        Wire::Envelope &envelope = found != messages.end() ? found->second : messages.emplace_back(to, Wire::Envelope()).second;
        *envelope.add_bodies() = std::move(body);
    }
};

} // namespace Filbertmount
