#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

namespace Filbertmount {

/** Limits on the requests that one entry instance has in progress. */
struct AdmissionOptions {
    /** Maximum number of requests in progress at a time, waiting or running. */
    int capacity = 4096;
    /** Share of the capacity above which requests of Priority::Patient are refused. */
    double patientShare = 0.8;
    /** Share of the capacity above which each team is limited to its fair share. */
    double fairShareThreshold = 0.5;
};

/**
 * Limits the requests in progress in one entry instance. Requests of Priority::Patient are refused first. Above
 * fairShareThreshold, no team gets more than the capacity divided by the number of teams with requests in progress.
 * Not thread-safe.
 */
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionOptions options = {});

    /** Returns whether the request is admitted, and counts it if so. Each admitted request needs one call of finish(). */
    bool admit(const TeamName &team, Priority priority);
    /** Removes an admitted request from the counts. */
    void finish(const TeamName &team);
    /** Number of requests in progress. */
    [[nodiscard]] int inProgress() const;

private:
    [[nodiscard]] bool mayAdmit(int inProgressByTeam, Priority priority) const;

    AdmissionOptions m_options;
    absl::flat_hash_map<TeamName, int> m_inProgressByTeam;
    int m_inProgress = 0;
    /** Number of teams with at least one request in progress. */
    int m_activeTeams = 0;
};

} // namespace Filbertmount
