#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>

namespace Filbertmount::StandIn {

/** How the stand-in for an upstream behaves. */
struct UpstreamOptions {
    std::string id = "upstream";
    std::string address = "127.0.0.1";
    /** 0 takes a free port. */
    std::uint16_t port = 0;
    int slots = 2;
    /** Requests that may wait for a slot before the stand-in sheds load. */
    int queue = 64;
    Duration meanServiceTime = std::chrono::milliseconds(20);
    /** Share of the requests that take ten times the mean service time. */
    double slowShare = 0.02;
    /** During this time after the start, requests take three times as long. */
    Duration coldStart{0};
    /** How old the load report is. */
    Duration reportLag{0};
    std::uint64_t seed = 1;
    /** File that gets one line for each request that was run; empty for none. */
    std::string executionLog;
};

} // namespace Filbertmount::StandIn
