#pragma once

#include <filbertmount/telemetry/eventring.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Filbertmount {

/** The status that one member gave of a service. */
struct MemberStatus {
    std::string address;
    /** Null when the member gave none. */
    nlohmann::json status;
    /** Why the member gave none. */
    std::string error;
};

// Text reports of filbertmountctl. A malformed status becomes a row that says so.

std::string statusReport(const std::vector<MemberStatus> &members);
nlohmann::json statusJson(const std::vector<MemberStatus> &members);
std::string timelineReport(const std::vector<Event> &events);
std::string historyReport(const nlohmann::json &history);
std::string listReport(const nlohmann::json &services);

} // namespace Filbertmount
