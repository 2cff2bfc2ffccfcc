#pragma once

#include "edge/serversession.h"

#include <functional>
#include <string>

namespace Filbertmount {

/** Answers GET requests of the platform and of operators at once, one path per handler. */
class SinglePathHandler : public RequestHandler
{
public:
    using AnswerFactory = std::function<ServerAnswer()>;

    SinglePathHandler(std::string path, AnswerFactory answer);

    std::shared_ptr<ActiveRequest> handle(ServerRequest request, AnswerHandler answer) override;
    [[nodiscard]] CallerLimits limits() const override;
    [[nodiscard]] bool isDraining() const override;
    void onInvalidRequest(const std::string &client, int status, const std::string &reason) override;

private:
    std::string m_path;
    AnswerFactory m_makeAnswer;
};

} // namespace Filbertmount
