#pragma once

#include "proxy/exchange.h"

#include <filbertmount/proxy/problem.h>

#include <microhttpd.h>

#include <memory>
#include <optional>
#include <string>

namespace Filbertmount {

class CallerConnection;

/** One request on a caller's connection, from its request line on. Used on the connection's thread, except the link. */
class CallerRequest final : public CallerTransport
{
public:
    CallerRequest(MHD_Connection *connection, std::string target);

    void suspend() override;
    void resume() override;
    void disconnect() override;

    /** The first event after the header: checks the request and creates its exchange. Returns a problem to answer with. */
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
