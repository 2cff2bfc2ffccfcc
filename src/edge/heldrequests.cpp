#include "edge/heldrequests.h"

#include <algorithm>

namespace Filbertmount {

namespace {

// Longer than an instance takes to learn the routes from another one or from the store.
constexpr Duration LongestHold = std::chrono::milliseconds(400);
constexpr std::size_t MostHeld = 256;

} // namespace

HeldRequests::Held::Held(ServerRequest heldRequest, AnswerHandler heldAnswer)
    : request(std::move(heldRequest))
    , answer(std::move(heldAnswer))
{
}

void HeldRequests::Held::abandon()
{
    isAbandoned = true;
    if (successor) {
        successor->abandon();
    }
}

HeldRequests::HeldRequests(IoLoop &loop, Handler onLate)
    : m_timer(loop)
    , m_onLate(std::move(onLate))
{
}

std::shared_ptr<ActiveRequest> HeldRequests::hold(ServerRequest request, AnswerHandler answer)
{
    if (m_held.size() >= MostHeld) {
        return m_onLate(std::move(request), std::move(answer));
    }
    m_held.push_back(std::make_shared<Held>(std::move(request), std::move(answer)));
    if (m_held.size() == 1) {
        startTimer();
    }
    return m_held.back();
}

void HeldRequests::release(const std::shared_ptr<Held> &held, const Handler &handler)
{
    if (!held->isAbandoned) {
        held->successor = handler(std::move(held->request), std::move(held->answer));
    }
}

void HeldRequests::releaseAll(const Handler &handler)
{
    m_timer.cancel();
    for (const std::shared_ptr<Held> &held : std::exchange(m_held, {})) {
        release(held, handler);
    }
}

void HeldRequests::startTimer()
{
    m_timer.start(m_held.front()->request.arrival + LongestHold - ProcessClock::now(), [this] {
        releaseLate();
    });
}

void HeldRequests::releaseLate()
{
    const Instant now = ProcessClock::now();
    while (!m_held.empty() && now - m_held.front()->request.arrival >= LongestHold) {
        const std::shared_ptr<Held> held = m_held.front();
        m_held.pop_front();
        release(held, m_onLate);
    }
    if (!m_held.empty()) {
        startTimer();
    }
}

} // namespace Filbertmount
