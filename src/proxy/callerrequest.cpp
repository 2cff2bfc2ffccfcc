#include "proxy/callerrequest.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace Filbertmount {

namespace {

struct CollectedHeaders {
    Headers headers;
    std::size_t bytes = 0;
};

MHD_Result collectHeader(void *context, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    CollectedHeaders &collected = *static_cast<CollectedHeaders *>(context);
    collected.headers.push_back({.name = name, .value = value == nullptr ? "" : value});
    const Header &header = collected.headers.back();
    collected.bytes += header.name.size() + header.value.size() + std::string_view(": \r\n").size();
    return MHD_YES;
}

std::size_t headerBytes(const Headers &headers)
{
    std::size_t bytes = 0;
    for (const Header &header : headers) {
        bytes += header.name.size() + header.value.size() + std::string_view(": \r\n").size();
    }
    return bytes;
}

std::size_t countOf(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [&](const Header &header) {
        return equalsIgnoringCase(header.name, name);
    }));
}

// Requests with ambiguous framing are rejected, since the upstream could parse them differently: request smuggling
// (RFC 9112, section 6.3).
std::optional<Problem> framingProblem(const RequestHead &head)
{
    const std::string *coding = findHeader(head.headers, "Transfer-Encoding");
    const std::string *length = findHeader(head.headers, "Content-Length");
    if (countOf(head.headers, "Host") != 1) {
        return Problem{.status = 400, .detail = "the request needs exactly one Host header"};
    }
    if (coding != nullptr && (length != nullptr || countOf(head.headers, "Transfer-Encoding") > 1)) {
        return Problem{.status = 400, .detail = "the request states the length of its body more than once"};
    }
    if (coding != nullptr && !equalsIgnoringCase(*coding, "chunked")) {
        return Problem{.status = 400, .detail = "the transfer coding is not supported, expected chunked"};
    }
    if (length != nullptr && (countOf(head.headers, "Content-Length") > 1 || parseNumber(*length).value_or(-1) < 0)) {
        return Problem{.status = 400, .detail = "expected one Content-Length header with a non-negative integer"};
    }
    if (!head.target.starts_with('/')) {
        return Problem{.status = 400, .detail = "the request target must be a path that starts with /"};
    }
    return std::nullopt;
}

Problem methodProblem(const RouteMatch &match)
{
    if (match.allowedMethods.empty()) {
        return {.status = 404, .detail = "the service has no route for this path"};
    }
    return {.status = 405,
            .detail = "the route does not accept this method",
            .headers = {{.name = "Allow", .value = match.allowedMethods}}};
}

} // namespace

CallerRequest::CallerRequest(MHD_Connection *connection, std::string target)
    : m_connection(connection)
    , m_target(std::move(target))
{
}

void CallerRequest::suspend()
{
    MHD_suspend_connection(m_connection);
}

void CallerRequest::resume()
{
    MHD_resume_connection(m_connection);
}

void CallerRequest::disconnect()
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        shutdown(info->connect_fd, SHUT_RDWR);
    }
}

RequestHead CallerRequest::readHead(const char *method) const
{
    CollectedHeaders collected;
    MHD_get_connection_values(m_connection, MHD_HEADER_KIND, &collectHeader, &collected);
    RequestHead head{.method = method, .target = m_target, .headers = std::move(collected.headers)};
    if (const std::string *length = findHeader(head.headers, "Content-Length")) {
        head.contentLength = parseNumber(*length);
    } else if (findHeader(head.headers, "Transfer-Encoding") != nullptr) {
        head.contentLength.reset();
    }
    return head;
}

std::optional<Problem> CallerRequest::start(const char *method,
                                            const char *version,
                                            const ServiceDirectory &directory,
                                            const ExchangeDependencies &dependencies)
{
    const Instant now = ProcessClock::now();
    // In HTTP/1.0, a response without a stated length ends with the connection, so a truncated one would look complete.
    if (std::string_view(version) != MHD_HTTP_VERSION_1_1) {
        return Problem{.status = 505, .detail = "only HTTP/1.1 is served"};
    }
    RequestHead head = readHead(method);
    if (std::optional<Problem> problem = framingProblem(head)) {
        return problem;
    }
    if (dependencies.acceptsRequests && !dependencies.acceptsRequests()) {
        return Problem{.status = 503,
                       .detail = "the service documents are not known to be current",
                       .retry = true,
                       .retryAfter = std::chrono::seconds(1)};
    }
    const std::shared_ptr<const DirectoryEntry> entry = directory.find(*findHeader(head.headers, "Host"));
    if (entry == nullptr) {
        return Problem{.status = 404, .detail = "no service is configured for this host"};
    }
    const LimitSettings &limits = entry->document->limits;
    if (head.target.size() + headerBytes(head.headers) > static_cast<std::size_t>(limits.maxHeaderBytes)) {
        return Problem{.status = 431,
                       .detail = "the header exceeds the limit of " + std::to_string(limits.maxHeaderBytes) + " bytes"};
    }
    if (head.contentLength.value_or(0) > limits.maxBodyBytes) {
        return Problem{.status = 413,
                       .detail = "the body exceeds the limit of " + std::to_string(limits.maxBodyBytes) + " bytes"};
    }
    const RouteMatch match = entry->routes.find(head.method, head.target);
    if (match.route == nullptr) {
        return methodProblem(match);
    }
    CallContext context = readCallContext(head.headers);
    if (context.depth >= MaxCallDepth) {
        return Problem{.status = 400, .detail = "the call passed through 32 levels of filbertmount, which suggests a loop"};
    }
    const Duration time = std::min(match.route->deadline, context.timeLeft.value_or(match.route->deadline));
    Route route = *match.route;
    route.repeatable = match.repeatable;
    exchange = std::make_shared<Exchange>(ExchangeOptions{.dependencies = dependencies,
                                                          .document = entry->document,
                                                          .route = std::move(route),
                                                          .head = std::move(head),
                                                          .context = std::move(context),
                                                          .deadline = now + time},
                                          *this);
    return std::nullopt;
}

} // namespace Filbertmount
