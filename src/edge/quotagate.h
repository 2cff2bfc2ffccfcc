#pragma once

#include "edge/serversession.h"

#include <filbertmount/accounts/quotaclient.h>

#include <absl/functional/any_invocable.h>

#include <cstdint>

namespace Filbertmount {

/** Receives the outcome of QuotaGate::acquire(). */
using QuotaHandler = absl::AnyInvocable<void(const QuotaDecision &)>;

/** Decides whether a request of a client account may be sent to an upstream. */
class QuotaGate
{
public:
    QuotaGate() = default;
    virtual ~QuotaGate() = default;
    QuotaGate(const QuotaGate &) = delete;
    QuotaGate &operator=(const QuotaGate &) = delete;

    /**
     * Calls @p handler exactly once with a token or a refusal, during this call if it can be decided locally, unless the request
     * is cancelled before.
     *
     * @return number for cancel(); 0 when the handler has been called
     */
    virtual std::uint64_t acquire(const QuotaAsk &ask, QuotaHandler handler) = 0;
    /** Ends the wait of a request whose caller has left; its handler is not called. */
    virtual void cancel(std::uint64_t waiter) = 0;
    /** Takes back the token of a request that was not executed. */
    virtual void release(std::string_view account, const QuotaToken &token) = 0;
};

} // namespace Filbertmount
