#pragma once

#include <filbertmount/admin/adminsources.h>
#include <filbertmount/document/configissue.h>
#include <filbertmount/document/documentvalue.h>

#include <nlohmann/json.hpp>

namespace Filbertmount {

// JSON bodies of the administration API.

nlohmann::json toJson(const DocumentReport &report);
nlohmann::json toJson(const ServiceReport &report);
nlohmann::json toJson(const MemberReport &report);
nlohmann::json toJson(const Event &event);
nlohmann::json toJson(const ConfigIssues &issues);
/** @param revision of the value, which is that of its last change */
nlohmann::json historyJson(const DocumentValue &value, Revision revision);

/** Reads an event back; throws nlohmann::json::exception if it is malformed. */
Event eventFromJson(const nlohmann::json &json);

/** Writes JSON; bytes that are not UTF-8 are replaced. */
std::string dumpJson(const nlohmann::json &json);

} // namespace Filbertmount
