#pragma once

#include "edge/serversession.h"

#include <functional>
#include <string>

namespace Filbertmount {

/** Answers GET requests of the platform and of operators at once, one path per handler. */
class ServiceHandler : public RequestHandler
{
public:
    using Answer = std::function<ServerAnswer()>;

    ServiceHandler(std::string path, Answer answer);

    std::shared_ptr<ActiveRequest> handle(ServerRequest request, AnswerHandler answer) override;
    [[nodiscard]] CallerLimits limits() const override;
    [[nodiscard]] bool isDraining() const override;
    void noteUnreadable(const std::string &client, int status, const std::string &reason) override;

private:
    std::string m_path;
    Answer m_answer;
};

} // namespace Filbertmount
