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
    /** Time since which the connection waits for the header of a request; Instant::max() during a request. */
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

/** All open connections of callers. Detects slow callers and callers that disconnected. Thread-safe. */
class CallerConnections
{
public:
    std::shared_ptr<CallerConnection> add(int socket);
    /** Call before the socket is closed, so that its number is not reused while the connection is still listed. */
    void remove(const std::shared_ptr<CallerConnection> &connection);

    /** Shuts down connections that have waited longer than @p headerTimeout for the header of a request. */
    void closeSlowCallers(Instant now, Duration headerTimeout);
    /** Expires requests and detects callers that closed the connection while their request waits for an upstream. */
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
