#pragma once

#include <filbertmount/store/objectstore.h>

#include "store/httpcall.h"

#include <optional>
#include <string>

namespace Filbertmount {

// Interpretation of the store's responses, without I/O. Each reason names the step and the peer.

StoreReply readReply(const HttpAnswer &answer, const std::string &key, const std::string &peer);
StoreReply updateReply(const HttpAnswer &answer, const std::string &key, const std::string &peer);
StoreListing listingReply(const HttpAnswer &answer, Step step, const std::string &peer);
InstanceListing instancesReply(const HttpAnswer &answer, const std::string &peer);

/** Parses an ETag such as "\"17\"" with its quotes. Revision 0 is refused: it stands for an absent object. */
std::optional<Revision> parseEtag(const std::string &text);

} // namespace Filbertmount
