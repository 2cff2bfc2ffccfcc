#include "edge/heldrequests.h"

#include <algorithm>

namespace Filbertmount {

namespace {

// Longer than an instance takes to receive the routes from another instance or from the store.
constexpr Duration MaxHoldTime = std::chrono::milliseconds(400);
constexpr std::size_t MaxHeldRequests = 256;

} // namespace

HeldRequests::HeldRequest::HeldRequest(ServerRequest heldRequest, ResponseHandler heldHandler)
    : request(std::move(heldRequest))
    , respond(std::move(heldHandler))
{
}

void HeldRequests::HeldRequest::abandon()
{
    isAbandoned = true;
    if (forwarded) {
        forwarded->abandon();
    }
}

void HeldRequests::HeldRequest::endIfWaiting()
{
    // One that is still held is answered within the maximum time, which is shorter than any shutdown.
    if (forwarded) {
        forwarded->endIfWaiting();
    }
}

HeldRequests::HeldRequests(IoLoop &loop, Handler fallback)
    : m_timer(loop)
    , m_fallback(std::move(fallback))
{
}

std::shared_ptr<ActiveRequest> HeldRequests::hold(ServerRequest request, ResponseHandler respond)
{
    if (m_held.size() >= MaxHeldRequests) {
        return m_fallback(std::move(request), std::move(respond));
    }
    m_held.push_back(std::make_shared<HeldRequest>(std::move(request), std::move(respond)));
    if (m_held.size() == 1) {
        startTimer();
    }
    return m_held.back();
}

void HeldRequests::release(const std::shared_ptr<HeldRequest> &held, const Handler &handler)
{
    if (!held->isAbandoned) {
        held->forwarded = handler(std::move(held->request), std::move(held->respond));
    }
}

void HeldRequests::releaseAll(const Handler &handler)
{
    m_timer.cancel();
    for (const std::shared_ptr<HeldRequest> &held : std::exchange(m_held, {})) {
        release(held, handler);
    }
}

void HeldRequests::startTimer()
{
    m_timer.start(m_held.front()->request.arrival + MaxHoldTime - ProcessClock::now(), [this] {
        releaseExpired();
    });
}

void HeldRequests::releaseExpired()
{
    const Instant now = ProcessClock::now();
    while (!m_held.empty() && now - m_held.front()->request.arrival >= MaxHoldTime) {
        const std::shared_ptr<HeldRequest> held = m_held.front();
        m_held.pop_front();
        release(held, m_fallback);
    }
    if (!m_held.empty()) {
        startTimer();
    }
}

} // namespace Filbertmount
