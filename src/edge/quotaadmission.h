#pragma once

#include "edge/forwardedcall.h"
#include "edge/quotagate.h"

#include <functional>
#include <memory>
#include <string>

namespace Filbertmount {

/** A client account with a limit, as far as its quota is concerned. */
struct QuotaAccount {
    std::string name;
    QuotaLimit limit;
};

/** Returns the response to a refused request: 429 or 503, with Retry-After in seconds. */
ServerResponse quotaRefusal(const QuotaDecision &decision);
/** Returns the reason of a refusal for the log: the account, its tokens on this instance, their age and the version of its limit.
 */
std::string quotaRefusalReason(const QuotaAccount &account, const QuotaDecision &decision, RouteSetVersion version);

/**
 * Starts a ForwardedCall once its account has a token. Passes @p refuse the response and the reason of a refusal, together with
 * the request; calls @p onAdmitted before the request is forwarded. The token is returned if the response states that the request
 * was not executed.
 *
 * @return the request in progress, or null when it has been refused already
 */
std::shared_ptr<ActiveRequest>
startWithQuota(CallEnvironment &environment,
               QuotaAccount account,
               RoutedRequest request,
               ResponseHandler respond,
               std::function<void(const ServerRequest &, ResponseHandler &, ServerResponse, const std::string &)> refuse,
               std::function<void()> onAdmitted = {});

} // namespace Filbertmount
