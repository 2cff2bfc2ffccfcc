#pragma once

#include <filbertmount/types/instant.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>
#include <vector>

namespace Filbertmount {

class Exchange;

/** One open connection of a caller. */
class CallerConnection
{
public:
    CallerConnection(int socket, Instant now);

    void requestStarted(std::shared_ptr<Exchange> exchange);
    void requestEnded(Instant now);
    [[nodiscard]] std::shared_ptr<Exchange> exchange() const;
    /** When the connection began to wait for a request's header; Instant::max() during a request. */
    [[nodiscard]] Instant waitingSince() const;
    [[nodiscard]] int socket() const
    {
        return m_socket;
    }

private:
    const int m_socket;
    std::atomic<Instant::rep> m_waitingSince;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<Exchange> m_exchange ABSL_GUARDED_BY(m_mutex);
};

/** All open connections of callers; finds those that are slow or were left. Thread-safe. */
class CallerConnections
{
public:
    std::shared_ptr<CallerConnection> add(int socket);
    /** Must be called before the socket is closed. */
    void remove(const std::shared_ptr<CallerConnection> &connection);

    void closeSlowCallers(Instant now, Duration headerTimeout);
    /** Notices callers that closed their side while their request waits for an upstream, and expires requests. */
    void checkExchanges(Instant now);
    void abortExchanges();

    [[nodiscard]] std::size_t requestsInProgress() const;
    /** Whether every connection has been without a request since @p since. */
    [[nodiscard]] bool idleSince(Instant since) const;

private:
    [[nodiscard]] std::vector<std::shared_ptr<CallerConnection>> connectionsWithRequest() const;

    mutable absl::Mutex m_mutex;
    absl::flat_hash_set<std::shared_ptr<CallerConnection>> m_connections ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
