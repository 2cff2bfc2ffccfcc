#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <absl/functional/any_invocable.h>

#include <array>
#include <cstdint>
#include <string>

namespace Filbertmount {

/** Random 128-bit number that identifies the attempt that owns a claim. */
using ClaimNonce = std::array<std::uint8_t, 16>;
/** First 128 bits of the SHA-256 of an idempotency key. */
using ClaimKey = std::array<std::uint8_t, 16>;

/** Shards per service; a key's shard never changes, so neither does this number. */
inline constexpr unsigned ClaimShardsPerService = 64;

struct ClaimId {
    ServiceName service;
    ClaimKey key{};
    ClaimNonce nonce{};
    /**
     * Zero, or the last second of the store's clock at which another instance may read the shard and then write this
     * claim, because the claim was forwarded to it and it did not answer. A release removes such a late entry, too.
     */
    StoreTime forwardedUntil;
};

enum class ClaimDecision : std::uint8_t {
    /** The caller of claim() alone may dispatch, until ClaimAnswer::dispatchBefore. */
    Owned,
    /** The request was run to the end by an earlier attempt with the same key. */
    AlreadyRun,
    /** An earlier attempt with the same key may have run. */
    OutcomeUnknown,
    /** The store gave no proof; the request must be refused as not run. */
    Unavailable,
    /** The shard holds too many keys within their retention; the request must be refused as not run. */
    Full,
};

struct ClaimAnswer {
    ClaimDecision decision = ClaimDecision::Unavailable;
    /** Set when Owned. */
    ClaimId id;
    /** Set when Owned: a request that is not dispatched before this instant must be refused and released. */
    Instant dispatchBefore;
    /** HTTP status of the recorded run; set when AlreadyRun. */
    int status = 0;
};

/** Runs exactly once, on any thread, with no lock held. */
using ClaimHandler = absl::AnyInvocable<void(ClaimAnswer)>;

/** Hashes an idempotency key as the caller sent it. */
ClaimKey claimKey(const std::string &idempotencyKey);

/** Returns a nonce from the system's cryptographic random source. */
ClaimNonce randomClaimNonce();

/** Returns the number of the shard that holds @p key, below ClaimShardsPerService. */
unsigned claimShardNumber(const ClaimKey &key);

/** Returns the store key of the shard that holds @p key: claims/<service>/<shard>. */
std::string claimShardObject(const ServiceName &service, const ClaimKey &key);

} // namespace Filbertmount
