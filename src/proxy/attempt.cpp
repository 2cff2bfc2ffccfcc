#include "proxy/attempt.h"

#include "proxy/exchange.h"

#include <utility>

namespace Filbertmount {

namespace {

AttemptOutcome outcomeOf(const TransferEnd &end, int status)
{
    switch (end.result) {
    case TransferResult::Complete:
        return status >= 500 ? AttemptOutcome::ServerError : AttemptOutcome::Success;
    case TransferResult::NotConnected:
        return AttemptOutcome::ConnectFailed;
    case TransferResult::ConnectionLost:
        return AttemptOutcome::Broken;
    case TransferResult::InvalidResponse:
        return AttemptOutcome::ServerError;
    case TransferResult::TimedOut:
        return AttemptOutcome::TimedOut;
    case TransferResult::Cancelled:
        break;
    }
    if (status >= 500) {
        return AttemptOutcome::ServerError; // The proxy cancelled the transfer to retry.
    }
    return end.sent ? AttemptOutcome::Cancelled : AttemptOutcome::Unused;
}

} // namespace

std::optional<AttemptOutcome> documentedRefusal(const ResponseHead &head)
{
    const std::string *reason = head.status == 503 ? findHeader(head.headers, "Request-Not-Run") : nullptr;
    if (reason == nullptr) {
        return std::nullopt;
    }
    if (equalsIgnoringCase(*reason, "draining")) {
        return AttemptOutcome::RefusedDraining;
    }
    if (equalsIgnoringCase(*reason, "shedding")) {
        return AttemptOutcome::RefusedShedding;
    }
    if (equalsIgnoringCase(*reason, "starting")) {
        return AttemptOutcome::RefusedStarting;
    }
    return std::nullopt;
}

Attempt::Attempt(std::shared_ptr<Exchange> exchange, Placement assigned)
    : placement(std::move(assigned))
    , m_exchange(std::move(exchange))
{
}

FlowControl Attempt::beforeSend()
{
    return m_exchange->beforeAttemptSend(*this);
}

BodyReadResult Attempt::readRequestBody(std::span<char> buffer)
{
    return m_exchange->readRequestBody(*this, buffer);
}

FlowControl Attempt::responseHeadReceived(ResponseHead head)
{
    return m_exchange->responseHeadReceived(*this, std::move(head));
}

FlowControl Attempt::responseBodyReceived(std::string_view data)
{
    return m_exchange->responseBodyReceived(*this, data);
}

void Attempt::transferSlow()
{
    m_exchange->attemptSlow();
}

void Attempt::transferEnded(const TransferEnd &end)
{
    m_exchange->attemptEnded(*this, end);
}

AttemptReport Attempt::report(const TransferEnd &end, Instant now) const
{
    return {.outcome = refusal ? *refusal : outcomeOf(end, status), .serviceTime = sentAt ? now - *sentAt : Duration(0)};
}

bool Attempt::notRun(const TransferEnd &end) const
{
    return !end.sent || refusal.has_value();
}

} // namespace Filbertmount
