#include "edge/clientconnection.h"

#include "edge/beastheaders.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace Filbertmount {

namespace {

namespace Http = boost::beast::http;

constexpr std::uint32_t MaxResponseHeaderBytes = 64U << 10U;
constexpr unsigned FirstFinalStatus = 200;
// A server sends a few interim responses at most; one that goes on sending them would keep the processor busy.
constexpr int MaxDiscardedResponses = 16;
// Longer idle timeouts make no difference, and their conversion would overflow.
constexpr std::int64_t MaxIdleTimeoutSeconds = 3600;
constexpr unsigned SwitchingProtocols = 101;

} // namespace

ClientConnection::ClientConnection(IoLoop &loop, Tcp::endpoint server)
    : m_server(std::move(server))
    , m_socket(loop)
    , m_timer(loop)
{
}

bool ClientConnection::isReusable() const
{
    return !m_isClosed && !m_isBusy && m_mayReuse && m_isConnected;
}

Instant ClientConnection::idleSince() const
{
    return m_idleSince;
}

void ClientConnection::recordRefusal()
{
    m_mayRepeatRefusal = true;
}

bool ClientConnection::mayRepeatRefusal() const
{
    return m_mayRepeatRefusal;
}

std::optional<Duration> ClientConnection::serverIdleTimeout() const
{
    return m_serverIdleTimeout;
}

void ClientConnection::exchange(ClientExchangeOptions options, Handler handler)
{
    m_options = std::move(options);
    m_handler = std::move(handler);
    m_isBusy = true;
    m_discardedResponses = 0;
    m_receivedBytes = 0;
    m_reservation = BufferReservation(m_options.budget);
    m_deadline = TransferDeadline(ProcessClock::now() + m_options.timeout, m_options.progress);
    startParser();
    if (m_isConnected) {
        send();
    } else {
        connect();
    }
}

void ClientConnection::startTimer(Duration timeout, ExchangeEnd end, const char *reason)
{
    m_timer.start(timeout, [self = shared_from_this(), end, reason] {
        self->finish(end, reason);
    });
}

void ClientConnection::startResponseTimer()
{
    m_timer.start(m_deadline.time() - ProcessClock::now(), [self = shared_from_this()] {
        if (ProcessClock::now() < self->m_deadline.time()) {
            self->startResponseTimer();
            return;
        }
        const std::string bytes = std::to_string(self->m_receivedBytes);
        self->finish(ExchangeEnd::TimedOut, "no complete response in time after " + bytes + " bytes");
    });
}

void ClientConnection::connect()
{
    startTimer(std::min(m_options.connectTimeout, m_options.timeout), ExchangeEnd::ConnectFailed, "connecting timed out");
    m_socket.async_connect(m_server, [self = shared_from_this()](const error_code &error) {
        if (self->m_isClosed) {
            return;
        }
        if (error) {
            self->finish(ExchangeEnd::ConnectFailed, error.message());
            return;
        }
        self->m_isConnected = true;
        configureSocket(self->m_socket);
        self->read();
        self->send();
    });
}

void ClientConnection::send()
{
    m_sentAt = ProcessClock::now();
    m_isSending = true;
    startResponseTimer();
    Asio::async_write(
        m_socket, Asio::buffer(m_options.request), [self = shared_from_this()](const error_code &error, std::size_t /*bytes*/) {
            self->m_isSending = false;
            if (error) {
                // The server may have responded before the connection ended; the pending read handles both.
                self->m_mayReuse = false;
                self->m_hasSendFailed = true;
            }
        });
}

void ClientConnection::read()
{
    m_socket.async_read_some(Asio::buffer(m_buffer), [self = shared_from_this()](const error_code &error, std::size_t bytes) {
        self->onRead(error, bytes);
    });
}

void ClientConnection::onRead(const error_code &error, std::size_t bytes)
{
    if (m_isClosed) {
        return;
    }
    if (error) {
        onReadError(error);
        return;
    }
    if (!m_isBusy) {
        close();
        return;
    }
    m_received.append(m_buffer.data(), bytes);
    m_receivedBytes += bytes;
    m_deadline.recordBytes(bytes, ProcessClock::now());
    parse();
    if (!m_isClosed) {
        read();
    }
}

void ClientConnection::startParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->skip(m_options.isHead);
    m_parser->header_limit(MaxResponseHeaderBytes);
    m_parser->body_limit(m_options.maxBodyBytes);
}

void ClientConnection::parse()
{
    while (m_isBusy && !m_received.empty()) {
        error_code error;
        const std::size_t used = m_parser->put(Asio::buffer(m_received), error);
        m_received.erase(0, used);
        if (error && error != Http::error::need_more) {
            finish(ExchangeEnd::Malformed, error.message());
            return;
        }
        if (rejectOversized() || error || !m_parser->is_done()) {
            return;
        }
        if (processResponse()) {
            return;
        }
    }
}

