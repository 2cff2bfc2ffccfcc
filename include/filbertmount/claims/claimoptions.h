#pragma once

#include <filbertmount/types/instant.h>

#include <cstddef>
#include <cstdint>

namespace Filbertmount {

/** Timeouts and limits of the claims of idempotency keys. */
struct ClaimOptions {
    /** A claim on a shard that was written recently waits this long for other claims to share its write. */
    Duration batchDelay = std::chrono::milliseconds(3);
    /** A completion waits this long for a claim whose write it can share. A claim of the same key does not wait for it. */
    Duration completionDelay = std::chrono::seconds(1);
    /** Minimum and maximum timeout of a forwarded claim, after which the instance writes to the store itself. */
    Duration minForwardTimeout = std::chrono::milliseconds(30);
    Duration maxForwardTimeout = std::chrono::milliseconds(400);
    /** For this long after a timeout nothing is forwarded to the preferred writer. */
    Duration writerSkipTime = std::chrono::seconds(1);
    /** A claim that the store has not confirmed after this time is answered Unavailable. */
    Duration claimTimeout = std::chrono::seconds(1);
    /** Time from the start of a claim within which its request may be dispatched. */
    Duration dispatchWindow = std::chrono::seconds(2);
    /** Initial and maximum back-off after a failed store call. */
    Duration initialRetryDelay = std::chrono::milliseconds(5);
    Duration maxRetryDelay = std::chrono::seconds(1);
    /** Consecutive failed store calls after which waiting claims are answered Unavailable. */
    int maxStoreFailures = 3;
    /** A cached view of a shard that is older than this is read again before use. */
    Duration maxViewAge = std::chrono::seconds(5);
    /** A shard that is idle for longer than this is evicted from the cache. */
    Duration maxShardIdleTime = std::chrono::seconds(10);
    /** Above this number of claims in cached views, idle shards are evicted after 1 s; a claim takes about 64 bytes. */
    std::size_t maxCachedClaims = 200'000;
    /** At this number of open operations, new claims are answered Unavailable, to bound the memory. */
    std::size_t maxOpenOperations = 100'000;
    /** Seeds the jitter of retries. */
    std::uint64_t seed = 1;
};

} // namespace Filbertmount
