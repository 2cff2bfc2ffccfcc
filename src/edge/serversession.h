#pragma once

#include "edge/ioloop.h"

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

/** A whole request of a client. */
struct ServerRequest {
    std::string method;
    /** As the client sent it. */
    std::string target;
    Headers headers;
    std::string body;
    /** "IP:port" of the client. */
    std::string client;
    /** When the last byte was read. */
    Instant arrival;
};

struct ServerAnswer {
    int status = 200;
    Headers headers;
    std::string body;
    /** The connection ends after this answer. */
    bool closesConnection = false;
};

/** A request that is being worked on. */
class ActiveRequest
{
public:
    ActiveRequest() = default;
    virtual ~ActiveRequest() = default;
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    /** The client has left; no answer is wanted any more. */
    virtual void abandon() = 0;
};

using AnswerHandler = absl::AnyInvocable<void(ServerAnswer)>;

/** What a server does with its requests. */
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /**
     * Starts work on @p request. The answer may come during the call or later, exactly once.
     *
     * @return the work in progress, or null when the answer was given already
     */
    virtual std::shared_ptr<ActiveRequest> handle(ServerRequest request, AnswerHandler answer) = 0;
    /** Limits for requests that startExchange now. */
    [[nodiscard]] virtual CallerLimits limits() const = 0;
    /** Connections end after their next answer. */
    [[nodiscard]] virtual bool isDraining() const = 0;
    /** A request was refused before it was whole; for logs and counters. */
    virtual void onInvalidRequest(const std::string &client, int status, const std::string &reason) = 0;
};

/**
 * One connection of a client of HTTP/1.1. Lives on the IoLoop.
 *
 * Pipelined requests with a safe method are worked on side by side and answered in their order; any other request waits
 * until those before it have been answered. Reading goes on while requests are worked on, so that a close is noticed.
 */
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    /** @p handler outlives the session. */
    ServerSession(Tcp::socket socket, RequestHandler &handler);

    void start();
    /** Ends the connection now if no request is in progress on it; otherwise its last answer ends it. */
    void drain();
    /** Ends the connection now; work in progress is abandoned. */
    void close();

    [[nodiscard]] bool isClosed() const;
    /** Requests whose answers have not been written yet. */
    [[nodiscard]] std::size_t unansweredRequests() const;
    [[nodiscard]] bool isIdle() const;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    struct Exchange {
        std::shared_ptr<ActiveRequest> active;
        std::optional<ServerAnswer> answer;
        bool isHead = false;
        bool isSafe = false;
        bool isHttp10 = false;
        bool keepsAlive = true;
    };

    void read();
    void onRead(const error_code &error, std::size_t bytes);
    void parse();
    [[nodiscard]] bool mayStartNext() const;
    [[nodiscard]] bool mayRunConcurrently() const;
    [[nodiscard]] bool hasCompleteRequest() const;
    void startParser();
    void dispatch();
    void startExchange(ServerRequest request, const std::shared_ptr<Exchange> &exchange);
    void refuse(const error_code &error);
    void refuse(int status, const std::string &reason);
    void writeReady();
    void onWritten(const error_code &error);
    void startTimer();
    void lingerAndClose();

    RequestHandler &m_handler;
    Tcp::socket m_socket;
    OneShotTimer m_timer;
    std::string m_client;
    std::optional<Parser> m_parser;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    std::string m_output;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    /** No further request is read; the connection ends after the answers that are due. */
    bool m_isEnding = false;
    bool m_isLingering = false;
    bool m_wasContinued = false;
    bool m_isParsing = false;
};

} // namespace Filbertmount