bool ClientConnection::rejectOversized()
{
    // The parser leaves bytes unread while a line is incomplete, such as one with an endless chunk extension.
    if (m_received.size() > MaxResponseHeaderBytes) {
        finish(ExchangeEnd::Malformed, "a line of the response is too long");
        return true;
    }
    if (!m_reservation.resize(m_parser->get().body().size())) {
        finish(ExchangeEnd::Malformed, "the buffers for responses are full");
        return true;
    }
    return false;
}

bool ClientConnection::processResponse()
{
    const unsigned status = m_parser->get().result_int();
    if (!isStatus(status)) {
        finish(ExchangeEnd::Malformed, "the status is not a number from 100 to 599");
        return true;
    }
    if (status == SwitchingProtocols) {
        finish(ExchangeEnd::Malformed, "the server switched protocols");
        return true;
    }
    const bool isInterim = status < FirstFinalStatus;
    if (isInterim && ++m_discardedResponses > MaxDiscardedResponses) {
        finish(ExchangeEnd::Malformed, "too many interim responses");
        return true;
    }
    if (isInterim) {
        startParser();
        return false;
    }
    Headers headers = headersOf(m_parser->get());
    const bool keepsAlive = m_parser->keep_alive() && !m_parser->need_eof();
    if (m_options.matchesRequest && !m_options.matchesRequest(headers)) {
        m_mayReuse = false;
        if (!keepsAlive || ++m_discardedResponses > MaxDiscardedResponses) {
            finish(ExchangeEnd::Malformed, "the response belongs to another request");
            return true;
        }
        startParser();
        return false;
    }
    // A server that responded before it read the whole request would parse the rest as the next request.
    m_mayReuse = m_mayReuse && keepsAlive && !m_isSending && m_received.empty();
    parseKeepAlive(headers);
    ExchangeResult result{.end = ExchangeEnd::Responded,
                          .response = {.status = static_cast<int>(status),
                                       .headers = std::move(headers),
                                       .body = std::move(m_parser->get().body()),
                                       .reservation = std::move(m_reservation)}};
    m_isBusy = false;
    m_idleSince = ProcessClock::now();
    result.elapsed = m_idleSince - m_sentAt;
    m_timer.cancel();
    m_parser.reset();
    Handler handler = std::move(m_handler);
    if (!m_mayReuse) {
        close();
    }
    handler(std::move(result));
    return true;
}

void ClientConnection::parseKeepAlive(const Headers &headers)
{
    constexpr std::string_view prefix = "timeout=";
    const std::string *value = findHeader(headers, "Keep-Alive");
    const std::size_t start = value == nullptr ? std::string::npos : value->find(prefix);
    if (start == std::string::npos) {
        return;
    }
    std::string_view digits = std::string_view(*value).substr(start + prefix.size());
    digits = digits.substr(0, std::min(digits.find_first_not_of("0123456789"), digits.size()));
    if (const std::optional<std::int64_t> seconds = parseNumber(digits)) {
        m_serverIdleTimeout = std::chrono::seconds(std::clamp<std::int64_t>(*seconds, 0, MaxIdleTimeoutSeconds));
    }
}

void ClientConnection::onReadError(const error_code &error)
{
    if (!m_isBusy) {
        close();
        return;
    }
    const bool endsResponse = error == Asio::error::eof && m_parser->is_header_done() && m_parser->need_eof();
    if (!endsResponse) {
        finish(ExchangeEnd::Broken, error.message());
        return;
    }
    // A write that has just failed has taken the socket's error, and its handler is still queued on the loop.
    Asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->finishAtEnd();
    });
}

void ClientConnection::finishAtEnd()
{
    if (m_isClosed || !m_isBusy) {
        return;
    }
    if (m_hasSendFailed) {
        finish(ExchangeEnd::Broken, "the connection was lost during the request");
        return;
    }
    error_code error;
    m_parser->put_eof(error);
    m_mayReuse = false;
    if (error || !m_parser->is_done() || !processResponse()) {
        finish(ExchangeEnd::Broken, "the connection ended without a response to the request");
    }
}

void ClientConnection::finish(ExchangeEnd end, std::string reason)
{
    if (!m_isBusy) {
        return;
    }
    Handler handler = std::move(m_handler);
    const Duration elapsed = m_sentAt == Instant{} ? Duration::zero() : ProcessClock::now() - m_sentAt;
    const std::shared_ptr<ClientConnection> self = shared_from_this();
    close();
    handler({.end = end, .response = {}, .reason = std::move(reason), .elapsed = elapsed});
}

void ClientConnection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_isBusy = false;
    m_handler = nullptr;
    m_timer.cancel();
    m_reservation = BufferReservation();
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace Filbertmount
