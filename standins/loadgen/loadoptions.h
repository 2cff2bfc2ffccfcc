#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount::StandIn {

/** An open load of one service. */
struct LoadOptions {
    /** "IP:port" of each entry instance. Requests rotate over them, and one that refused a connection is left out for a
     * while, as the platform's balancer would do. */
    std::vector<std::string> entries;
    std::string service = "shopfront";
    /** Requests a second. */
    double rate = 100;
    Duration length = std::chrono::seconds(10);
    /** Share of the requests that are orders: POST with an idempotency key, which may run at most once. */
    double orderShare = 0.1;
    std::string readPath = "/items/1";
    std::string orderPath = "/orders";
    /** Size of each answer in bytes; 0 for the smallest. */
    std::size_t answerBytes = 2000;
    std::size_t orderBytes = 500;
    /** How often a caller sends again after "not run", a broken connection or, for reads, an error. */
    int resends = 8;
    Duration resendDelay = std::chrono::milliseconds(200);
    Duration timeout = std::chrono::seconds(10);
    std::uint64_t seed = 1;
    /** Execution logs of all upstreams; orders are counted in them. */
    std::vector<std::string> executionLogs;
    bool json = false;
};

} // namespace Filbertmount::StandIn
