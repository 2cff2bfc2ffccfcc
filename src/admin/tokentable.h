#pragma once

#include <filbertmount/settings/instancesettings.h>

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** Finds the team that a token belongs to. Thread-safe. Stores only hashes, and never logs or returns a token. */
class TokenTable
{
public:
    explicit TokenTable(std::vector<TeamSettings> teams);

    void setTeams(std::vector<TeamSettings> teams);

    /** @param authorization value of the Authorization header, "Bearer TOKEN" */
    [[nodiscard]] std::optional<TeamName> teamOf(const std::string &authorization) const;

private:
    // Guards the members below. A std::mutex, because ThreadSanitizer cannot track the locks of Debian's Abseil package.
    mutable std::mutex m_mutex;
    std::vector<TeamSettings> m_teams;
};

} // namespace Filbertmount
