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
/** @param revision revision of the store object, which is that of the last change */
nlohmann::json historyJson(const DocumentValue &value, Revision revision);

/** Converts JSON written by toJson() back to an event. Throws nlohmann::json::exception if it is malformed. */
Event eventFromJson(const nlohmann::json &json);

/** Serializes JSON; invalid UTF-8 is replaced. */
std::string dumpJson(const nlohmann::json &json);

} // namespace Filbertmount
