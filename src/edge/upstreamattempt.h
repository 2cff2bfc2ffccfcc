#pragma once

#include "edge/callenvironment.h"

#include <filbertmount/edge/attemptdecision.h>

#include <functional>
#include <memory>
#include <string>

namespace Filbertmount {

/** Sends a request to one upstream once and reports how this attempt ended. Runs on the IoLoop. */
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt>
{
public:
    /** Called exactly once, unless cancel() comes first. */
    using Handler = std::function<void(const std::shared_ptr<UpstreamAttempt> &, AttemptEnd, ExchangeResult)>;

    /** Takes over @p placement and @p ticket and releases both when the attempt ends. @p request outlives the attempt. */
    UpstreamAttempt(CallEnvironment &environment,
                    const RoutedRequest &request,
                    Placement placement,
                    CrashTicket ticket,
                    int number);

    void send(Handler handler);
    /** Closes the connection, which signals the upstream to stop; the handler is not called. */
    void cancel(AttemptOutcome outcome);

    [[nodiscard]] const Placement &placement() const;
    [[nodiscard]] Instant sentAt() const;
    /** Value of the load header in the response, as received; empty without one. */
    [[nodiscard]] const std::string &loadHeader() const;

private:
    void onExchange(ExchangeResult result);
    /** Maps the result of the exchange to the end of the attempt. */
    [[nodiscard]] AttemptEnd classify(const ExchangeResult &result) const;
    /** Parses the load header and stores its text for loadHeader(). */
    [[nodiscard]] std::optional<UpstreamLoad> readLoad(const Headers &headers);
    /** Whether a header of the caller is dropped, because the instance sets it or keeps it to itself. */
    [[nodiscard]] bool isReplaced(std::string_view header) const;
    [[nodiscard]] std::string serializeRequest(Duration timeLeft) const;
    /** Reports the end of the attempt to the crash guard; after a broken exchange, first checks whether the upstream crashed. */
    void reportToCrashGuard(AttemptEnd end);
    /** Counts the attempt in the metrics if its upstream is in another zone. */
    void countZoneExit() const;
    /** Records the size of the exchange, also that of one that ended early. */
    void recordBytes(const ClientResponse &response, AttemptEnd end) const;
    void releaseSlot(const AttemptReport &report);
    /** Keeps the connection for later requests, unless the upstream is draining. */
    void returnConnection(AttemptEnd end, const UpstreamSignals &signals);
    void logSignals(const UpstreamSignals &signals) const;
    void logFailure(AttemptEnd end, const ExchangeResult &result) const;

    CallEnvironment &m_environment;
    const RoutedRequest &m_request;
    const Placement m_placement;
    const CrashTicket m_ticket;
    const int m_number;
    Handler m_handler;
    std::shared_ptr<ClientConnection> m_connection;
    Instant m_sentAt{};
    std::string m_loadHeader;
    std::size_t m_requestBytes = 0;
};

} // namespace Filbertmount
