#pragma once

#include <filbertmount/telemetry/log.h>
#include <filbertmount/types/endpoint.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

using TokenHash = std::array<std::uint8_t, 32>;

/** A team that may edit its own documents through the administration API. */
struct TeamSettings {
    TeamName name;
    /** SHA-256 of each accepted token; two of them allow a token to be replaced without a gap. */
    std::vector<TokenHash> tokens;
};

/** Who this instance is. */
struct IdentitySettings {
    /** Drawn at random when the settings name none, so that a restarted process has a new one. */
    InstanceId id;
    Region region;
    AvailabilityZone zone;
    /** Messages of other clusters are dropped. */
    std::string cluster = "filbertmount";
};

/** Addresses that this instance listens on. Port 0 takes a free port. */
struct AddressSettings {
    Endpoint callers{.ip = "0.0.0.0", .port = 8080};
    /** Other instances and filbertmountctl reach this instance here, so it is no wildcard address. */
    Endpoint administration;
    /** Other instances reach this instance here, so it is no wildcard address. */
    Endpoint peers;
};

/** How the other entry instances are found. */
struct PeerSettings {
    /** Peer addresses that are contacted at the start. */
    std::vector<Endpoint> addresses;
    /** Service name of the entry instances in the platform's instance list; empty to leave the list alone. */
    std::string instanceList;
};

struct StoreSettings {
    /** Address of the platform's store; nothing when there is none. */
    std::optional<Endpoint> address;
    /** Longest time of one call; the wait of a watch is added to it. */
    Duration timeout = std::chrono::milliseconds(1000);
};

struct InstanceLimits {
    /** Epoll threads of the caller port, and as many threads for upstream transfers. */
    int workers = 2;
    /** Connections of callers at one time. */
    int connections = 4096;
    /** Upper bounds over all services; a document can only be stricter. */
    std::int64_t maxHeaderBytes = std::int64_t{64} << 10U;
    std::int64_t maxBodyBytes = std::int64_t{64} << 20U;
    /** Longest time for a caller to send the whole request. */
    Duration requestTimeout = std::chrono::seconds(30);
    /** A caller's connection without a request is closed after this time. */
    Duration idleTimeout = std::chrono::seconds(60);
    /** Longest time to connect to an upstream. */
    Duration connectTimeout = std::chrono::milliseconds(500);
    /**
     * Highest number of entry instances at one time, those being replaced included. The measuring budget is divided by
     * it, so a number that is too low breaks the budget.
     */
    int entryInstances = 32;
};

/** Settings that SIGHUP applies to a running instance. A change of any other setting needs a restart. */
struct ReloadableSettings {
    std::vector<TeamSettings> teams;
    LogLevel logLevel = LogLevel::Info;
    /** Time between readiness changing to 503 and the end of accepting connections. */
    Duration drainGrace = std::chrono::seconds(10);
};

/** Checked settings of filbertmountd. */
struct InstanceSettings {
    IdentitySettings identity;
    AddressSettings addresses;
    PeerSettings peers;
    StoreSettings store;
    InstanceLimits limits;
    /** Files with service documents, for use without a store. */
    std::vector<std::string> documentFiles;
    ReloadableSettings reloadable;
};

} // namespace Filbertmount
