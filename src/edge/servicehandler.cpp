#include "edge/servicehandler.h"

#include <filbertmount/telemetry/log.h>

namespace Filbertmount {

ServiceHandler::ServiceHandler(std::string path, Answer answer)
    : m_path(std::move(path))
    , m_answer(std::move(answer))
{
}

std::shared_ptr<ActiveRequest> ServiceHandler::handle(ServerRequest request, AnswerHandler answer)
{
    constexpr int notFound = 404;
    answer(request.target == m_path ? m_answer() : ServerAnswer{.status = notFound});
    return nullptr;
}

CallerLimits ServiceHandler::limits() const
{
    return {};
}

bool ServiceHandler::isDraining() const
{
    return false;
}

void ServiceHandler::noteUnreadable(const std::string &client, int status, const std::string &reason)
{
    logLine(LogLevel::Warning,
            "unreadable request at a service port",
            {{.name = "client", .value = client},
             {.name = "status", .value = std::int64_t{status}},
             {.name = "reason", .value = reason}});
}

} // namespace Filbertmount
