#pragma once

#include <filbertmount/routing/placement.h>

#include <optional>
#include <string>
#include <string_view>

namespace Filbertmount {

/** Header names and paths that callers, upstreams and the platform's balancer use; filled in by the platform's adapter. */
struct HttpDialect {
    /** Id of one attempt of a caller; upstreams repeat it in their answers. */
    std::string attemptId;
    /** Milliseconds that the sender will still wait. */
    std::string timeLeft;
    /** Upstream that a request is meant for; any other refuses it without running it. */
    std::string expectedUpstream;
    /** Present in every answer that an upstream made itself. */
    std::string answerStamp;
    /** Present in an answer when the upstream did not run the request. */
    std::string notRun;
    /** Id of the upstream that gives an answer about itself. */
    std::string upstreamId;
    /** Load of the upstream when it answered. */
    std::string upstreamLoad;
    /** Path of the balancer's readiness check. */
    std::string readinessPath;
    /** Reads the value of upstreamLoad; nothing for a malformed one. */
    std::optional<UpstreamLoad> (*parseLoad)(std::string_view value) = nullptr;
};

} // namespace Filbertmount
