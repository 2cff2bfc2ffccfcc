#include "edge/serversession.h"

#include "edge/beastheaders.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace Filbertmount {

namespace {

namespace Http = boost::beast::http;

// Requests of one connection that are in progress at the same time.
// A caller that sends a body more slowly than this is not served.
constexpr std::size_t MinBodyBytesPerSecond = std::size_t{16} << 10U;
constexpr std::size_t MaxPipelined = 16;
// Bytes of later requests that are buffered while earlier ones are in progress.
constexpr std::size_t MaxReadAhead = 64U << 10U;
// After the last response, the client may close first within this time: closing a socket with unread bytes sends a reset,
// which could discard the response.
constexpr Duration LingerTime = std::chrono::milliseconds(500);
constexpr unsigned Http10 = 10;

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

int statusOfParseError(const error_code &error)
{
    if (error == Http::error::header_limit) {
        return 431;
    }
    if (error == Http::error::body_limit) {
        return 413;
    }
    return 400;
}

bool mayHaveBody(int status)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status != noContent && status != notModified;
}

std::string serializeResponse(const ServerResponse &response, bool isHead, bool keepsAlive, bool isHttp10)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    const auto reason = Http::obsolete_reason(Http::int_to_status(static_cast<unsigned>(response.status)));
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const Header &header : response.headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (mayHaveBody(response.status)) {
        text.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    if (!keepsAlive) {
        text.append("Connection: close\r\n");
    } else if (isHttp10) {
        text.append("Connection: keep-alive\r\n");
    }
    text.append("\r\n");
    if (!isHead && mayHaveBody(response.status)) {
        text.append(response.body);
    }
    return text;
}

} // namespace

ServerSession::ServerSession(Tcp::socket socket, RequestHandler &handler)
    : m_handler(handler)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
}

void ServerSession::start()
{
    configureSocket(m_socket);
    error_code error;
    const Tcp::endpoint client = m_socket.remote_endpoint(error);
    if (error) {
        close();
        return;
    }
    m_client = client.address().to_string() + ":" + std::to_string(client.port());
    startTimer();
    read();
}

bool ServerSession::isClosed() const
{
    return m_isClosed;
}

std::size_t ServerSession::pendingRequests() const
{
    return m_exchanges.size();
}

bool ServerSession::isIdle() const
{
    return m_exchanges.empty() && m_received.empty() && !m_isWriting;
}

void ServerSession::read()
{
    if (m_isReading || m_isClosed || m_received.size() >= MaxReadAhead + m_handler.limits().maxHeaderBytes) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(Asio::buffer(m_buffer), [self = shared_from_this()](const error_code &error, std::size_t bytes) {
        self->m_isReading = false;
        self->onRead(error, bytes);
    });
}

