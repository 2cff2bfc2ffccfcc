#pragma once

#include <filbertmount/admin/documentedit.h>

#include "http/blockingserver.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Filbertmount {

// Responses of the administration API that do not depend on the state of the instance.

BlockingResponse jsonResponse(const nlohmann::json &json);
/** Returns an application/problem+json response with the members of @p extraMembers added. */
BlockingResponse
problemResponse(int status, const std::string &detail, const nlohmann::json &extraMembers = nlohmann::json::object());
BlockingResponse editResponse(const DocumentEdit &edit, const EditReply &reply);

/**
 * Returns the revision that a request is based on: N for If-Match: "N", AbsentRevision for If-None-Match: *. Returns nothing
 * unless exactly one of the headers is present and valid.
 */
std::optional<Revision> expectedRevision(const BlockingRequest &request);

/** Validates a document; returns a problem response with all errors if it is invalid. */
std::optional<BlockingResponse> rejectInvalidDocument(const std::string &text, const std::string &fileName);

std::string etagOf(Revision revision);

} // namespace Filbertmount
