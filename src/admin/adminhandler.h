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
    [[nodiscard]] BlockingResponse handle(const BlockingRequest &request) const;

private:
    [[nodiscard]] BlockingResponse handleTeamRequest(const BlockingRequest &request, const TeamName &team) const;
    [[nodiscard]] BlockingResponse
    handleService(const BlockingRequest &request, const TeamName &team, const std::string &rest) const;
    [[nodiscard]] BlockingResponse readiness() const;
    [[nodiscard]] BlockingResponse listServices() const;
    [[nodiscard]] BlockingResponse timeline(const BlockingRequest &request) const;
    [[nodiscard]] BlockingResponse validate(const BlockingRequest &request) const;
    [[nodiscard]] BlockingResponse readDocument(const ServiceName &service) const;
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
