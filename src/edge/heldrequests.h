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

    /** @p onLate gets each request that was held for the longest time. */
    HeldRequests(IoLoop &loop, Handler onLate);

    /** Returns the held request, or null after it was passed to onLate at once because too many are held. */
    std::shared_ptr<ActiveRequest> hold(ServerRequest request, AnswerHandler answer);
    /** Passes all held requests to @p handler. */
    void releaseAll(const Handler &handler);

private:
    /** Stands for the request while it is held and passes a close on to its successor later. */
    class Held : public ActiveRequest
    {
    public:
        Held(ServerRequest heldRequest, AnswerHandler heldAnswer);
        void abandon() override;

        ServerRequest request;
        AnswerHandler answer;
        std::shared_ptr<ActiveRequest> successor;
        bool isAbandoned = false;
    };

    void releaseLate();
    void startTimer();
    static void release(const std::shared_ptr<Held> &held, const Handler &handler);

    OneShotTimer m_timer;
    Handler m_onLate;
    std::deque<std::shared_ptr<Held>> m_held;
};

} // namespace Filbertmount
