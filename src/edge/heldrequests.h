#pragma once

#include "edge/ioloop.h"
#include "edge/serversession.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace Filbertmount {

/**
 * Keeps requests that arrive before an instance knows routes and upstreams, which takes a tenth of a second after a start.
 * Lives on the IoLoop.
 */
class HeldRequests
{
public:
    using Handler = std::function<std::shared_ptr<ActiveRequest>(ServerRequest, AnswerHandler)>;

    /** @p onTimeout gets each request that was held for the longest time. */
    HeldRequests(IoLoop &loop, Handler onTimeout);

    /** Returns the held request, or null after it was passed to onTimeout at once because too many are held. */
    std::shared_ptr<ActiveRequest> hold(ServerRequest request, AnswerHandler answer);
    /** Passes all held requests to @p handler. */
    void releaseAll(const Handler &handler);

private:
    /** Stands for the request while it is held and passes a close on to its forwarded later. */
    class HeldRequest : public ActiveRequest
    {
    public:
        HeldRequest(ServerRequest heldRequest, AnswerHandler heldAnswer);
        void abandon() override;

        ServerRequest request;
        AnswerHandler answer;
        std::shared_ptr<ActiveRequest> forwarded;
        bool isAbandoned = false;
    };

    void releaseExpired();
    void startTimer();
    static void release(const std::shared_ptr<HeldRequest> &held, const Handler &handler);

    OneShotTimer m_timer;
    Handler m_onTimeout;
    std::deque<std::shared_ptr<HeldRequest>> m_held;
};

} // namespace Filbertmount
