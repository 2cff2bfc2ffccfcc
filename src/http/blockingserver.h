#pragma once

#include <filbertmount/types/endpoint.h>
#include <filbertmount/types/failure.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct MHD_Daemon;

namespace Filbertmount {

/** A request that was received completely. */
struct BlockingRequest {
    std::string method;
    /** Percent-decoded path. */
    std::string path;
    std::map<std::string, std::string> query;
    /** Header names are in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    /** Returns an empty string if the header is missing. */
    [[nodiscard]] std::string header(const std::string &lowerCaseName) const;
    /** Returns an empty string if the query parameter is missing. */
    [[nodiscard]] std::string parameter(const std::string &name) const;
};

struct BlockingResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /** Closes the connection without a response. */
    bool closeConnection = false;
};

struct BlockingServerOptions {
    Endpoint address{.ip = "127.0.0.1"};
    /** A request with a longer body gets status 413. */
    std::size_t maxBodyBytes = std::size_t{1} << 20U;
    /** Limit of concurrent connections. Each connection has a thread of its own. */
    unsigned maxConnections = 64;
    unsigned idleTimeoutSeconds = 60;
};

/**
 * HTTP server on libmicrohttpd with one thread for each connection, so that a handler may block without delaying others.
 * Suited to few connections; callers are served by CallerServer.
 */
class BlockingServer
{
public:
    /** Called concurrently on several threads. An exception results in a response with status 500. */
    using Handler = std::function<BlockingResponse(const BlockingRequest &)>;

    BlockingServer(BlockingServerOptions options, Handler handler);
    ~BlockingServer();
    BlockingServer(const BlockingServer &) = delete;
    BlockingServer &operator=(const BlockingServer &) = delete;

    /** Starts to listen. Returns a Failure with Step::Administration if the address cannot be bound. */
    Result<void> start();
    /** Stops listening and waits for the running handlers. */
    void stop();
    /** The port that the server listens on; chosen by the kernel if the port in the options is 0. */
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const BlockingServerOptions &options() const;
    /** Calls the handler. For the connection threads only. */
    [[nodiscard]] BlockingResponse handle(const BlockingRequest &request) const;

private:
    struct DaemonDeleter {
        void operator()(MHD_Daemon *daemon) const;
    };

    BlockingServerOptions m_options;
    Handler m_handler;
    std::unique_ptr<MHD_Daemon, DaemonDeleter> m_daemon;
    std::uint16_t m_port = 0;
};

} // namespace Filbertmount
