#pragma once

#include <filbertmount/admin/adminsources.h>

#include "admin/tokentable.h"
#include "http/blockingserver.h"

#include <string>
#include <vector>

namespace Filbertmount {

/** Handles the requests of the administration API, independently of the HTTP server. Thread-safe. */
class AdminHandler
{
public:
    AdminHandler(std::vector<TeamSettings> teams, AdminSources sources);

    void setTeams(std::vector<TeamSettings> teams);
    [[nodiscard]] BlockingResponse handle(const BlockingRequest &request) const;

private:
    /** Handles the paths that require the token of a team. */
    [[nodiscard]] BlockingResponse handleTeamRequest(const BlockingRequest &request, const TeamName &team) const;
    [[nodiscard]] BlockingResponse
    handleService(const BlockingRequest &request, const TeamName &team, const std::string &subPath) const;
    [[nodiscard]] BlockingResponse readiness() const;
    [[nodiscard]] BlockingResponse listServices() const;
    [[nodiscard]] BlockingResponse timeline(const BlockingRequest &request) const;
    [[nodiscard]] BlockingResponse validate(const BlockingRequest &request) const;
    [[nodiscard]] BlockingResponse readDocument(const ServiceName &service) const;
    /** Returns the document in force at this instance; @p reason states why the store could not be read. */
    [[nodiscard]] BlockingResponse readCachedDocument(const ServiceName &service, const std::string &reason) const;
    [[nodiscard]] BlockingResponse history(const ServiceName &service) const;
    [[nodiscard]] BlockingResponse status(const ServiceName &service) const;
    [[nodiscard]] BlockingResponse
    changeDocument(const BlockingRequest &request, const TeamName &team, const ServiceName &service) const;
    [[nodiscard]] BlockingResponse applyEdit(const DocumentEdit &edit) const;

    TokenTable m_tokens;
    AdminSources m_sources;
};

} // namespace Filbertmount
