#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/types/instant.h>

#include <optional>
#include <string>

namespace Filbertmount {

/** Limit of filbertmount levels that one call may pass through; a longer chain is taken for a loop. */
inline constexpr int MaxCallDepth = 32;

/** Extra attempts that all levels of one call tree share. The first level sets them. */
inline constexpr int MaxRetriesPerCallTree = 2;

/** State of a call that each level of filbertmount passes to the next one in headers. */
struct CallContext {
    /** Identical at all levels, so that their events can be correlated. */
    std::string requestId;
    /** Number of filbertmount levels above this one. */
    int depth = 0;
    /** Extra attempts that this level and those below it may still use. */
    int retriesLeft = 0;
    /** Time until the caller's deadline; no value if the request does not state it. */
    std::optional<Duration> timeLeft;
};

/** Reads the context of an incoming request. Without a depth, this is the first level; malformed values count as absent. */
CallContext readCallContext(const Headers &headers);

/** Returns the end-to-end headers of a request, with the caller's context replaced by that for the next level. */
Headers forwardedHeaders(const Headers &headers, const CallContext &context, Duration timeLeft);

/** Returns the value of Filbertmount-Retries-Left in a response; 0 without the header. */
int retriesLeftOf(const Headers &responseHeaders);

} // namespace Filbertmount
