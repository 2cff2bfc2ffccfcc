#pragma once

#include "edge/ioloop.h"
#include "edge/serversession.h"

#include <functional>
#include <memory>
#include <vector>

namespace Filbertmount {

/**
 * Holds requests whose API key or route is unknown until a newer configuration arrives or their wait ends. Runs on the IoLoop.
 *
 * Bounded in requests per key, in requests and in bytes, so that a flood of unknown keys takes little memory and does not keep
 * other keys out.
 */
class PendingRequests
{
public:
    /** Handles a request again; @p isFinal when it cannot be held any longer. */
    using Handler = std::function<std::shared_ptr<ActiveRequest>(ServerRequest, ResponseHandler, bool isFinal)>;

    PendingRequests(IoLoop &loop, Handler retry);

    /** Whether @p request may be held; @p keyId identifies its key. */
    [[nodiscard]] bool hasRoom(const ServerRequest &request, std::uint64_t keyId) const;
    /** Holds @p request until the wait ends at @p until. */
    std::shared_ptr<ActiveRequest> hold(ServerRequest request, ResponseHandler respond, std::uint64_t keyId, Instant until);
    /** Passes all requests to the handler after the configuration has changed. */
    void retryAll();

private:
    /** A held request. After the handler was called, forwards all calls to the active request that it returned. */
    class Entry : public ActiveRequest, public std::enable_shared_from_this<Entry>
    {
    public:
        Entry(PendingRequests &owner, ServerRequest heldRequest, ResponseHandler heldHandler);
        void abandon() override;
        void endIfWaiting() override;

        ServerRequest request;
        ResponseHandler respond;
        std::size_t bytes = 0;
        std::uint64_t keyId = 0;
        Instant until;
        std::shared_ptr<ActiveRequest> forwarded;
        bool isHeld = true;

    private:
        PendingRequests &m_owner;
    };

    void retry(const std::shared_ptr<Entry> &entry, bool isFinal);
    void retryExpired();
    void startTimer();

    OneShotTimer m_timer;
    Handler m_retry;
    std::vector<std::shared_ptr<Entry>> m_entries;
};

} // namespace Filbertmount
