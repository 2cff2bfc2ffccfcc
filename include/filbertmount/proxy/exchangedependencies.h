#pragma once

#include <filbertmount/claims/claimservice.h>
#include <filbertmount/document/servicedocument.h>
#include <filbertmount/routing/router.h>

#include <functional>
#include <string>

namespace Filbertmount {

class CrashGuard;
class UpstreamClient;

/** How exchanges reach the claims. All functions are thread-safe and are called without a lock. */
struct ClaimCallbacks {
    /** Answers exactly once, on any thread. Empty when the instance has no store: keyed requests are refused. */
    std::function<void(const ServiceDocument &, const std::string &idempotencyKey, ClaimHandler)> claim;
    std::function<void(const ClaimId &, int status)> complete;
    std::function<void(const ClaimId &)> release;
};

/** What an exchange works with. All of it outlives the exchanges. */
struct ExchangeDependencies {
    Router &router;
    UpstreamClient &client;
    ClaimCallbacks claims{};
    /** Null when requests that crash upstreams are not quarantined. */
    CrashGuard *crashGuard = nullptr;
    /** Told of each attempt that ended, on any thread and without a lock; empty when nobody listens. */
    std::function<void(const Placement &, const AttemptReport &)> attemptEnded{};
    /** Whether new requests may be served now; empty when they always may. */
    std::function<bool()> acceptsRequests{};
};

} // namespace Filbertmount
