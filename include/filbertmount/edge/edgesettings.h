#pragma once

#include <filbertmount/telemetry/log.h>
#include <filbertmount/types/endpoint.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <string>
#include <vector>

namespace Filbertmount {

/** Bounds on requests that are sent to a second upstream, over all entry instances together. */
struct FleetRetryBudget {
    /** Retries per request. */
    double share = 0.2;
    /** Retries beyond the share, in each window. */
    double extra = 20;
    Duration window = std::chrono::seconds(10);
};

/** Checked settings of filbertmount-edge. */
struct EdgeSettings {
    /** Name of the machine; stays the same when the process starts again. */
    std::string name;
    AvailabilityZone zone;
    Region region;
    /** Address at which other instances reach this one. */
    std::string ip;
    LogLevel logLevel = LogLevel::Info;
    Endpoint callers;
    Endpoint readiness;
    /** UDP port for messages between instances. */
    int peerPort = 0;
    int metricsPort = 0;
    Endpoint store;
    /** IP addresses of instances through which this one finds the others; they may be gone. */
    std::vector<std::string> seeds;
    /** Time between SIGTERM and the end of the process at the latest. */
    Duration shutdownGrace = std::chrono::seconds(6);
    FleetRetryBudget retries;
    /** Open sockets and files. */
    int descriptors = 1024;
    /** Processor time that this instance may use, in cores. */
    double processors = 1;
    /** See SlotDispatcherOptions. */
    double ownZoneAdvantage = 2;
};

/** Parses and checks @p text; a missing, wrong or unknown key is an error that names it. */
Result<EdgeSettings> parseEdgeSettings(const std::string &text, const std::string &file);

/** Reads and parses @p file. */
Result<EdgeSettings> readEdgeSettings(const std::string &file);

} // namespace Filbertmount
