#pragma once

#include <filbertmount/proxy/upstreamclient.h>
#include <filbertmount/quarantine/crashquarantine.h>
#include <filbertmount/routing/placement.h>

#include <optional>

namespace Filbertmount {

class Exchange;

/** Returns the outcome for a documented refusal (503 with Request-Not-Run), or nothing for any other response. */
std::optional<AttemptOutcome> documentedRefusal(const ResponseHead &head);

/** One attempt of an exchange at one upstream. Its state is guarded by the mutex of its exchange. */
class Attempt final : public TransferListener
{
public:
    Attempt(std::shared_ptr<Exchange> exchange, Placement placement);

    FlowControl beforeSend() override;
    BodyReadResult readRequestBody(std::span<char> buffer) override;
    FlowControl responseHeadReceived(ResponseHead head) override;
    FlowControl responseBodyReceived(std::string_view data) override;
    void transferSlow() override;
    void transferEnded(const TransferEnd &end) override;

    /** Returns the report to the router at the end of the transfer. */
    [[nodiscard]] AttemptReport report(const TransferEnd &end, Instant now) const;
    /** Whether the upstream certainly did not run the request. */
    [[nodiscard]] bool notRun(const TransferEnd &end) const;

    const Placement placement;
    TransferHandle transfer;
    /** Ticket of the crash guard; released when the attempt ends. */
    CrashTicket ticket;
    /** Bytes of the request body that this attempt has read. */
    std::size_t bodyOffset = 0;
    /** Paused until more of the request body arrives. */
    bool waitsForBody = false;
    /** Paused until the caller has read more of the response. */
    bool waitsForCaller = false;
    /** The response is discarded for a retry that is already counted. */
    bool retryReserved = false;
    std::optional<Instant> sentAt;
    /** Status of the response; 0 until its head arrives. */
    int status = 0;
    std::optional<AttemptOutcome> refusal;
    /** Retry-After of the refusal. */
    Duration retryAfterRefusal = std::chrono::seconds(1);

private:
    const std::shared_ptr<Exchange> m_exchange;
};

} // namespace Filbertmount
