#pragma once

#include <filbertmount/quarantine/crashquarantine.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/functional/any_invocable.h>
#include <absl/synchronization/mutex.h>

#include <functional>

namespace Filbertmount {

/** Thread-safe wrapper of CrashQuarantine for the proxy. Calls the handlers and the sender without holding its lock. */
class CrashGuard
{
public:
    /** Receives Run, Quarantined or Busy; the ticket is valid only with Run. Called exactly once, on any thread. */
    using Handler = absl::AnyInvocable<void(CrashAdmission, const CrashTicket &)>;
    /** Sends to every live member. */
    using Sender = std::function<void(Wire::Body)>;

    CrashGuard(const InstanceId &self, Sender sender, const CrashQuarantineOptions &options);

    /** Requests admission of one attempt; returns the id for withdraw(). @p handler may be called before this returns. */
    RequestId admit(const ServiceName &service, const CrashFingerprint &fingerprint, Handler handler);
    /** Withdraws a waiting request. Returns true when its handler will not be called any more. */
    bool withdraw(RequestId request, const CrashFingerprint &fingerprint);

    // Exactly one of these must be called for each ticket; see CrashQuarantine.
    void succeeded(const CrashTicket &ticket);
    void crashed(const CrashTicket &ticket, const UpstreamId &upstream);
    void ended(const CrashTicket &ticket);

    void receive(const InstanceId &from, const Wire::CrashStrike &message);
    /** Applies the strikes that @p from knows; returns the number of new ones. */
    std::size_t receiveHistory(const InstanceId &from, const Wire::CrashHistory &message);
    /** See CrashQuarantine. */
    [[nodiscard]] std::vector<Wire::CrashStrike> history() const;
    [[nodiscard]] std::uint64_t historyHash() const;
    void tick(Instant now);

    /** Returns the number of quarantined fingerprints. */
    [[nodiscard]] std::size_t quarantined() const;

private:
    struct HandlerCall {
        Handler handler;
        CrashDecision decision;
    };

    template<class Change>
    void update(Change change);
    /** Moves the handler of a waiting request to @p handlerCalls, to be called after the lock is released. */
    void collectHandlerCall(const CrashDecision &decision, std::vector<HandlerCall> *handlerCalls)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Sender m_sender;
    mutable absl::Mutex m_mutex;
    CrashQuarantine m_quarantine ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<RequestId, Handler> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastRequest ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace Filbertmount
