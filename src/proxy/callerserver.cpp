#include <filbertmount/proxy/callerserver.h>

#include "proxy/callerconnections.h"
#include "proxy/callerrequest.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace Filbertmount {

struct CallerServer::Context {
    const ServiceDirectory &directory;
    const ExchangeDependencies &dependencies;
    CallerServerOptions options;
    CallerConnections connections;
    std::atomic<bool> draining = false;
};

namespace {

// Memory of libmicrohttpd per connection for the request header, a part of the request body and the response header.
constexpr std::size_t ConnectionMemoryBytes = std::size_t{64} << 10U;

// Block size for copying from the response buffer to the connection.
constexpr std::size_t ResponseBlockBytes = std::size_t{32} << 10U;

using ConnectionHandle = std::shared_ptr<CallerConnection>;

const ConnectionHandle &connectionOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<ConnectionHandle *>(info->socket_context);
}

void *requestLineReceived(void * /*context*/, const char *target, MHD_Connection *connection)
{
    return std::make_unique<CallerRequest>(connection, target).release();
}

void connectionChanged(void *context, MHD_Connection *connection, void **socketContext, MHD_ConnectionNotificationCode code)
{
    CallerConnections &connections = static_cast<CallerServer::Context *>(context)->connections;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        *socketContext = std::make_unique<ConnectionHandle>(connections.add(socket)).release();
        return;
    }
    const std::unique_ptr<ConnectionHandle> handle(static_cast<ConnectionHandle *>(*socketContext));
    connections.remove(*handle);
}

