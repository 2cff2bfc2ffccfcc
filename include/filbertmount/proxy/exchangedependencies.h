#pragma once

#include <filbertmount/claims/claimservice.h>
#include <filbertmount/document/servicedocument.h>
#include <filbertmount/routing/router.h>

#include <functional>
#include <string>

namespace Filbertmount {

class CrashGuard;
class UpstreamClient;

/** Access to the claims of idempotency keys. The functions must be thread-safe; exchanges call them without holding a lock. */
struct ClaimCallbacks {
    /** Calls the handler exactly once, on any thread. Empty if the instance has no store; requests that need a claim are refused.
     */
    std::function<void(const ServiceDocument &, const std::string &idempotencyKey, ClaimHandler)> claim;
    std::function<void(const ClaimId &, int status)> complete;
    std::function<void(const ClaimId &)> release;
};

/** The components that exchanges use. They must outlive all exchanges. */
struct ExchangeDependencies {
    Router &router;
    UpstreamClient &client;
    ClaimCallbacks claims{};
    /** Null if requests that crash upstreams are not quarantined. */
    CrashGuard *crashGuard = nullptr;
    /** Called after each attempt, on any thread and without a lock held. May be empty. */
    std::function<void(const Placement &, const AttemptReport &)> attemptEnded{};
    /** Returns whether new requests may be served now. If empty, they always may. */
    std::function<bool()> acceptsRequests{};
};

} // namespace Filbertmount
