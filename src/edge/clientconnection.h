#pragma once

#include "edge/ioloop.h"

#include <filbertmount/proxy/httpmessage.h>

#include <absl/functional/any_invocable.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Filbertmount {

/** A whole answer of an HTTP server. */
struct ClientAnswer {
    int status = 0;
    Headers headers;
    std::string body;
};

/** How one exchange ended. */
enum class ExchangeEnd : std::uint8_t {
    /** A whole answer was received. */
    Answered,
    /** No connection could be made; no byte was sent. */
    ConnectFailed,
    /** The connection ended before the answer was whole. */
    Broken,
    /** What was received is no HTTP answer. */
    Malformed,
    TimedOut,
};

struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::Broken;
    ClientAnswer answer;
    /** Detail for the log; empty for an answer. */
    std::string reason;
    /** From the first byte sent to the last byte received. */
    Duration elapsed{0};
};

struct ClientExchangeOptions {
    /** The whole request as it is sent. */
    std::string request;
    bool isHead = false;
    /** Time for the whole exchange, connecting included. */
    Duration timeout = std::chrono::seconds(1);
    Duration connectTimeout = std::chrono::milliseconds(300);
    /** Returns whether an answer belongs to this request; others are read and dropped. Empty accepts any. */
    std::function<bool(const Headers &)> matchesRequest;
};

/**
 * One connection to an HTTP/1.1 server, with one exchange at a time. Lives on the IoLoop.
 *
 * Bytes that arrive while no exchange runs end the connection: they belong to no request.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /** Called exactly once, unless close() comes first. */
    using Handler = absl::AnyInvocable<void(ExchangeResult)>;

    ClientConnection(IoLoop &loop, Tcp::endpoint server);

    /** Connects if needed and sends the request. Only one exchange at a time. */
    void exchange(ClientExchangeOptions options, Handler handler);
    /** Ends the connection at once; the handler of a running exchange is dropped without a call. */
    void close();

    /** The connection is open and may carry another request. */
    [[nodiscard]] bool isReusable() const;
    /** When the last exchange ended. */
    [[nodiscard]] Instant idleSince() const;
    /** How long the server keeps the idle connection; nothing when it did not say. */
    [[nodiscard]] std::optional<Duration> serverIdleTimeout() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void send();
    void read();
    void onRead(const error_code &error, std::size_t bytes);
    void parse();
    void onReadError(const error_code &error);
    bool processAnswer();
    void startParser();
    void finish(ExchangeEnd end, std::string reason = {});
    void startTimer(Duration timeout, ExchangeEnd end, const char *reason);
    void parseKeepAlive(const Headers &headers);

    Tcp::endpoint m_server;
    Tcp::socket m_socket;
    OneShotTimer m_timer;
    ClientExchangeOptions m_options;
    Handler m_handler;
    std::optional<Parser> m_parser;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
    Instant m_sentAt{};
    Instant m_deadline{};
    Instant m_idleSince{};
    std::optional<Duration> m_serverIdleTimeout;
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_isBusy = false;
    bool m_mayReuse = true;
    bool m_isSending = false;
};

} // namespace Filbertmount
