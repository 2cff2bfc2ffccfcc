#include <filbertmount/admin/adminport.h>

#include <filbertmount/document/parseservicedocument.h>

#include "admin/adminhandler.h"
#include "http/blockingserver.h"

namespace Filbertmount {

namespace {

// Each connection has its own thread. Enough for the platform's health checks to be served while edits block on a slow store.
constexpr unsigned MaxConnections = 64;

} // namespace

AdminPort::AdminPort(const Endpoint &address, std::vector<TeamSettings> teams, AdminSources sources)
    : m_handler(std::make_unique<AdminHandler>(std::move(teams), std::move(sources)))
    , m_server(std::make_unique<BlockingServer>(
          BlockingServerOptions{.address = address, .maxBodyBytes = MaxDocumentBytes, .maxConnections = MaxConnections},
          [this](const BlockingRequest &request) {
              return m_handler->handle(request);
          }))
{
}

AdminPort::~AdminPort() = default;

Result<void> AdminPort::start()
{
    return m_server->start();
}

void AdminPort::stop()
{
    m_server->stop();
}

std::uint16_t AdminPort::port() const
{
    return m_server->port();
}

void AdminPort::setTeams(std::vector<TeamSettings> teams)
{
    m_handler->setTeams(std::move(teams));
}

} // namespace Filbertmount
