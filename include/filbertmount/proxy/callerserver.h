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
    /** 0 takes a free port. */
    std::uint16_t port = 0;
    int workers = 2;
    /** Connections at one time; further ones wait in the kernel's queue. */
    int maxConnections = 4096;
    /** Time without any byte after which a caller's connection is closed. Whole seconds. */
    Duration idleTimeout = std::chrono::seconds(30);
    /** Time from the start of a connection, or from the answer before, to the end of a request's header. */
    Duration headerTimeout = std::chrono::seconds(60);
    /** How long a connection must have been silent before it is closed in a drain. */
    Duration drainIdleTime = std::chrono::seconds(1);
};

/** Accepts requests over HTTP/1.1 and answers them through exchanges. */
class CallerServer
{
public:
    /** Listens and serves from here on. Both references outlive the port. Fails when the address cannot be bound. */
    static Result<std::unique_ptr<CallerServer>>
    listen(const CallerServerOptions &options, const ServiceDirectory &directory, const ExchangeDependencies &dependencies);

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;
    /** Breaks what is still in progress. Call drain() and wait for drained() before, to lose nothing. */
    ~CallerServer();

    [[nodiscard]] std::uint16_t port() const;

    /** Closes slow callers, notices callers that left, and ends requests whose deadline passed. Call every 50 ms or so. */
    void tick(Instant now);

    /** Stops accepting connections; every further answer asks the caller to close its connection. */
    void drain();
    /** Whether a drain has finished: no request is in progress and no connection was used for the linger time. */
    [[nodiscard]] bool drained(Instant now) const;

    [[nodiscard]] std::size_t requestsInProgress() const;

    /** What the callbacks of libmicrohttpd work with. */
    struct Context;

private:
    CallerServer();

    std::unique_ptr<Context> m_context;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace Filbertmount
