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
    [[nodiscard]] BlockingAnswer handle(const BlockingRequest &request) const;

private:
    /** Handles the paths that require the token of a team. */
    [[nodiscard]] BlockingAnswer handleTeamRequest(const BlockingRequest &request, const TeamName &team) const;
    [[nodiscard]] BlockingAnswer
    handleService(const BlockingRequest &request, const TeamName &team, const std::string &subPath) const;
    [[nodiscard]] BlockingAnswer readiness() const;
    [[nodiscard]] BlockingAnswer listServices() const;
    [[nodiscard]] BlockingAnswer timeline(const BlockingRequest &request) const;
    [[nodiscard]] BlockingAnswer validate(const BlockingRequest &request) const;
    [[nodiscard]] BlockingAnswer readDocument(const ServiceName &service) const;
    /** Returns the document in force at this instance; @p reason says why the store could not be read. */
    [[nodiscard]] BlockingAnswer readCachedDocument(const ServiceName &service, const std::string &reason) const;
    [[nodiscard]] BlockingAnswer history(const ServiceName &service) const;
    [[nodiscard]] BlockingAnswer status(const ServiceName &service) const;
    [[nodiscard]] BlockingAnswer
    changeDocument(const BlockingRequest &request, const TeamName &team, const ServiceName &service) const;
    [[nodiscard]] BlockingAnswer applyEdit(const DocumentEdit &edit) const;

    TokenTable m_tokens;
    AdminSources m_sources;
};

} // namespace Filbertmount