void ServerSession::onRead(const error_code &error, std::size_t bytes)
{
    if (m_isClosed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (!m_isLingering && !m_isEnding) {
        m_received.append(m_buffer.data(), bytes);
        if (m_parser && m_parser->is_header_done()) {
            m_readDeadline.recordBytes(bytes, ProcessClock::now());
        }
        parse();
    }
    read();
}

bool ServerSession::mayStartNext() const
{
    const bool isDrainingWithOthers = m_handler.isDraining() && !m_exchanges.empty();
    return !m_isEnding && !m_isClosed && !isDrainingWithOthers && m_exchanges.size() < MaxPipelined;
}

bool ServerSession::mayRunConcurrently() const
{
    if (m_exchanges.empty()) {
        return true;
    }
    const auto method = m_parser->get().method_string();
    return m_exchanges.back()->isSafe && isSafeMethod({method.data(), method.size()});
}

bool ServerSession::hasCompleteRequest() const
{
    return m_parser && m_parser->is_done();
}

void ServerSession::startParser()
{
    const CallerLimits limits = m_handler.limits();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(limits.maxHeaderBytes);
    m_parser->body_limit(limits.maxBodyBytes);
    m_wasContinued = false;
    startTimer();
}

void ServerSession::parse()
{
    if (m_isParsing) {
        return;
    }
    m_isParsing = true;
    while (mayStartNext() && (!m_received.empty() || hasCompleteRequest())) {
        if (!m_parser) {
            startParser();
        }
        error_code error;
        if (!m_parser->is_done()) {
            const std::size_t used = m_parser->put(Asio::buffer(m_received), error);
            m_received.erase(0, used);
        }
        if (error && error != Http::error::need_more) {
            refuse(error);
            break;
        }
        if (!m_parser->is_done() || !mayRunConcurrently()) {
            break;
        }
        dispatch();
    }
    m_isParsing = false;
}

void ServerSession::dispatch()
{
    auto &message = m_parser->get();
    ServerRequest request{.method = std::string(message.method_string()),
                          .target = std::string(message.target()),
                          .headers = headersOf(message),
                          .body = std::move(message.body()),
                          .client = m_client,
                          .arrival = ProcessClock::now()};
    auto exchange = std::make_shared<Exchange>();
    exchange->isHead = request.method == "HEAD";
    exchange->isSafe = isSafeMethod(request.method);
    exchange->isHttp10 = message.version() == Http10;
    exchange->keepsAlive = m_parser->keep_alive();
    m_parser.reset();
    startTimer();
    const std::string *coding = findHeader(request.headers, "Transfer-Encoding");
    if (coding != nullptr && !equalsIgnoringCase(*coding, "chunked")) {
        refuse(501, "transfer coding " + *coding + " is not supported");
        return;
    }
    if (request.target.empty() || request.target.front() != '/' || findHeader(request.headers, "Host") == nullptr) {
        refuse(400, "the target is not a path or the Host header is missing");
        return;
    }
    if (!exchange->keepsAlive) {
        m_isEnding = true;
    }
    m_exchanges.push_back(exchange);
    startExchange(std::move(request), exchange);
}

void ServerSession::startExchange(ServerRequest request, const std::shared_ptr<Exchange> &exchange)
{
    const std::weak_ptr<ServerSession> weak = weak_from_this();
    std::shared_ptr<ActiveRequest> active = m_handler.handle(std::move(request), [weak, exchange](ServerResponse response) {
        exchange->response = std::move(response);
        exchange->active.reset();
        if (const std::shared_ptr<ServerSession> session = weak.lock()) {
            session->writeReady();
        }
    });
    if (!exchange->response) {
        exchange->active = std::move(active);
    }
}

void ServerSession::refuse(const error_code &error)
{
    if (error == Http::error::end_of_stream || error == Http::error::partial_message) {
        close();
        return;
    }
    refuse(statusOfParseError(error), error.message());
}

void ServerSession::refuse(int status, const std::string &reason)
{
    m_handler.onInvalidRequest(m_client, status, reason);
    m_isEnding = true;
    m_received.clear();
    m_parser.reset();
    auto exchange = std::make_shared<Exchange>();
    exchange->keepsAlive = false;
    exchange->response = ServerResponse{.status = status, .headers = {}, .body = {}, .closesConnection = true};
    m_exchanges.push_back(std::move(exchange));
    writeReady();
}

void ServerSession::writeReady()
{
    if (m_isClosed || m_isWriting || m_exchanges.empty() || !m_exchanges.front()->response) {
        return;
    }
    const std::shared_ptr<Exchange> exchange = m_exchanges.front();
    // All started requests are answered before the connection is closed.
    const bool isLast = m_exchanges.size() == 1;
    const bool isEnding = !exchange->keepsAlive || exchange->response->closesConnection || m_handler.isDraining();
    const bool keepsAlive = !isLast || !isEnding;
    m_isEnding = m_isEnding || isEnding;
    m_output = serializeResponse(*exchange->response, exchange->isHead, keepsAlive, exchange->isHttp10);
    m_isWriting = true;
    Asio::async_write(
        m_socket, Asio::buffer(m_output), [self = shared_from_this()](const error_code &error, std::size_t /*bytes*/) {
            self->onWritten(error);
        });
}

void ServerSession::onWritten(const error_code &error)
{
    m_isWriting = false;
    if (m_isClosed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    m_exchanges.pop_front();
    if (m_isEnding && m_exchanges.empty()) {
        lingerAndClose();
        return;
    }
    startTimer();
    writeReady();
    parse();
    read();
}

void ServerSession::startTimer()
{
    const CallerLimits limits = m_handler.limits();
    const bool isReadingRequest = m_parser.has_value();
    const Duration timeout = isReadingRequest ? limits.headerTimeout : limits.idleTimeout;
    m_readDeadline = TransferDeadline(ProcessClock::now() + timeout,
                                      {.minBytesPerSecond = MinBodyBytesPerSecond, .stallTimeout = limits.headerTimeout});
    awaitReadDeadline(isReadingRequest);
}

void ServerSession::awaitReadDeadline(bool isReadingRequest)
{
    m_timer.start(m_readDeadline.time() - ProcessClock::now(), [weak = weak_from_this(), isReadingRequest] {
        const std::shared_ptr<ServerSession> self = weak.lock();
        if (!self || self->m_isClosed || !self->m_exchanges.empty()) {
            return;
        }
        if (ProcessClock::now() < self->m_readDeadline.time()) {
            self->awaitReadDeadline(isReadingRequest);
        } else if (isReadingRequest && !self->m_isEnding) {
            self->refuse(408, "the request was not sent in time");
        } else {
            self->close();
        }
    });
}

void ServerSession::closeIfIdle()
{
    if (isIdle()) {
        lingerAndClose();
    }
}

void ServerSession::endWaitingRequests()
{
    const std::deque<std::shared_ptr<Exchange>> exchanges = m_exchanges;
    for (const std::shared_ptr<Exchange> &exchange : exchanges) {
        // The response handler releases the request while it is called.
        if (const std::shared_ptr<ActiveRequest> active = exchange->active) {
            active->endIfWaiting();
        }
    }
}

void ServerSession::lingerAndClose()
{
    if (m_isLingering || m_isClosed) {
        return;
    }
    m_isLingering = true;
    m_isEnding = true;
    error_code ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_timer.start(LingerTime, [self = shared_from_this()] {
        self->close();
    });
    read();
}

void ServerSession::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    for (const std::shared_ptr<Exchange> &exchange : m_exchanges) {
        if (exchange->active) {
            exchange->active->abandon();
        }
    }
    m_exchanges.clear();
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace Filbertmount
