#pragma once

#include <filbertmount/claims/claimcoordinator.h>

#include <optional>

namespace Filbertmount {

/** Builds the message that forwards @p operation to the preferred writer. */
Wire::Body claimRequestMessage(const ServiceName &service, const ShardOperation &operation, std::uint64_t number);

/** Reads a forwarded operation; its id and deadline stay unset. Returns nothing when the message is malformed. */
std::optional<ShardOperation> parseClaimRequest(const Wire::ClaimRequest &request);

Wire::ClaimRequest::Kind wireKind(ShardOperationKind kind);
Wire::ClaimReply::Decision wireDecision(ClaimDecision decision);

/** Returns Unavailable for a decision that this version does not know. */
ClaimDecision parseDecision(Wire::ClaimReply::Decision decision);

/** Reads the nonce of a message; nothing when it has the wrong length. */
std::optional<ClaimNonce> parseNonce(const Wire::ClaimEntry &entry);

} // namespace Filbertmount
