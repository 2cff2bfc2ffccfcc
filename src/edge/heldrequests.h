#pragma once

#include "edge/ioloop.h"
#include "edge/serversession.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace Filbertmount {

/**
 * Holds requests that arrive before the instance has put its state in force, some tenths of a second after its start. Runs on the
 * IoLoop.
 */
class HeldRequests
{
public:
    using Handler = std::function<std::shared_ptr<ActiveRequest>(ServerRequest, ResponseHandler)>;

    /** @p fallback rejects requests that were held for the maximum time, or that arrive while too many others are held. */
    HeldRequests(IoLoop &loop, Handler fallback);

    /** Holds @p request, or passes it to the fallback and returns its result when too many requests are held. */
    std::shared_ptr<ActiveRequest> hold(ServerRequest request, ResponseHandler respond);
    /** Passes all held requests to @p handler. */
    void releaseAll(const Handler &handler);

private:
    /** A held request. After it was passed to a handler, forwards all calls to the active request that the handler returned. */
    class HeldRequest : public ActiveRequest
    {
    public:
        HeldRequest(ServerRequest heldRequest, ResponseHandler heldHandler);
        void abandon() override;
        void endIfWaiting() override;

        ServerRequest request;
        ResponseHandler respond;
        std::shared_ptr<ActiveRequest> forwarded;
        bool isAbandoned = false;
    };

    void releaseExpired();
    void startTimer();
    static void release(const std::shared_ptr<HeldRequest> &held, const Handler &handler);

    OneShotTimer m_timer;
    Handler m_fallback;
    std::deque<std::shared_ptr<HeldRequest>> m_held;
};

} // namespace Filbertmount
