#pragma once

#include "edge/serversession.h"

#include <functional>
#include <string>

namespace Filbertmount {

/** Serves one path, such as the readiness check or the metrics; any other path gets a 404 response. */
class SinglePathHandler : public RequestHandler
{
public:
    using ResponseFactory = std::function<ServerResponse()>;

    /** Calls @p makeResponse for each request of @p path. */
    SinglePathHandler(std::string path, ResponseFactory makeResponse);

    std::shared_ptr<ActiveRequest> handle(ServerRequest request, ResponseHandler respond) override;
    [[nodiscard]] CallerLimits limits() const override;
    [[nodiscard]] bool isDraining() const override;
    void onInvalidRequest(const std::string &client, int status, const std::string &reason) override;

private:
    std::string m_path;
    ResponseFactory m_makeResponse;
};

} // namespace Filbertmount
