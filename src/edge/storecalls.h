#pragma once

#include "edge/clientconnection.h"

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/telemetry/metrics.h>

#include <functional>
#include <memory>
#include <string>

namespace Filbertmount {

struct StoreCallOptions {
    Tcp::endpoint store;
    /**
     * Longest wait of a watch. Its end confirms that nothing has changed, so the age of what the readers tell the others
     * is bounded by it.
     */
    Duration watchWait = std::chrono::milliseconds(700);
    /** Time for an answer beyond the wait. */
    Duration callTimeout = std::chrono::milliseconds(300);
    /**
     * Pause after a watch that returned changes: those of many upstreams come in series, and each call is priced and wakes
     * every instance.
     */
    Duration pauseAfterChanges = std::chrono::milliseconds(250);
    Duration firstRetryDelay = std::chrono::milliseconds(50);
    Duration maxRetryDelay = std::chrono::milliseconds(400);
};

/** How a call of the store ended. */
struct CallResult {
    ExchangeResult exchange;

    /** Returns what @p reader makes of the answer's status and body, or an error when there is no answer. */
    template<class Reader>
    [[nodiscard]] auto read(Reader reader) const -> decltype(reader(0, std::string()))
    {
        if (exchange.end != ExchangeEnd::Answered) {
            return StoreError{.problem = StoreProblem::Unavailable, .reason = exchange.reason};
        }
        return reader(exchange.answer.status, exchange.answer.body);
    }
};

/** Calls the store, one call at a time, over a connection that is kept. Lives on the IoLoop. */
class StoreCalls
{
public:
    using Handler = std::function<void(const CallResult &)>;

    /** @param kind label of the calls in the metrics */
    StoreCalls(IoLoop &loop, Tcp::endpoint store, Metrics &metrics, StateKind kind);
    ~StoreCalls();
    StoreCalls(const StoreCalls &) = delete;
    StoreCalls &operator=(const StoreCalls &) = delete;

    void call(const StoreRequest &request, const std::string &operation, Duration timeout, Handler handler);
    /** Drops the call in progress; its handler is not called. */
    void cancel();

private:
    void count(const std::string &operation, const ExchangeResult &result);

    IoLoop &m_loop;
    Tcp::endpoint m_store;
    Metrics &m_metrics;
    StateKind m_kind;
    std::shared_ptr<ClientConnection> m_connection;
};

} // namespace Filbertmount
