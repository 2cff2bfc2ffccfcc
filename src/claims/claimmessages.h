#pragma once

#include <filbertmount/claims/claimcoordinator.h>

#include <optional>

namespace Filbertmount {

/** Builds the message that forwards @p operation to the preferred writer. */
Wire::Body claimRequestMessage(const ServiceName &service, const ShardOperation &operation, std::uint64_t number);

/** Parses a forwarded operation; its id and deadline stay unset. Returns nullopt when the message is malformed. */
std::optional<ShardOperation> parseClaimRequest(const Wire::ClaimRequest &request);

Wire::ClaimRequest::Kind wireKind(ShardOperationKind kind);
Wire::ClaimReply::Decision wireDecision(ClaimDecision decision);

/** Converts a decision from the wire; one that this version does not define becomes Unavailable. */
ClaimDecision parseDecision(Wire::ClaimReply::Decision decision);

/** Parses the nonce of a message; nullopt when it has the wrong length. */
std::optional<ClaimNonce> parseNonce(const Wire::ClaimEntry &entry);

} // namespace Filbertmount
