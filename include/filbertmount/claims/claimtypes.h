#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <absl/functional/any_invocable.h>

#include <array>
#include <cstdint>
#include <string>

namespace Filbertmount {

/** Random 128-bit number that identifies the attempt that made a claim. */
using ClaimNonce = std::array<std::uint8_t, 16>;
/** First 128 bits of the SHA-256 of an idempotency key. */
using ClaimKey = std::array<std::uint8_t, 16>;

/** Store objects per service. Fixed, because a key must stay in the same shard. */
inline constexpr unsigned ClaimShardsPerService = 64;

/** Identifies the claim of one attempt. */
struct ClaimId {
    ServiceName service;
    ClaimKey key{};
    ClaimNonce nonce{};
    /**
     * Set when the claim was forwarded to another instance that did not respond: the last second of the store's clock at
     * which that instance may read the shard and then write the claim. A release also removes an entry written that late.
     */
    StoreTime forwardedUntil;
};

enum class ClaimDecision : std::uint8_t {
    /** The key is claimed for this attempt, which may dispatch the request until ClaimResult::dispatchBefore. */
    Owned,
    /** An earlier attempt with the same key ran the request to completion. */
    AlreadyRun,
    /** An earlier attempt with the same key may have run. */
    OutcomeUnknown,
    /** The store did not confirm the claim; the request must be refused as not run. */
    Unavailable,
    /** The shard has no room until keys reach the end of their retention; the request must be refused as not run. */
    Full,
};

/** Result of ClaimService::claim(). */
struct ClaimResult {
    ClaimDecision decision = ClaimDecision::Unavailable;
    /** Set when Owned. */
    ClaimId id;
    /** Set when Owned: a request that is not dispatched before this instant must be refused and released. */
    Instant dispatchBefore;
    /** HTTP status that the earlier attempt recorded; set when AlreadyRun. */
    int status = 0;
};

/** Runs exactly once, on any thread, with no lock held. */
using ClaimHandler = absl::AnyInvocable<void(ClaimResult)>;

/** Hashes an idempotency key, byte for byte as the caller sent it. */
ClaimKey claimKey(const std::string &idempotencyKey);

/** Returns a nonce from the system's cryptographic random source. */
ClaimNonce randomClaimNonce();

/** Returns the number of the shard that holds @p key, below ClaimShardsPerService. */
unsigned claimShardNumber(const ClaimKey &key);

/** Returns the store key of the shard that holds @p key: claims/<service>/<shard>. */
std::string claimShardObject(const ServiceName &service, const ClaimKey &key);

} // namespace Filbertmount
