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

/** A complete request. */
struct BlockingRequest {
    std::string method;
    /** Path with percent encoding removed. */
    std::string path;
    std::map<std::string, std::string> query;
    /** Header names are in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    /** Returns an empty text for a header or parameter that is not there. */
    [[nodiscard]] std::string header(const std::string &lowerCaseName) const;
    [[nodiscard]] std::string parameter(const std::string &name) const;
};

struct BlockingAnswer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /** Closes the connection without a response. */
    bool drop = false;
};

struct BlockingServerOptions {
    Endpoint address{.ip = "127.0.0.1"};
    /** A request with a longer body gets status 413. */
    std::size_t maxBodyBytes = std::size_t{1} << 20U;
    /** Connections, and so threads, at one time. */
    unsigned maxConnections = 64;
    unsigned idleTimeoutSeconds = 60;
};

/**
 * HTTP server on libmicrohttpd with one thread for each connection, so a handler may block without delaying others.
 * Meant for few connections; the caller port has a server of its own.
 */
class BlockingServer
{
public:
    /** Runs on several threads at once. An exception becomes status 500. */
    using Handler = std::function<BlockingAnswer(const BlockingRequest &)>;

    BlockingServer(BlockingServerOptions options, Handler handler);
    ~BlockingServer();
    BlockingServer(const BlockingServer &) = delete;
    BlockingServer &operator=(const BlockingServer &) = delete;

    /** Starts to listen; a Failure of Step::Administration if the address cannot be taken. */
    Result<void> start();
    /** Waits for the handlers in progress. */
    void stop();
    /** The port that is listened on; differs from the option if that was 0. */
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const BlockingServerOptions &options() const;
    /** Runs the handler; used by the connection threads. */
    [[nodiscard]] BlockingAnswer answer(const BlockingRequest &request) const;

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
