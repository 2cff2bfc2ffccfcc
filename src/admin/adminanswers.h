#pragma once

#include <filbertmount/admin/documentedit.h>

#include "http/blockingserver.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Filbertmount {

// Responses of the administration API that do not depend on the instance.

BlockingAnswer jsonAnswer(const nlohmann::json &json);
/** An application/problem+json response; @p extraMembers adds members to it. */
BlockingAnswer
problemAnswer(int status, const std::string &detail, const nlohmann::json &extraMembers = nlohmann::json::object());
BlockingAnswer editAnswer(const DocumentEdit &edit, const EditReply &reply);

/** The revision that a request was made from: If-None-Match: * or If-Match: "N". Empty if neither is there and valid. */
std::optional<Revision> expectedRevision(const BlockingRequest &request);

/** Checks a document against its name and team; returns a response if it must be refused. */
std::optional<BlockingAnswer> rejectInvalidDocument(const std::string &text, const std::string &fileName);

std::string etagOf(Revision revision);

} // namespace Filbertmount
