#include "upstreamserver.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <cstring>
#include <string_view>
#include <utility>

namespace Filbertmount::StandIn {

/** State of one request from its header until it has been answered. */
struct UpstreamRequest {
    MHD_Connection *connection = nullptr;
    std::string method;
    std::string path;
    std::string requestId;
    std::string idempotencyKey;
    std::size_t bodySize = 0;
    std::atomic<bool> finished{false};
};

namespace {

constexpr std::size_t MaxResponseBytes = std::size_t{16} << 20U;
constexpr int CrashExitCode = 70;

std::string headerValue(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
}

std::string queryValue(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value == nullptr ? "" : value;
}

MHD_Result
queueResponse(MHD_Connection *connection, unsigned status, const std::string &body, const char *refusalReason = nullptr)
{
    MHD_Response *response =
        MHD_create_response_from_buffer(body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY); // NOLINT
    if (refusalReason != nullptr) {
        MHD_add_response_header(response, "Request-Not-Run", refusalReason);
    }
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

/** Returns a body of at least @p size bytes that starts and ends with the request id. */
std::string makeResponseBody(const UpstreamRequest &request, const std::string &upstreamId, std::size_t size)
{
    const std::string head = request.requestId + " " + upstreamId + " " + std::to_string(request.bodySize) + "\n";
    const std::string tail = "\n" + request.requestId + "\n";
    std::string body = head;
    if (size > head.size() + tail.size()) {
        body.append(size - head.size() - tail.size(), 'x');
    }
    return body + tail;
}

} // namespace

UpstreamServer::UpstreamServer(const UpstreamOptions &options)
    : m_options(options)
    , m_log(options.executionLog)
    , m_slots(options)
{
}

UpstreamServer::~UpstreamServer()
{
    m_slots.waitUntilIdle();
    if (m_daemon != nullptr) {
        MHD_stop_daemon(m_daemon);
    }
}

bool UpstreamServer::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    if (inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    constexpr unsigned connectionLimit = 4000;
    constexpr unsigned listenBacklog = 1024;
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                                m_options.port,
                                nullptr,
                                nullptr,
                                &UpstreamServer::handleRequest,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &address,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                &UpstreamServer::completeRequest,
                                this,
                                MHD_OPTION_CONNECTION_LIMIT,
                                connectionLimit,
                                MHD_OPTION_LISTEN_BACKLOG_SIZE,
                                listenBacklog,
                                MHD_OPTION_END);
    return m_daemon != nullptr;
}

std::uint16_t UpstreamServer::port() const
{
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
}

void UpstreamServer::drain()
{
    m_draining = true;
}

void UpstreamServer::waitUntilIdle()
{
    m_slots.waitUntilIdle();
}

MHD_Result UpstreamServer::handleRequest(void *server,
                                         MHD_Connection *connection,
                                         const char *url,
                                         const char *method,
                                         const char * /*version*/,
                                         const char * /*uploadData*/,
                                         size_t *uploadSize,
                                         void **context)
{
    auto *self = static_cast<UpstreamServer *>(server);
    if (*context == nullptr) {
        auto request = std::make_shared<UpstreamRequest>();
        request->connection = connection;
        request->method = method;
        request->path = url;
        request->requestId = headerValue(connection, "X-Request-Id");
        request->idempotencyKey = headerValue(connection, "Idempotency-Key");
        *context = new std::shared_ptr<UpstreamRequest>(std::move(request));
        return MHD_YES;
    }
    const auto &request = *static_cast<std::shared_ptr<UpstreamRequest> *>(*context);
    if (*uploadSize > 0) {
        request->bodySize += *uploadSize;
        *uploadSize = 0;
        return MHD_YES;
    }
    if (request->finished) {
        const std::size_t size = std::strtoul(queryValue(connection, "bytes").c_str(), nullptr, 10);
        return queueResponse(
            connection, MHD_HTTP_OK, makeResponseBody(*request, self->m_options.id, std::min(size, MaxResponseBytes)));
    }
    return self->dispatch(request);
}

void UpstreamServer::completeRequest(void * /*server*/,
                                     MHD_Connection * /*connection*/,
                                     void **context,
                                     MHD_RequestTerminationCode /*code*/)
{
    delete static_cast<std::shared_ptr<UpstreamRequest> *>(*context);
    *context = nullptr;
}

MHD_Result UpstreamServer::dispatch(const std::shared_ptr<UpstreamRequest> &request)
{
    MHD_Connection *connection = request->connection;
    if (request->path.starts_with("/standin/")) {
        return handleControl(*request);
    }
    if (request->path == "/health") {
        return reportLoad(connection);
    }
    if (m_draining) {
        return refuse(connection, "draining");
    }
    if (m_failsRequests) {
        return queueResponse(connection, MHD_HTTP_INTERNAL_SERVER_ERROR, "failing fast\n");
    }
    return run(request);
}

MHD_Result UpstreamServer::run(const std::shared_ptr<UpstreamRequest> &request)
{
    MHD_Connection *connection = request->connection;
    const bool crashes = queryValue(connection, "crash") == "1";
    // Suspend before submit(): the job may finish before submit() returns, and resuming a connection that is not
    // suspended has no effect.
    MHD_suspend_connection(connection);
    const auto onStarted = [this, request, crashes] {
        m_log.record(request->requestId, request->idempotencyKey, request->method, request->path);
        if (crashes) {
            std::_Exit(CrashExitCode);
        }
    };
    const auto onFinished = [request, connection] {
        request->finished = true;
        MHD_resume_connection(connection);
    };
    if (m_slots.submit({.onStarted = onStarted, .onFinished = onFinished})) {
        return MHD_YES;
    }
    MHD_resume_connection(connection);
    return refuse(connection, "shedding");
}

MHD_Result UpstreamServer::refuse(MHD_Connection *connection, const char *reason)
{
    return queueResponse(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "not run\n", reason);
}

MHD_Result UpstreamServer::handleControl(const UpstreamRequest &request)
{
    const std::string_view command = std::string_view(request.path).substr(std::strlen("/standin/"));
    const bool on = queryValue(request.connection, "on") == "1";
    if (command == "drain") {
        drain();
    } else if (command == "slow") {
        m_slots.setSlowdownFactor(std::strtod(queryValue(request.connection, "factor").c_str(), nullptr));
    } else if (command == "fail") {
        m_failsRequests = on;
    } else if (command == "lie") {
        m_reportsFalseLoad = on;
    } else {
        return queueResponse(request.connection, MHD_HTTP_NOT_FOUND, "unknown command\n");
    }
    return queueResponse(request.connection, MHD_HTTP_OK, "done\n");
}

MHD_Result UpstreamServer::reportLoad(MHD_Connection *connection)
{
    const SlotLoad report = m_slots.laggedReport();
    const nlohmann::json body{{"slots", report.slots},
                              {"in_flight", m_reportsFalseLoad ? 0 : report.inFlight},
                              {"state", m_draining && !m_reportsFalseLoad ? "draining" : "live"}};
    return queueResponse(connection, MHD_HTTP_OK, body.dump());
}

} // namespace Filbertmount::StandIn
