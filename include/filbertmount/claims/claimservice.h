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

struct ClaimId {
    ServiceName service;
    ClaimKey key{};
    ClaimNonce nonce{};
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
    /** Set when Owned: a request that is not dispatched before this instant must be refused. */
    Instant dispatchBefore;
    /** HTTP status of the recorded run; set when AlreadyRun. */
    int status = 0;
};

/** Runs exactly once, on any thread, with no lock held. */
using ClaimHandler = absl::AnyInvocable<void(ClaimAnswer)>;

} // namespace Filbertmount