void requestCompleted(void * /*context*/, MHD_Connection *connection, void **requestContext, MHD_RequestTerminationCode code)
{
    const std::unique_ptr<CallerRequest> request(static_cast<CallerRequest *>(std::exchange(*requestContext, nullptr)));
    if (request == nullptr) {
        return;
    }
    if (request->exchange != nullptr) {
        request->exchange->connectionFinished(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
    connectionOf(connection)->requestEnded(ProcessClock::now());
}

ssize_t readResponse(void *exchange, std::uint64_t /*position*/, char *buffer, std::size_t size)
{
    const ResponseChunk chunk = (*static_cast<std::shared_ptr<Exchange> *>(exchange))->readResponse({buffer, size});
    switch (chunk.read) {
    case ResponseRead::Data:
        return static_cast<ssize_t>(chunk.size);
    case ResponseRead::Suspended:
        return 0;
    case ResponseRead::End:
        return MHD_CONTENT_READER_END_OF_STREAM;
    case ResponseRead::Truncated:
        break;
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

void releaseExchange(void *exchange)
{
    const std::unique_ptr<std::shared_ptr<Exchange>> handle(static_cast<std::shared_ptr<Exchange> *>(exchange));
}

MHD_Result respond(const CallerServer::Context &context,
                   MHD_Connection *connection,
                   int status,
                   const Headers &headers,
                   MHD_Response *response)
{
    if (response == nullptr) {
        return MHD_NO;
    }
    for (const Header &header : headers) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    if (context.draining) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned int>(status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result respondProblem(const CallerServer::Context &context, MHD_Connection *connection, const Problem &problem)
{
    ProblemResponse rendered = renderProblem(problem);
    MHD_Response *response = MHD_create_response_from_buffer(rendered.body.size(), rendered.body.data(), MHD_RESPMEM_MUST_COPY);
    return respond(context, connection, problem.status, rendered.headers, response);
}

MHD_Result respondFromExchange(const CallerServer::Context &context,
                               MHD_Connection *connection,
                               const std::shared_ptr<Exchange> &exchange,
                               const ResponseHead &head)
{
    const bool empty = head.contentLength == 0 || head.status == 204 || head.status == 304;
    if (empty) {
        return respond(
            context, connection, head.status, head.headers, MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT));
    }
    const std::uint64_t size = head.contentLength ? static_cast<std::uint64_t>(*head.contentLength) : MHD_SIZE_UNKNOWN;
    auto handle = std::make_unique<std::shared_ptr<Exchange>>(exchange);
    MHD_Response *response =
        MHD_create_response_from_callback(size, ResponseBlockBytes, &readResponse, handle.get(), &releaseExchange);
    if (response != nullptr) {
        static_cast<void>(handle.release()); // The response owns the handle.
    }
    return respond(context, connection, head.status, head.headers, response);
}

MHD_Result startRequest(CallerServer::Context &context,
                        MHD_Connection *connection,
                        CallerRequest &request,
                        const char *method,
                        const char *version)
{
    request.started = true;
    const std::optional<Problem> problem = request.start(method, version, context.directory, context.dependencies);
    connectionOf(connection)->requestStarted(request.exchange);
    return problem ? respondProblem(context, connection, *problem) : MHD_YES;
}

MHD_Result respondWhenReady(const CallerServer::Context &context, MHD_Connection *connection, CallerRequest &request)
{
    if (!std::exchange(request.bodyFinished, true)) {
        request.exchange->finishBody();
    }
    const std::optional<ResponseStart> start = request.exchange->takeResponseStart();
    if (!start) {
        return MHD_YES; // Suspended.
    }
    if (const auto *problem = std::get_if<Problem>(&*start)) {
        return respondProblem(context, connection, *problem);
    }
    return respondFromExchange(context, connection, request.exchange, std::get<ResponseHead>(*start));
}

MHD_Result handleRequest(void *opaque,
                         MHD_Connection *connection,
                         const char * /*url*/,
                         const char *method,
                         const char *version,
                         const char *data,
                         std::size_t *size,
                         void **requestContext)
{
    CallerServer::Context &context = *static_cast<CallerServer::Context *>(opaque);
    CallerRequest &request = *static_cast<CallerRequest *>(*requestContext);
    if (!request.started) {
        return startRequest(context, connection, request, method, version);
    }
    if (*size > 0) {
        *size -= request.exchange->receiveBody({data, *size});
        return MHD_YES;
    }
    return respondWhenReady(context, connection, request);
}

// Turns off the percent-decoding of libmicrohttpd: the request target is forwarded unchanged.
std::size_t keepPercentEncoding(void * /*context*/, MHD_Connection * /*connection*/, char *text)
{
    return std::string_view(text).size();
}

} // namespace

CallerServer::CallerServer() = default;

Result<std::unique_ptr<CallerServer>> CallerServer::listen(const CallerServerOptions &options,
                                                           const ServiceDirectory &directory,
                                                           const ExchangeDependencies &dependencies)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    const std::string name = options.address + ":" + std::to_string(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
        return boost::leaf::new_error(Failure{.step = Step::ReadSettings, .peer = name, .reason = "not an IPv4 address"});
    }
    std::unique_ptr<CallerServer> server(new CallerServer);
    server->m_context.reset(new Context{.directory = directory, .dependencies = dependencies, .options = options});
    Context *context = server->m_context.get();
    const auto idleSeconds = std::chrono::ceil<std::chrono::seconds>(options.idleTimeout).count();
    // Not MHD_USE_TURBO: with it, libmicrohttpd 0.9.75 leaves a connection open after a truncated response.
    server->m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                                        0,
                                        nullptr,
                                        nullptr,
                                        &handleRequest,
                                        context,
                                        MHD_OPTION_SOCK_ADDR,
                                        reinterpret_cast<sockaddr *>(&address),
                                        MHD_OPTION_THREAD_POOL_SIZE,
                                        static_cast<unsigned int>(std::max(1, options.workers)),
                                        MHD_OPTION_CONNECTION_LIMIT,
                                        static_cast<unsigned int>(options.maxConnections),
                                        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                        ConnectionMemoryBytes,
                                        MHD_OPTION_CONNECTION_TIMEOUT,
                                        static_cast<unsigned int>(idleSeconds),
                                        MHD_OPTION_STRICT_FOR_CLIENT,
                                        1,
                                        MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                        1U,
                                        MHD_OPTION_UNESCAPE_CALLBACK,
                                        &keepPercentEncoding,
                                        nullptr,
                                        MHD_OPTION_URI_LOG_CALLBACK,
                                        &requestLineReceived,
                                        nullptr,
                                        MHD_OPTION_NOTIFY_CONNECTION,
                                        &connectionChanged,
                                        context,
                                        MHD_OPTION_NOTIFY_COMPLETED,
                                        &requestCompleted,
                                        context,
                                        MHD_OPTION_END);
    if (server->m_daemon == nullptr) {
        return boost::leaf::new_error(
            Failure{.step = Step::ReadSettings, .peer = name, .reason = "cannot listen on this address"});
    }
    return server;
}

CallerServer::~CallerServer()
{
    if (m_daemon == nullptr) {
        return;
    }
    drain();
    // libmicrohttpd must not be stopped while a connection is suspended. A request that arrives in the meantime may suspend
    // its connection again, hence the loop.
    while (m_context->connections.requestsInProgress() > 0) {
        m_context->connections.abortExchanges();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    MHD_stop_daemon(m_daemon);
    if (m_listener >= 0) {
        close(m_listener);
    }
}

std::uint16_t CallerServer::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void CallerServer::tick(Instant now)
{
    m_context->connections.closeSlowCallers(now, m_context->options.headerTimeout);
    m_context->connections.checkExchanges(now);
}

void CallerServer::drain()
{
    if (m_context->draining.exchange(true)) {
        return;
    }
    m_listener = MHD_quiesce_daemon(m_daemon);
    if (m_listener >= 0) {
        // Refuses new connections. The descriptor stays open, because workers may still have to take it out of their epoll sets.
        ::shutdown(m_listener, SHUT_RDWR);
    }
}

bool CallerServer::drained(Instant now) const
{
    return m_context->draining && m_context->connections.idleSince(now - m_context->options.drainIdleTime);
}

std::size_t CallerServer::requestsInProgress() const
{
    return m_context->connections.requestsInProgress();
}

} // namespace Filbertmount
