#include "http/blockingserver.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <charconv>
#include <cstring>
#include <exception>
#include <optional>

namespace Filbertmount {

namespace {

constexpr int HttpContentTooLarge = 413;
constexpr int HttpInternalError = 500;
// Limit for reading the body of a rejected request. Beyond it, the connection is closed early.
constexpr std::size_t MaxDiscardedBytes = std::size_t{16} << 20U;
constexpr std::size_t ConnectionMemoryBytes = std::size_t{32} << 10U;

MHD_Result collectHeader(void *context, MHD_ValueKind /*kind*/, const char *key, const char *value)
{
    const std::string name = absl::AsciiStrToLower(std::string(key));
    (*static_cast<std::map<std::string, std::string> *>(context))[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result collectParameter(void *context, MHD_ValueKind /*kind*/, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(context))[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result queueResponse(MHD_Connection *connection, const BlockingResponse &blockingResponse)
{
    if (blockingResponse.closeConnection) {
        return MHD_NO;
    }
    // libmicrohttpd copies the body, so the buffer is never written to.
    MHD_Response *response = MHD_create_response_from_buffer(
        blockingResponse.body.size(), const_cast<char *>(blockingResponse.body.data()), MHD_RESPMEM_MUST_COPY); // NOLINT
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, blockingResponse.contentType.c_str());
    for (const auto &[name, value] : blockingResponse.headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned>(blockingResponse.status), response);
    MHD_destroy_response(response);
    return queued;
}

bool contentLengthExceeds(MHD_Connection *connection, std::size_t limit)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    if (value == nullptr) {
        return false;
    }
    std::size_t length = 0;
    const auto parsed = std::from_chars(value, value + std::strlen(value), length);
    return parsed.ec != std::errc() || length > limit;
}

/** A request while it is being received. */
struct IncomingRequest {
    BlockingRequest request;
    std::size_t receivedBytes = 0;
};

BlockingResponse contentTooLarge()
{
    return {.status = HttpContentTooLarge, .contentType = "text/plain", .body = "the body is too large\n"};
}

// Called by libmicrohttpd once with the header, once for each part of the body, and once at the end.
MHD_Result handleRequest(void *context,
                         MHD_Connection *connection,
                         const char *url,
                         const char *method,
                         const char * /*version*/,
                         const char *data,
                         std::size_t *size,
                         void **requestContext)
{
    const auto *server = static_cast<BlockingServer *>(context);
    if (*requestContext == nullptr) {
        if (contentLengthExceeds(connection, MaxDiscardedBytes)) {
            return queueResponse(connection, contentTooLarge());
        }
        *requestContext = new IncomingRequest{.request = {.method = method, .path = url}}; // Deleted in requestCompleted().
        return MHD_YES;
    }
    auto *incoming = static_cast<IncomingRequest *>(*requestContext);
    BlockingRequest *request = &incoming->request;
    if (*size > 0) {
        // The rest of a body that is too large is read and discarded. Closing the connection before its end would reset it,
        // and the client could lose the response.
        incoming->receivedBytes += *size;
        if (incoming->receivedBytes <= server->options().maxBodyBytes) {
            request->body.append(data, *size);
        }
        *size = 0;
        return incoming->receivedBytes <= MaxDiscardedBytes ? MHD_YES : MHD_NO;
    }
    if (incoming->receivedBytes > server->options().maxBodyBytes) {
        return queueResponse(connection, contentTooLarge());
    }
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &request->headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectParameter, &request->query);
    return queueResponse(connection, server->handle(*request));
}

void requestCompleted(void * /*context*/,
                      MHD_Connection * /*connection*/,
                      void **requestContext,
                      MHD_RequestTerminationCode /*code*/)
{
    delete static_cast<IncomingRequest *>(*requestContext);
    *requestContext = nullptr;
}

sockaddr_storage socketAddress(const Endpoint &endpoint)
{
    sockaddr_storage storage{};
    if (endpoint.ipv6) {
        auto *address = reinterpret_cast<sockaddr_in6 *>(&storage);
        address->sin6_family = AF_INET6;
        address->sin6_port = htons(endpoint.port);
        inet_pton(AF_INET6, endpoint.ip.c_str(), &address->sin6_addr);
        return storage;
    }
    auto *address = reinterpret_cast<sockaddr_in *>(&storage);
    address->sin_family = AF_INET;
    address->sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &address->sin_addr);
    return storage;
}

} // namespace

std::string BlockingRequest::header(const std::string &lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

std::string BlockingRequest::parameter(const std::string &name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

void BlockingServer::DaemonDeleter::operator()(MHD_Daemon *daemon) const
{
    MHD_stop_daemon(daemon);
}

BlockingServer::BlockingServer(BlockingServerOptions options, Handler handler)
    : m_options(std::move(options))
    , m_handler(std::move(handler))
{
}

BlockingServer::~BlockingServer()
{
    stop();
}

Result<void> BlockingServer::start()
{
    sockaddr_storage address = socketAddress(m_options.address);
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    if (m_options.address.ipv6) {
        flags |= MHD_USE_IPv6;
    }
    m_daemon.reset(MHD_start_daemon(flags,
                                    0,
                                    nullptr,
                                    nullptr,
                                    &handleRequest,
                                    this,
                                    MHD_OPTION_SOCK_ADDR,
                                    reinterpret_cast<sockaddr *>(&address),
                                    MHD_OPTION_CONNECTION_LIMIT,
                                    m_options.maxConnections,
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    m_options.idleTimeoutSeconds,
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                    ConnectionMemoryBytes,
                                    MHD_OPTION_NOTIFY_COMPLETED,
                                    &requestCompleted,
                                    nullptr,
                                    MHD_OPTION_END));
    if (!m_daemon) {
        return boost::leaf::new_error(Failure{.step = Step::Administration,
                                              .peer = m_options.address.text(),
                                              .reason = std::string("cannot listen: ") + std::strerror(errno)}); // NOLINT
    }
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon.get(), MHD_DAEMON_INFO_BIND_PORT);
    m_port = info == nullptr ? m_options.address.port : info->port;
    return {};
}

void BlockingServer::stop()
{
    m_daemon.reset();
}

std::uint16_t BlockingServer::port() const
{
    return m_port;
}

const BlockingServerOptions &BlockingServer::options() const
{
    return m_options;
}

BlockingResponse BlockingServer::handle(const BlockingRequest &request) const
{
    try {
        return m_handler(request);
    } catch (const std::exception &error) {
        return {.status = HttpInternalError, .contentType = "text/plain", .body = std::string(error.what()) + "\n"};
    }
}

} // namespace Filbertmount
