#pragma once

#include <filbertmount/types/instant.h>

#include <cstddef>
#include <cstdint>

namespace Filbertmount {

struct ClaimOptions {
    /** Time for which claims are collected when the shard was written shortly before. */
    Duration batchDelay = std::chrono::milliseconds(3);
    /** A completion waits this long for a claim to share its write with; a claim of the same key does not wait for it. */
    Duration completionDelay = std::chrono::seconds(1);
    /** Shortest and longest wait for the answer of the preferred writer before the instance writes itself. */
    Duration forwardTimeout = std::chrono::milliseconds(30);
    Duration forwardTimeoutLimit = std::chrono::milliseconds(400);
    /** Time for which a preferred writer that did not answer is passed over. */
    Duration writerSkipTime = std::chrono::seconds(1);
    /** A claim without proof after this time is answered Unavailable. */
    Duration claimTimeout = std::chrono::seconds(1);
    /** From the start of the claim to the latest dispatch. */
    Duration dispatchWindow = std::chrono::seconds(2);
    /** First and longest wait before a failed store call is repeated. */
    Duration retryDelay = std::chrono::milliseconds(5);
    Duration retryDelayLimit = std::chrono::seconds(1);
    /** Store calls that fail in a row before waiting claims are answered Unavailable. */
    int maxStoreFailures = 3;
    /** A view of a shard that is older than this is read again before use. */
    Duration maxViewAge = std::chrono::seconds(5);
    /** A shard without work for this time is dropped from the cache. */
    Duration maxShardIdleTime = std::chrono::seconds(10);
    /** Claims in cached views above which views without work are dropped early; about 64 bytes each. */
    std::size_t maxCachedClaims = 200'000;
    /** Open operations above which new claims are answered Unavailable, to bound the memory. */
    std::size_t maxOpenOperations = 100'000;
    /** Seeds the jitter of retries. */
    std::uint64_t seed = 1;
};

} // namespace Filbertmount
