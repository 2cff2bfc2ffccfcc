#pragma once

#include <filbertmount/proxy/exchangedependencies.h>
#include <filbertmount/proxy/servicedirectory.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/instant.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace Filbertmount {

class CallerConnections;

struct CallerServerOptions {
    /** IPv4 address to listen on. */
    std::string address = "127.0.0.1";
    /** TCP port; 0 lets the kernel choose a free one. */
    std::uint16_t port = 0;
    int workers = 2;
    /** Limit of concurrent connections; further ones wait in the listen backlog of the kernel. */
    int maxConnections = 4096;
    /** A connection without traffic is closed after this time, rounded up to whole seconds. */
    Duration idleTimeout = std::chrono::seconds(30);
    /** Limit from the start of a connection, or from the previous response, to the end of a request's header. */
    Duration headerTimeout = std::chrono::seconds(60);
    /** A drain is finished once every connection has been without a request for this time. */
    Duration drainIdleTime = std::chrono::seconds(1);
};

/** HTTP/1.1 server for callers. Runs one Exchange for each request. */
class CallerServer
{
public:
    /** Starts to listen and serve. Both references must outlive the server. Fails if the address cannot be bound. */
    static Result<std::unique_ptr<CallerServer>>
    listen(const CallerServerOptions &options, const ServiceDirectory &directory, const ExchangeDependencies &dependencies);

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;
    /** Aborts the requests in progress. To let them finish, call drain() and wait until drained() returns true. */
    ~CallerServer();

    [[nodiscard]] std::uint16_t port() const;

    /** Closes connections whose header is overdue, detects callers that disconnected and expires requests. Call it about every 50
     * ms. */
    void tick(Instant now);

    /** Stops accepting connections; every further response has the header Connection: close. */
    void drain();
    /** Whether a drain has finished: every connection has been without a request for CallerServerOptions::drainIdleTime. */
    [[nodiscard]] bool drained(Instant now) const;

    [[nodiscard]] std::size_t requestsInProgress() const;

    /** State that the callbacks of libmicrohttpd share. */
    struct Context;

private:
    CallerServer();

    std::unique_ptr<Context> m_context;
    MHD_Daemon *m_daemon = nullptr;
    /** The listening socket once the server drains; closed after the daemon has stopped. */
    int m_listener = -1;
};

} // namespace Filbertmount
