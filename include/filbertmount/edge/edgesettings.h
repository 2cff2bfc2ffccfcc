#pragma once

#include <filbertmount/telemetry/log.h>
#include <filbertmount/types/endpoint.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

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
};

/** Parses and validates @p text; the error names the missing, invalid or unknown keys. */
Result<EdgeSettings> parseEdgeSettings(const std::string &text, const std::string &file);

/** Reads, parses and validates @p file. */
Result<EdgeSettings> readEdgeSettings(const std::string &file);

} // namespace Filbertmount
