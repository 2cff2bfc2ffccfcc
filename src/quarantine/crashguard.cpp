#include <filbertmount/quarantine/crashguard.h>

#include <utility>

namespace Filbertmount {

CrashGuard::CrashGuard(const InstanceId &self, Sender sender, const CrashQuarantineOptions &options)
    : m_sender(std::move(sender))
    , m_quarantine(self, options)
{
}

template<class Change>
void CrashGuard::update(Change change)
{
    std::vector<HandlerCall> handlerCalls;
    std::vector<Wire::CrashStrike> messages;
    {
        const absl::MutexLock lock(&m_mutex);
        change(&handlerCalls);
        for (const CrashDecision &decision : m_quarantine.takeDecisions()) {
            collectHandlerCall(decision, &handlerCalls);
        }
        messages = m_quarantine.takeMessages();
    }
    for (Wire::CrashStrike &message : messages) {
        Wire::Body body;
        *body.mutable_crash_strike() = std::move(message);
        m_sender(std::move(body));
    }
    for (HandlerCall &call : handlerCalls) {
        call.handler(call.decision.admission, call.decision.ticket);
    }
}

void CrashGuard::collectHandlerCall(const CrashDecision &decision, std::vector<HandlerCall> *handlerCalls)
{
    const auto found = m_waiting.find(decision.request);
    if (found != m_waiting.end()) {
        handlerCalls->push_back({.handler = std::move(found->second), .decision = decision});
        m_waiting.erase(found);
    }
}

RequestId CrashGuard::admit(const ServiceName &service, const CrashFingerprint &fingerprint, Handler handler)
{
    RequestId request;
    update([&](std::vector<HandlerCall> *handlerCalls) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        request = RequestId(++m_lastRequest);
        const CrashDecision decision = m_quarantine.admit(request, service, fingerprint, ProcessClock::now());
        if (decision.admission == CrashAdmission::Wait) {
            m_waiting.emplace(request, std::move(handler));
            return;
        }
        handlerCalls->push_back({.handler = std::move(handler), .decision = decision});
    });
    return request;
}

bool CrashGuard::withdraw(RequestId request, const CrashFingerprint &fingerprint)
{
    const absl::MutexLock lock(&m_mutex);
    m_quarantine.withdraw(request, fingerprint);
    return m_waiting.erase(request) > 0;
}

void CrashGuard::succeeded(const CrashTicket &ticket)
{
    update([&](auto *) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_quarantine.succeeded(ticket, ProcessClock::now());
    });
}

void CrashGuard::crashed(const CrashTicket &ticket, const UpstreamId &upstream)
{
    update([&](auto *) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_quarantine.crashed(ticket, upstream, ProcessClock::now());
    });
}

void CrashGuard::ended(const CrashTicket &ticket)
{
    update([&](auto *) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_quarantine.ended(ticket, ProcessClock::now());
    });
}

void CrashGuard::receive(const InstanceId &from, const Wire::CrashStrike &message)
{
    update([&](auto *) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_quarantine.receive(from, message, ProcessClock::now());
    });
}

std::size_t CrashGuard::receiveHistory(const InstanceId &from, const Wire::CrashHistory &message)
{
    std::size_t added = 0;
    update([&](auto *) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        added = m_quarantine.receiveHistory(from, message, ProcessClock::now());
    });
    return added;
}

std::vector<Wire::CrashStrike> CrashGuard::history() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_quarantine.history(ProcessClock::now());
}

std::uint64_t CrashGuard::historyHash() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_quarantine.historyHash(ProcessClock::now());
}

void CrashGuard::tick(Instant now)
{
    update([&](auto *) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        m_quarantine.tick(now);
    });
}

std::size_t CrashGuard::quarantined() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_quarantine.quarantined(ProcessClock::now());
}

} // namespace Filbertmount
