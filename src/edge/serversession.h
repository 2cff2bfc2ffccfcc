#pragma once

#include "edge/bufferbudget.h"
#include "edge/ioloop.h"
#include "edge/transferdeadline.h"

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/routes/routeset.h>

#include <absl/functional/any_invocable.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace Filbertmount {

/** A complete request of a client. */
struct ServerRequest {
    std::string method;
    /** Path and query as received. */
    std::string target;
    Headers headers;
    std::string body;
    /** "IP:port" of the client. */
    std::string client;
    /** When the last byte of the request was read. */
    Instant arrival;
};

/** The response to a ServerRequest. */
struct ServerResponse {
    int status = 200;
    Headers headers;
    std::string body;
    /** Whether the connection is closed after this response. */
    bool closesConnection = false;
    /** Memory that the body takes until the response has been written. */
    BufferReservation reservation;
};

/** A request in progress, which can be abandoned. */
class ActiveRequest
{
public:
    ActiveRequest() = default;
    virtual ~ActiveRequest() = default;
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    /** Called when the client has disconnected; the response handler need not be called any more. */
    virtual void abandon() = 0;
    /** Responds now if the request is not in progress at an upstream, because the process ends before it could be served. */
    virtual void endIfWaiting() = 0;
};

/** Sends a response to the client. */
using ResponseHandler = absl::AnyInvocable<void(ServerResponse)>;

/** Handles the requests that ServerSessions read. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /**
     * Starts to handle @p request. Calls @p respond exactly once, during this call or later.
     *
     * @return the request in progress, or null when it has been answered already
     */
    virtual std::shared_ptr<ActiveRequest> handle(ServerRequest request, ResponseHandler respond) = 0;
    /** Limits for requests that are read from now on. */
    [[nodiscard]] virtual CallerLimits limits() const = 0;
    /** Whether connections are to be closed after their next response. */
    [[nodiscard]] virtual bool isDraining() const = 0;
    /** Called when the session refused an invalid or incomplete request with @p status; for logs and counters. */
    virtual void onInvalidRequest(const std::string &client, int status, const std::string &reason) = 0;
};

/**
 * Server side of one HTTP/1.1 connection. Runs on the IoLoop.
 *
 * Pipelined requests with a safe method are handled concurrently and answered in order; any other request waits until all
 * requests before it have been answered. Reading continues while requests are in progress, so that a close by the client is
 * detected.
 */
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    /** @p handler outlives the session. */
    ServerSession(Tcp::socket socket, RequestHandler &handler);

    void start();
    /** Closes the connection if it is idle. While the handler is draining, others are closed after their last response. */
    void closeIfIdle();
    /** Responds to the requests that are not in progress at an upstream. */
    void endWaitingRequests();
    /** Closes the connection now and abandons all requests in progress. */
    void close();

    [[nodiscard]] bool isClosed() const;
    /** Number of requests whose responses have not been written yet. */
    [[nodiscard]] std::size_t pendingRequests() const;
    /** No unparsed bytes, no request in progress and no response being written. */
    [[nodiscard]] bool isIdle() const;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** A request in progress and, once available, its response. */
    struct Exchange {
        std::shared_ptr<ActiveRequest> active;
        std::optional<ServerResponse> response;
        bool isHead = false;
        bool isSafe = false;
        bool isHttp10 = false;
        bool keepsAlive = true;
    };

    void read();
    void onRead(const error_code &error, std::size_t bytes);
    void parse();
    [[nodiscard]] bool mayStartNext() const;
    /** Whether the parsed request may be handled while the requests before it are in progress. */
    [[nodiscard]] bool mayRunConcurrently() const;
    /** The parser holds a complete request that has not been dispatched. */
    [[nodiscard]] bool hasCompleteRequest() const;
    void startParser();
    /** Validates the parsed request and passes it to the handler. */
    void dispatch();
    void startExchange(ServerRequest request, const std::shared_ptr<Exchange> &exchange);
    void refuse(const error_code &error);
    /** Responds with @p status after the responses to earlier requests, then closes the connection. */
    void refuse(int status, const std::string &reason);
    /** Writes the response to the oldest request if it is available. */
    void writeReady();
    void onWritten(const error_code &error);
    /** Starts the timeout for the rest of the request, or the idle timeout between requests. */
    void startTimer();
    /** Ends the connection at m_readDeadline, which moves while a body arrives. */
    void awaitReadDeadline(bool isReadingRequest);
    /** Shuts down the sending side and closes the connection when the client has closed it, or after a short time. */
    void lingerAndClose();

    RequestHandler &m_handler;
    Tcp::socket m_socket;
    OneShotTimer m_timer;
    TransferDeadline m_readDeadline;
    std::string m_client;
    std::optional<Parser> m_parser;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    std::string m_output;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    /** Set when no further request is read; the connection is closed after the responses to the requests in progress. */
    bool m_isEnding = false;
    bool m_isLingering = false;
    bool m_wasContinued = false;
    bool m_isParsing = false;
};

} // namespace Filbertmount
