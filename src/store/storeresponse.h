#pragma once

#include <filbertmount/store/objectstore.h>

#include "store/httpcall.h"

#include <optional>
#include <string>

namespace Filbertmount {

// These functions convert HTTP responses of the store to replies. Reasons have the form "step: peer: reason".

StoreReply interpretReadResponse(const HttpResponse &response, const std::string &key, const std::string &peer);
StoreReply interpretUpdateResponse(const HttpResponse &response, const std::string &key, const std::string &peer);
StoreListing interpretListingResponse(const HttpResponse &response, Step step, const std::string &peer);
InstanceListing interpretInstancesResponse(const HttpResponse &response, const std::string &peer);

/** Parses a quoted ETag such as "\"17\"". Revision 0 is invalid in an ETag, since it stands for an absent object. */
std::optional<Revision> parseEtag(const std::string &text);

} // namespace Filbertmount
