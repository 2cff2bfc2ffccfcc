#pragma once

#include <filbertmount/admin/adminsources.h>
#include <filbertmount/settings/instancesettings.h>
#include <filbertmount/types/failure.h>

#include <memory>
#include <vector>

namespace Filbertmount {

class AdminHandler;
class BlockingServer;

/** Serves the administration API on a separate port; see docs/administration-api.md. */
class AdminPort
{
public:
    AdminPort(const Endpoint &address, std::vector<TeamSettings> teams, AdminSources sources);
    ~AdminPort();
    AdminPort(const AdminPort &) = delete;
    AdminPort &operator=(const AdminPort &) = delete;

    /** Starts listening. Returns a Failure of Step::Administration if the address cannot be bound. */
    Result<void> start();
    /** Stops listening and waits for the requests in progress. */
    void stop();
    [[nodiscard]] std::uint16_t port() const;

    /** Replaces the teams and their tokens. Requests that are already authenticated continue. */
    void setTeams(std::vector<TeamSettings> teams);

private:
    std::unique_ptr<AdminHandler> m_handler;
    std::unique_ptr<BlockingServer> m_server;
};

} // namespace Filbertmount
