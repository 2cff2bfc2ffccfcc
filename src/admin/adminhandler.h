#pragma once

#include <filbertmount/admin/adminsources.h>

#include "admin/tokentable.h"
#include "http/blockingserver.h"

#include <string>
#include <vector>

namespace Filbertmount {

/** Answers the requests of the administration API, without sockets. Thread-safe. */
class AdminHandler
{
public:
    AdminHandler(std::vector<TeamSettings> teams, AdminSources sources);

    void setTeams(std::vector<TeamSettings> teams);
    [[nodiscard]] ServerAnswer handle(const ServerRequest &request) const;

private:
    [[nodiscard]] ServerAnswer handleTeamRequest(const ServerRequest &request, const TeamName &team) const;
    [[nodiscard]] ServerAnswer handleService(const ServerRequest &request, const TeamName &team, const std::string &rest) const;
    [[nodiscard]] ServerAnswer readiness() const;
    [[nodiscard]] ServerAnswer listServices() const;
    [[nodiscard]] ServerAnswer timeline(const ServerRequest &request) const;
    [[nodiscard]] ServerAnswer validate(const ServerRequest &request) const;
    [[nodiscard]] ServerAnswer readDocument(const ServiceName &service) const;
    [[nodiscard]] ServerAnswer readCachedDocument(const ServiceName &service, const std::string &reason) const;
    [[nodiscard]] ServerAnswer history(const ServiceName &service) const;
    [[nodiscard]] ServerAnswer status(const ServiceName &service) const;
    [[nodiscard]] ServerAnswer
    changeDocument(const ServerRequest &request, const TeamName &team, const ServiceName &service) const;
    [[nodiscard]] ServerAnswer applyEdit(const DocumentEdit &edit) const;

    TokenTable m_tokens;
    AdminSources m_sources;
};

} // namespace Filbertmount
