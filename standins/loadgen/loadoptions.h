#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount::StandIn {

/** Options of an open-loop load on one service. */
struct LoadOptions {
    /**
     * "IP:port" of each entry instance. Requests are sent round-robin. An entry instance that refused a connection is
     * skipped for a while, as the platform's load balancer would do.
     */
    std::vector<std::string> entries;
    /** Value of the Host header. */
    std::string service = "shopfront";
    /** Requests per second. */
    double rate = 100;
    Duration duration = std::chrono::seconds(10);
    /** Share of the requests that are orders: POST with an idempotency key, which may run at most once. */
    double orderShare = 0.1;
    std::string readPath = "/items/1";
    std::string orderPath = "/orders";
    /** Requested size of each response in bytes; 0 requests the smallest response. */
    std::size_t responseBytes = 2000;
    std::size_t orderBytes = 500;
    /** Maximum number of resends of one request; shouldResend() decides which outcomes are resent. */
    int maxResends = 8;
    Duration resendDelay = std::chrono::milliseconds(200);
    Duration timeout = std::chrono::seconds(10);
    std::uint64_t seed = 1;
    /** Execution logs of all upstreams, from which the runs of each order are counted. */
    std::vector<std::string> executionLogs;
    bool json = false;
};

} // namespace Filbertmount::StandIn
