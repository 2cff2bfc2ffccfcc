#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

namespace Filbertmount {

struct AdmissionOptions {
    /** Requests that one entry instance holds at a time, waiting or running. */
    int capacity = 4096;
    /** Share of the capacity above which patient requests are refused. */
    double patientShare = 0.8;
    /** Share of the capacity above which a team gets no more than its fair share. */
    double fairShareThreshold = 0.5;
};

/**
 * Limits what one entry instance holds at a time: patient requests are refused first, and under pressure no team holds
 * more than its share, which is the capacity divided by the teams that hold something. Not thread-safe.
 */
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionOptions options = {});

    /** Counts the request and returns true, or returns false. */
    bool admit(const TeamName &team, Priority priority);
    /** Ends a request that was admitted. */
    void finish(const TeamName &team);
    [[nodiscard]] int held() const;

private:
    [[nodiscard]] bool mayAdmit(int heldByTeam, Priority priority) const;

    AdmissionOptions m_options;
    absl::flat_hash_map<TeamName, int> m_heldByTeam;
    int m_held = 0;
    /** Teams with at least one request. */
    int m_activeTeams = 0;
};

} // namespace Filbertmount
