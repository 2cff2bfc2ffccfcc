#include "edge/singlepathhandler.h"

#include <filbertmount/telemetry/log.h>

namespace Filbertmount {

SinglePathHandler::SinglePathHandler(std::string path, AnswerFactory makeAnswer)
    : m_path(std::move(path))
    , m_makeAnswer(std::move(makeAnswer))
{
}

std::shared_ptr<ActiveRequest> SinglePathHandler::handle(ServerRequest request, AnswerHandler answer)
{
    constexpr int notFound = 404;
    answer(request.target == m_path ? m_makeAnswer() : ServerAnswer{.status = notFound});
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
