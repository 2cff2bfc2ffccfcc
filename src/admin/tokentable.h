#pragma once

#include <filbertmount/settings/instancesettings.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** Finds the team of a token. Thread-safe. Holds hashes only, and never logs or returns a token. */
class TokenTable
{
public:
    explicit TokenTable(std::vector<TeamSettings> teams);

    void setTeams(std::vector<TeamSettings> teams);

    /** @param authorization value of the Authorization header, "Bearer TOKEN" */
    [[nodiscard]] std::optional<TeamName> teamOf(const std::string &authorization) const;

private:
    mutable absl::Mutex m_mutex;
    std::vector<TeamSettings> m_teams ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
