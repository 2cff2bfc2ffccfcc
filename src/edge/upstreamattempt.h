#pragma once

#include "edge/callenvironment.h"

#include <filbertmount/edge/attemptdecision.h>

#include <functional>
#include <memory>
#include <string>

namespace Filbertmount {

/** One attempt of a request at one upstream: sends it and tells how it ended. Lives on the IoLoop. */
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt>
{
public:
    /** Called exactly once, unless cancel() comes first. */
    using Handler = std::function<void(const std::shared_ptr<UpstreamAttempt> &, AttemptEnd, ExchangeResult)>;

    /** Takes over @p placement and @p ticket, which end with the attempt. @p request outlives the attempt. */
    UpstreamAttempt(CallEnvironment &environment,
                    const RoutedRequest &request,
                    Placement placement,
                    CrashTicket ticket,
                    int number);

    void send(Handler handler);
    /** Closes the connection, by which the upstream learns that no answer is wanted; the handler is not called. */
    void cancel(AttemptOutcome outcome);

    [[nodiscard]] const Placement &placement() const;
    [[nodiscard]] Instant sentAt() const;
    /** Load that the upstream stated in its answer, as received. */
    [[nodiscard]] const std::string &statedLoad() const;

private:
    void onExchange(ExchangeResult result);
    [[nodiscard]] AttemptEnd classify(const ExchangeResult &result) const;
    [[nodiscard]] std::optional<UpstreamLoad> readLoad(const Headers &headers);
    [[nodiscard]] std::string serializeRequest(Duration timeLeft) const;
    /** Tells the quarantine how the attempt ended. */
    void reportToCrashGuard(AttemptEnd end);
    void releaseSlot(AttemptOutcome outcome, Duration elapsed, const std::optional<UpstreamLoad> &load);
    void logFailure(AttemptEnd end, const ExchangeResult &result) const;

    CallEnvironment &m_environment;
    const RoutedRequest &m_request;
    const Placement m_placement;
    const CrashTicket m_ticket;
    const int m_number;
    Handler m_handler;
    std::shared_ptr<ClientConnection> m_connection;
    Instant m_sentAt{};
    std::string m_statedLoad;
};

} // namespace Filbertmount
