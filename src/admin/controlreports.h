#pragma once

#include <filbertmount/telemetry/eventring.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Filbertmount {

/** Status of a service as reported by one member. */
struct MemberStatus {
    std::string address;
    /** Null if the member reported none. */
    nlohmann::json status;
    /** Why the member reported none. */
    std::string error;
};

// Reports of filbertmountctl. A malformed status is shown as an error in the row of its member.

std::string statusReport(const std::vector<MemberStatus> &members);
nlohmann::json statusJson(const std::vector<MemberStatus> &members);
std::string timelineReport(const std::vector<Event> &events);
std::string historyReport(const nlohmann::json &history);
std::string listReport(const nlohmann::json &services);

} // namespace Filbertmount
