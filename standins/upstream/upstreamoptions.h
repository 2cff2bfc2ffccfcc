#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>

namespace Filbertmount::StandIn {

/** Options of the upstream stand-in. */
struct UpstreamOptions {
    /** Name of this upstream in its responses. */
    std::string id = "upstream";
    std::string address = "127.0.0.1";
    /** 0 selects a free port. */
    std::uint16_t port = 0;
    /** Number of requests that run at the same time. */
    int slots = 2;
    /** Number of requests that may wait for a slot; further ones are shed. */
    int queueCapacity = 64;
    Duration meanServiceTime = std::chrono::milliseconds(20);
    /** Share of the requests that take ten times the mean service time. */
    double slowShare = 0.02;
    /** Time after the start during which requests take three times as long. */
    Duration coldStart{0};
    /** Age of the reported load. */
    Duration reportLag{0};
    std::uint64_t seed = 1;
    /** File that receives one line for each request that is run; empty disables the log. */
    std::string executionLog;
};

} // namespace Filbertmount::StandIn
