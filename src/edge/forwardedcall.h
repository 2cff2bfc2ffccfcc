#pragma once

#include "edge/serversession.h"
#include "edge/upstreampool.h"

#include <filbertmount/edge/attemptverdict.h>
#include <filbertmount/edge/httpdialect.h>
#include <filbertmount/routes/splitselector.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/telemetry/metrics.h>

#include <memory>
#include <string>

namespace Filbertmount {

/** What calls share; all of it outlives them. */
struct CallContext {
    IoLoop &loop;
    const HttpDialect &dialect;
    Router &router;
    UpstreamPool &pool;
    Metrics &metrics;
    /** An upstream showed that it is not at its address any more. */
    std::function<void(const ServiceName &, const UpstreamId &)> onWrongUpstream;
};

/** A request together with the route that it takes. */
struct RoutedRequest {
    ServerRequest request;
    /** Keeps the route alive while a newer version comes into force. */
    std::shared_ptr<const RouteIndex> routes;
    const ForwardRoute *route = nullptr;
    ServiceName service;
    Priority priority = Priority::Interactive;
    std::string attemptId;
    /** When the final answer is due. */
    Instant deadline;
    /** By when an answer is of full use to the caller. */
    Instant objective;
};

/** One request on its way: asks for upstreams, sends it, and gives one final answer. Lives on the IoLoop. */
class ForwardedCall : public ActiveRequest, public std::enable_shared_from_this<ForwardedCall>
{
public:
    ForwardedCall(CallContext &context, RoutedRequest request, AnswerHandler answer);

    void start();
    void abandon() override;

private:
    void place();
    void onPlacement(PlacementResult result);
    void onRefusal(const PlacementRefusal &refusal);
    void send(const Placement &placement);
    void onExchange(ExchangeResult result);
    [[nodiscard]] AttemptEnd judge(const ExchangeResult &result) const;
    void follow(AttemptEnd end, ExchangeResult result);
    bool takeRetry(AttemptEnd end);
    void onDeadline();
    void deliver(ClientAnswer answer);
    void refuse(Duration retryAfter, const std::string &reason);
    void fail(int status, const std::string &reason);
    void answerWith(ServerAnswer answer, const std::string &outcome, const std::string &reason);
    std::optional<UpstreamLoad> loadOf(const Headers &headers);
    void release(AttemptOutcome outcome, Duration elapsed, const std::optional<UpstreamLoad> &load);
    [[nodiscard]] std::string requestText(const Placement &placement, Duration timeLeft) const;
    [[nodiscard]] Duration timeLeft() const;

    CallContext &m_context;
    RoutedRequest m_request;
    AnswerHandler m_answer;
    Asio::steady_timer m_deadlineTimer;
    std::optional<Placement> m_placement;
    std::shared_ptr<ClientConnection> m_connection;
    absl::InlinedVector<UpstreamId, 2> m_tried;
    Instant m_sentAt{};
    /** Load that the last upstream stated in its answer, as received. */
    std::string m_lastLoad;
    /** From the arrival to the start of the last attempt. */
    Duration m_placedAfter{0};
    int m_attempts = 0;
    /** An attempt may have run the request. */
    bool m_mayHaveRun = false;
    bool m_isDone = false;
};

} // namespace Filbertmount
