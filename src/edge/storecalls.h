#pragma once

#include "edge/clientconnection.h"

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/edge/statemirror.h>
#include <filbertmount/telemetry/metrics.h>

#include <functional>
#include <memory>
#include <string>

namespace Filbertmount {

/** Address and timing of calls to the store. */
struct StoreCallOptions {
    Tcp::endpoint store;
    /**
     * Longest wait of a watch. A watch that times out confirms that nothing has changed, so the wait bounds the age of the
     * state that readers send to other instances.
     */
    Duration watchWait = std::chrono::milliseconds(700);
    /** Longest time until the response begins and between its parts; a watch may take this much longer than its wait. */
    Duration callTimeout = std::chrono::milliseconds(300);
    /**
     * Pause after a watch that returned changes. Many upstreams often change in quick succession, and each call is charged
     * and results in messages to every instance.
     */
    Duration pauseAfterChanges = std::chrono::milliseconds(250);
    /** Longest pause before the first retry; doubles with each failure up to maxRetryDelay (see RetryPause). */
    Duration firstRetryDelay = std::chrono::milliseconds(50);
    Duration maxRetryDelay = std::chrono::milliseconds(400);
    /** Returns true if the process was suspended until just now, so that a response may be old and is read again. */
    std::function<bool()> hasResumed = {};
};

/** How a call to the store ended, with its response not parsed yet. */
struct CallResult {
    ExchangeResult exchange;
    /** Era of the revisions in the response. */
    StoreEra era = {};

    /**
     * Passes the response's status and body and the era to @p parser and returns what it returns, or an error when there is no
     * response.
     */
    template<class Parser>
    [[nodiscard]] auto parse(Parser parser) const -> decltype(parser(0, std::string(), StoreEra()))
    {
        if (exchange.end != ExchangeEnd::Responded) {
            return StoreError{.problem = StoreProblem::Unavailable, .reason = exchange.reason};
        }
        return parser(exchange.response.status, exchange.response.body, era);
    }
};

/** Returns the era of the revisions in a response with these headers. */
using EraReader = std::function<StoreEra(const Headers &)>;

/**
 * Returns a reader that records each stated era in @p mirror. A response without one belongs to the latest known era.
 * @param mirror outlives the reader
 */
template<StoreProtocol Protocol>
EraReader eraReader(const Protocol &protocol, StateMirror &mirror)
{
    return [protocol, &mirror](const Headers &headers) {
        const std::optional<StoreEra> stated = protocol.era(headers);
        if (stated) {
            mirror.knownEra().record(*stated);
        }
        return stated.value_or(mirror.knownEra().latest());
    };
}

/** Sends calls to the store one at a time over a persistent connection. Runs on the IoLoop. */
class StoreCalls
{
public:
    using Handler = std::function<void(const CallResult &)>;

    /** @param kind label of the calls in metrics */
    StoreCalls(IoLoop &loop, Tcp::endpoint store, EraReader eraReader, Metrics &metrics, StateKind kind);
    ~StoreCalls();
    StoreCalls(const StoreCalls &) = delete;
    StoreCalls &operator=(const StoreCalls &) = delete;

    /** @param operation label of the call in metrics */
    void call(const StoreRequest &request, const std::string &operation, Duration timeout, Handler handler);
    /** Cancels the call in progress; its handler is not called. */
    void cancel();

private:
    void countCall(const std::string &operation, const ExchangeResult &result);

    IoLoop &m_loop;
    Tcp::endpoint m_store;
    EraReader m_eraReader;
    Metrics &m_metrics;
    StateKind m_kind;
    std::shared_ptr<ClientConnection> m_connection;
};

} // namespace Filbertmount
