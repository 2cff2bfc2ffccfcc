#include "edge/singlepathhandler.h"

#include <filbertmount/telemetry/log.h>

namespace Filbertmount {

SinglePathHandler::SinglePathHandler(std::string path, ResponseFactory makeResponse)
    : m_path(std::move(path))
    , m_makeResponse(std::move(makeResponse))
{
}

std::shared_ptr<ActiveRequest> SinglePathHandler::handle(ServerRequest request, ResponseHandler respond)
{
    constexpr int notFound = 404;
    respond(request.target == m_path ? m_makeResponse() : ServerResponse{.status = notFound});
    return nullptr;
}

CallerLimits SinglePathHandler::limits() const
{
    return {};
}

bool SinglePathHandler::isDraining() const
{
    return false;
}

void SinglePathHandler::onInvalidRequest(const std::string &client, int status, const std::string &reason)
{
    logLine(LogLevel::Warning,
            "invalid request at the readiness or metrics port",
            {{.name = "client", .value = client},
             {.name = "status", .value = std::int64_t{status}},
             {.name = "reason", .value = reason}});
}

} // namespace Filbertmount
