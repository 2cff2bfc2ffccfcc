#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** Which callers are shed first under overload: patient ones before interactive ones. */
enum class Priority : std::uint8_t {
    Interactive,
    Patient,
};

/** An upstream that the document names itself instead of through the platform's instance list. */
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
    /** Requests that one upstream runs at a time. */
    int slots = 2;
    /** Connections that one upstream accepts from all entry instances together. */
    int connections = 200;
    /** Time over which a new upstream's slots ramp up. */
    Duration coldStart = std::chrono::seconds(5);
};

struct Route {
    /** Upper-case HTTP method; "*" matches every method. */
    std::string method = "*";
    /** Path pattern: '*' matches one segment, a trailing "**" matches the rest. */
    std::string path = "/**";
    Duration deadline = std::chrono::seconds(10);
    /** Whether running the request twice does no harm. The default is the safe one. */
    bool repeatable = false;
    Priority priority = Priority::Interactive;
};

struct MeasuringSettings {
    /** Highest share of the upstreams' slot time that probes of all entry instances together may take, in percent. */
    double budgetPercent = 1.0;
    std::string probePath = "/health";
    /** Slot time that one probe is charged, including the connection. */
    Duration probeCost = std::chrono::milliseconds(5);
};

struct RetrySettings {
    /** Retries per first attempt, in percent, over a sliding window. */
    double budgetPercent = 10.0;
    /** Highest number of attempts of one request at this level, the first included. */
    int attempts = 3;
    /** Retries that may follow each other at once after a quiet time, per entry instance. */
    double maxBurst = 20;
    /** Retries that come with time alone, per entry instance and second. */
    double tokensPerSecond = 0;
};

struct HedgingSettings {
    /** Hedged attempts per first attempt, in percent; 0 switches hedging off. */
    double budgetPercent = 2.0;
};

struct LimitSettings {
    /** Requests that wait for a slot, over all entry instances. */
    int queue = 200;
    std::int64_t maxHeaderBytes = std::int64_t{16} << 10U;
    std::int64_t maxBodyBytes = std::int64_t{16} << 20U;
};

/** How much tail latency counts against the cost of measuring, from 0 (only cost) to 1 (only latency). */
struct Weights {
    double tailLatency = 0.7;
};

struct ClaimSettings {
    /** How long an idempotency key is remembered, by the store's clock. */
    Duration retention = std::chrono::hours(24);
};

/** A checked service document. */
struct ServiceDocument {
    ServiceName service;
    TeamName team;
    /** Host header values that select this service; the service name when the document lists none. */
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
