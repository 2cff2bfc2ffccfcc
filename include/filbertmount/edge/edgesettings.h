#pragma once

#include <filbertmount/telemetry/log.h>
#include <filbertmount/types/endpoint.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** Limits on retries at another upstream, over all entry instances together. */
struct FleetRetryBudget {
    /** Retries per request. */
    double share = 0.2;
    /** Retries allowed beyond the share, per window. */
    double extra = 20;
    Duration window = std::chrono::seconds(10);
};

/** Bound on the requests of one client account, over all entry instances together. */
struct QuotaSettings {
    /** Length of the sliding window. */
    Duration window = std::chrono::seconds(5);
    /** Share by which an account may exceed its limit within a window. */
    double overshoot = 0.1;
    /** Requests that an account may make beyond that, per window. */
    double slack = 20;
};

/** Bound on the requests to one cold upstream, over all entry instances together. */
struct WarmupSettings {
    /** Multiple of the rate that the service states for its cold upstreams. */
    double overshoot = 1.5;
    /** Requests beyond that, per second. */
    double slack = 8;
};

/** How availability zones are used. */
struct ZoneSettings {
    /** Whether operators can evacuate zones through the store. */
    bool evacuations = false;
    /** Region of each zone of the deployment. */
    std::map<AvailabilityZone, Region> regions;
    /** Milliseconds of a caller's time that one kilobyte between zones is worth; nothing to prefer the own zone by a constant. */
    std::optional<double> crossingMsPerKilobyte;
    /** Milliseconds of a caller's time that each request to another zone costs; the measured round trip if not set. */
    std::optional<double> crossingMs;
};

/** Checked settings of filbertmount-edge. */
struct EdgeSettings {
    /** Name of the machine; the same after a restart of the process. */
    std::string name;
    AvailabilityZone zone;
    Region region;
    /** Address at which other instances reach this one. */
    std::string ip;
    LogLevel logLevel = LogLevel::Info;
    /** Where requests of callers are accepted. */
    Endpoint callers;
    /** Where readiness checks are served. */
    Endpoint readiness;
    /** UDP port for messages between instances. */
    int peerPort = 0;
    int metricsPort = 0;
    Endpoint store;
    /** IP addresses of instances through which this one joins the fleet; they may no longer exist. */
    std::vector<std::string> seeds;
    /** Longest time between SIGTERM and the end of the process. */
    Duration shutdownGrace = std::chrono::seconds(6);
    FleetRetryBudget retries;
    /** Limit on open sockets and files. */
    int descriptors = 1024;
    /** Memory that this instance may use, in MiB. */
    int memoryMegabytes = 256;
    /** Processor time that this instance may use, in cores. */
    double processors = 1;
    /** See SlotDispatcherOptions. */
    double ownZoneAdvantage = 2;
    /** Nothing if quotas of client accounts are not enforced. */
    std::optional<QuotaSettings> quotas;
    /** Nothing if cold upstreams are not protected. */
    std::optional<WarmupSettings> warmup;
    ZoneSettings zones;
};

/** Parses and validates @p text; the error names the missing, invalid or unknown keys. */
Result<EdgeSettings> parseEdgeSettings(const std::string &text, const std::string &file);

/** Reads, parses and validates @p file. */
Result<EdgeSettings> readEdgeSettings(const std::string &file);

} // namespace Filbertmount
