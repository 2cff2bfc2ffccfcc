#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** Order of load shedding under overload: requests of patient priority are shed before interactive ones. */
enum class Priority : std::uint8_t {
    Interactive,
    Patient,
};

/** An upstream whose address is listed in the document instead of in the platform's instance list. */
struct StaticUpstream {
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
};

/** Where the upstreams of a service come from. Exactly one of list and addresses is set. */
struct UpstreamSource {
    /** Service name in the platform's instance list. */
    std::string list;
    std::vector<StaticUpstream> addresses;
    /** Number of requests that one upstream runs concurrently. */
    int slots = 2;
    /** Maximum number of connections to one upstream, over all entry instances. */
    int connections = 200;
    /** Time over which the usable slots of a new upstream ramp up. */
    Duration coldStart = std::chrono::seconds(5);
};

struct Route {
    /** Upper-case HTTP method; "*" matches every method. */
    std::string method = "*";
    /** Path pattern: '*' matches one segment, a trailing "**" matches all remaining segments, also none. */
    std::string path = "/**";
    Duration deadline = std::chrono::seconds(10);
    /** Whether the request may safely be run more than once, as needed for retries and hedging. */
    bool repeatable = false;
    Priority priority = Priority::Interactive;
};

struct MeasuringSettings {
    /** Maximum share of the upstreams' slot time used by the probes of all entry instances together, in percent. */
    double budgetPercent = 1.0;
    std::string probePath = "/health";
    /** Slot time charged against the budget for one probe, including its connection. */
    Duration probeCost = std::chrono::milliseconds(5);
};

struct RetrySettings {
    /** Retries per first attempt, in percent, over a sliding window. */
    double budgetPercent = 10.0;
    /** Maximum number of attempts for one request at this level, including the first. */
    int attempts = 3;
    /** Maximum number of retries that an entry instance can accumulate while it needs none, and then use at once. */
    double maxBurst = 20;
    /** Retries granted per second independently of traffic, per entry instance. */
    double tokensPerSecond = 0;
};

struct HedgingSettings {
    /** Hedged attempts per first attempt, in percent; 0 disables hedging. */
    double budgetPercent = 2.0;
};

struct LimitSettings {
    /** Maximum number of requests waiting for a slot, over all entry instances. */
    int queue = 200;
    std::int64_t maxHeaderBytes = std::int64_t{16} << 10U;
    std::int64_t maxBodyBytes = std::int64_t{16} << 20U;
};

/** Weight of tail latency against the cost of measuring, from 0 (only cost counts) to 1 (only latency counts). */
struct Weights {
    double tailLatency = 0.7;
};

struct ClaimSettings {
    /** How long the claim of an idempotency key is kept, by the store's clock. */
    Duration retention = std::chrono::hours(24);
};

/** A validated service document. */
struct ServiceDocument {
    ServiceName service;
    TeamName team;
    /** Host header values that select this service; only the service name if the document lists none. */
    std::vector<std::string> hosts;
    UpstreamSource upstreams;
    std::vector<Route> routes;
    MeasuringSettings measuring;
    RetrySettings retries;
    HedgingSettings hedging;
    LimitSettings limits;
    Weights weights;
    ClaimSettings claims;
};

} // namespace Filbertmount
