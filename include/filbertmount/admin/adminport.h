#pragma once

#include <filbertmount/admin/adminsources.h>
#include <filbertmount/settings/instancesettings.h>
#include <filbertmount/types/failure.h>

#include <memory>
#include <vector>

namespace Filbertmount {

class AdminHandler;
class BlockingServer;

/** The administration API on a port of its own; docs/administration-api.md describes it. */
class AdminPort
{
public:
    AdminPort(const Endpoint &address, std::vector<TeamSettings> teams, AdminSources sources);
    ~AdminPort();
    AdminPort(const AdminPort &) = delete;
    AdminPort &operator=(const AdminPort &) = delete;

    /** Starts to listen; a Failure of Step::Administration if the address cannot be taken. */
    Result<void> start();
    /** Waits for the requests in progress. */
    void stop();
    [[nodiscard]] std::uint16_t port() const;

    /** Replaces the teams and their tokens; requests in progress keep theirs. */
    void setTeams(std::vector<TeamSettings> teams);

private:
    std::unique_ptr<AdminHandler> m_handler;
    std::unique_ptr<BlockingServer> m_server;
};

} // namespace Filbertmount
