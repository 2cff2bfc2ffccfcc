#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/types/instant.h>

#include <optional>
#include <string>

namespace Filbertmount {

/** Levels of filbertmount that one call may pass through; more than that is a loop. */
inline constexpr int MaxCallDepth = 32;

/** Extra attempts that the first level grants to all levels below it together. */
inline constexpr int MaxRetriesPerCallTree = 2;

/** What one level of a call tree tells the next one in headers. */
struct CallContext {
    /** The same at all levels; joins their events. */
    std::string requestId;
    /** Levels of filbertmount above this one. */
    int depth = 0;
    /** Extra attempts that this level and those below it may still use. */
    int retriesLeft = 0;
    /** Time that the caller still has; nothing when it did not say. */
    std::optional<Duration> timeLeft;
};

/** Reads the context of an incoming request. A call without a depth is at the edge; malformed values count as absent. */
CallContext readCallContext(const Headers &headers);

/** Returns the end-to-end headers of a request with the context for the next level in place of the caller's. */
Headers forwardedHeaders(const Headers &headers, const CallContext &context, Duration timeLeft);

/** Returns the value of Filbertmount-Retries-Left in an answer; 0 without the header. */
int retriesLeftOf(const Headers &responseHeaders);

} // namespace Filbertmount
