#pragma once

#include "proxy/exchange.h"

#include <filbertmount/proxy/problem.h>

#include <microhttpd.h>

#include <memory>
#include <optional>
#include <string>

namespace Filbertmount {

class CallerConnection;

/** One request on a caller's connection. Used on the connection's thread only, except for resume() and disconnect(). */
class CallerRequest final : public CallerTransport
{
public:
    CallerRequest(MHD_Connection *connection, std::string target);

    void suspend() override;
    void resume() override;
    void disconnect() override;

    /** Validates the request after its header was received, and creates its exchange or returns the error to respond with. */
    std::optional<Problem>
    start(const char *method, const char *version, const ServiceDirectory &directory, const ExchangeDependencies &dependencies);

    std::shared_ptr<Exchange> exchange;
    bool started = false;
    bool bodyFinished = false;

private:
    [[nodiscard]] RequestHead readHead(const char *method) const;

    MHD_Connection *m_connection;
    std::string m_target;
};

} // namespace Filbertmount
