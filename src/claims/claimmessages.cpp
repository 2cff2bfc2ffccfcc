#include "claimmessages.h"

#include <algorithm>

namespace Filbertmount {

namespace {

template<class Bytes>
std::string toByteString(const Bytes &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::optional<std::array<std::uint8_t, 16>> parseBytes16(const std::string &value)
{
    std::array<std::uint8_t, 16> bytes{};
    if (value.size() != bytes.size()) {
        return std::nullopt;
    }
    std::copy(value.begin(), value.end(), bytes.begin());
    return bytes;
}

// Upper bound of a valid store time in seconds, far beyond any real date.
constexpr std::uint64_t MaxStoreSeconds = std::uint64_t{1} << 40U;

} // namespace

Wire::ClaimRequest::Kind wireKind(ShardOperationKind kind)
{
    switch (kind) {
    case ShardOperationKind::Claim:
        return Wire::ClaimRequest::CLAIM;
    case ShardOperationKind::Complete:
        return Wire::ClaimRequest::COMPLETE;
    case ShardOperationKind::Release:
        return Wire::ClaimRequest::RELEASE;
    }
    return Wire::ClaimRequest::CLAIM;
}

Wire::Body claimRequestMessage(const ServiceName &service, const ShardOperation &operation, std::uint64_t number)
{
    Wire::Body body;
    Wire::ClaimRequest &request = *body.mutable_claim_request();
    request.set_service(service.value());
    request.set_shard(claimShardNumber(operation.key));
    request.set_request(number);
    request.set_kind(wireKind(operation.kind));
    request.mutable_entry()->set_key(toByteString(operation.key));
    request.mutable_entry()->set_nonce(toByteString(operation.nonce));
    request.set_status(static_cast<std::uint32_t>(operation.status));
    request.set_retention_s(operation.retentionSeconds);
    request.set_not_after(static_cast<std::uint64_t>(operation.notAfter.seconds));
    return body;
}

std::optional<ShardOperation> parseClaimRequest(const Wire::ClaimRequest &request)
{
    const auto key = parseBytes16(request.entry().key());
    const auto nonce = parseBytes16(request.entry().nonce());
    if (!key || !nonce || request.service().empty() || request.shard() != claimShardNumber(*key)
        || !Wire::ClaimRequest::Kind_IsValid(request.kind()) || request.not_after() > MaxStoreSeconds) {
        return std::nullopt;
    }
    ShardOperation operation{.key = *key, .nonce = *nonce};
    operation.retentionSeconds = request.retention_s();
    operation.notAfter.seconds = static_cast<std::int64_t>(request.not_after());
    if (request.kind() == Wire::ClaimRequest::CLAIM) {
        // A claim without notAfter could be written long after its owner gave it up.
        return operation.notAfter == StoreTime{} ? std::nullopt : std::optional(operation);
    }
    const bool completion = request.kind() == Wire::ClaimRequest::COMPLETE;
    if (completion && (request.status() < 100 || request.status() > 999)) {
        return std::nullopt;
    }
    operation.kind = completion ? ShardOperationKind::Complete : ShardOperationKind::Release;
    operation.status = static_cast<int>(request.status());
    return operation;
}

Wire::ClaimReply::Decision wireDecision(ClaimDecision decision)
{
    switch (decision) {
    case ClaimDecision::Owned:
        return Wire::ClaimReply::OWNED;
    case ClaimDecision::AlreadyRun:
        return Wire::ClaimReply::ALREADY_RUN;
    case ClaimDecision::OutcomeUnknown:
        return Wire::ClaimReply::OUTCOME_UNKNOWN;
    case ClaimDecision::Unavailable:
        return Wire::ClaimReply::UNAVAILABLE;
    case ClaimDecision::Full:
        return Wire::ClaimReply::FULL;
    }
    return Wire::ClaimReply::UNAVAILABLE;
}

ClaimDecision parseDecision(Wire::ClaimReply::Decision decision)
{
    switch (decision) {
    case Wire::ClaimReply::OWNED:
        return ClaimDecision::Owned;
    case Wire::ClaimReply::ALREADY_RUN:
        return ClaimDecision::AlreadyRun;
    case Wire::ClaimReply::OUTCOME_UNKNOWN:
        return ClaimDecision::OutcomeUnknown;
    case Wire::ClaimReply::FULL:
        return ClaimDecision::Full;
    default:
        return ClaimDecision::Unavailable;
    }
}

std::optional<ClaimNonce> parseNonce(const Wire::ClaimEntry &entry)
{
    return parseBytes16(entry.nonce());
}

} // namespace Filbertmount
