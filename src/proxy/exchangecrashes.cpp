// The part of Exchange that uses the quarantine of requests that crash upstreams.
#include "proxy/exchange.h"

#include <filbertmount/types/sha256.h>

namespace Filbertmount {

namespace {

constexpr std::chrono::minutes QuarantineTime{10};

} // namespace

void Exchange::computeFingerprint()
{
    if (m_dependencies.crashGuard == nullptr) {
        return;
    }
    const absl::MutexLock lock(&m_mutex);
    // A body that exceeds the buffer is identified by its beginning.
    const Sha256Digest body = sha256(m_body.buffered());
    m_fingerprint = crashFingerprint(m_document->service.value(), m_head.method, m_head.target, {body.begin(), body.end()});
}

void Exchange::startPlacement(bool hedge)
{
    if (m_dependencies.crashGuard == nullptr) {
        requestPlacement(hedge, {});
        return;
    }
    CrashFingerprint fingerprint;
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_pendingDecisions;
        fingerprint = m_fingerprint;
    }
    m_dependencies.crashGuard->admit(m_document->service,
                                     fingerprint,
                                     [self = shared_from_this(), hedge](CrashAdmission admission, const CrashTicket &ticket) {
                                         self->quarantineDecided(admission, ticket, hedge);
                                     });
}

void Exchange::quarantineDecided(CrashAdmission admission, const CrashTicket &ticket, bool hedge)
{
    const bool admitted = admission == CrashAdmission::Run;
    bool wanted = false;
    {
        const absl::MutexLock lock(&m_mutex);
        --m_pendingDecisions;
        wanted = !m_problem && !m_callerGone && m_winner == nullptr;
        if (!admitted && wanted && m_attempts.empty() && m_pendingDecisions == 0) {
            refuseQuarantined(admission);
        }
    }
    if (admitted && wanted) {
        requestPlacement(hedge, ticket);
        return;
    }
    if (admitted) {
        releaseTicket(ticket);
    }
    settleClaim();
}

void Exchange::refuseQuarantined(CrashAdmission admission)
{
    if (admission == CrashAdmission::Busy) {
        fail({.status = 503,
              .run = m_runState,
              .detail = "too many requests like one that crashed an upstream are waiting",
              .retry = true,
              .retryAfter = std::chrono::seconds(1)});
        return;
    }
    fail({.status = 503,
          .run = m_runState,
          .detail = "requests like this one have crashed upstreams",
          .retry = false,
          .retryAfter = QuarantineTime});
}

void Exchange::reportToCrashGuard(const Attempt &attempt, const TransferEnd &end)
{
    if (m_dependencies.crashGuard == nullptr) {
        return;
    }
    if (end.result == TransferResult::Complete) {
        m_dependencies.crashGuard->succeeded(attempt.ticket);
    } else if (end.result == TransferResult::ConnectionLost && end.sent) {
        m_dependencies.crashGuard->crashed(attempt.ticket, attempt.placement.upstream);
    } else {
        releaseTicket(attempt.ticket);
    }
}

void Exchange::releaseTicket(const CrashTicket &ticket)
{
    if (m_dependencies.crashGuard != nullptr) {
        m_dependencies.crashGuard->ended(ticket);
    }
}

} // namespace Filbertmount
