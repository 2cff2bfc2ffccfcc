#pragma once

#include <filbertmount/admin/documentedit.h>

#include "http/blockingserver.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Filbertmount {

// Responses of the administration API that do not depend on the instance.

BlockingResponse jsonAnswer(const nlohmann::json &json);
/** An application/problem+json response; @p more adds members to it. */
BlockingResponse problemAnswer(int status, const std::string &detail, const nlohmann::json &more = nlohmann::json::object());
BlockingResponse editAnswer(const DocumentEdit &edit, const EditReply &reply);

/** The revision that a request was made from: If-None-Match: * or If-Match: "N". Empty if neither is there and valid. */
std::optional<Revision> expectedRevision(const BlockingRequest &request);

/** Checks a document against its name and team; returns a response if it must be refused. */
std::optional<BlockingResponse> refuseDocument(const std::string &text, const std::string &fileName);

std::string etagOf(Revision revision);

} // namespace Filbertmount
