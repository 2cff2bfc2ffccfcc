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
    /** SHA-256 of each accepted token; more than one allows tokens to be replaced without an interruption. */
    std::vector<TokenHash> tokens;
};

/** Identity and location of this instance. */
struct IdentitySettings {
    /** Random if the settings file does not set it, so that a restarted process has a new id. */
    InstanceId id;
    Region region;
    AvailabilityZone zone;
    /** Peer messages of other clusters are dropped. */
    std::string cluster = "filbertmount";
};

/** Addresses that this instance listens on. Port 0 selects any free port. */
struct AddressSettings {
    Endpoint callers{.ip = "0.0.0.0", .port = 8080};
    /** Advertised to other instances and filbertmountctl, so wildcard addresses are not allowed. */
    Endpoint administration;
    /** Advertised to other instances, so wildcard addresses are not allowed. */
    Endpoint peers;
};

/** How this instance discovers the other entry instances. */
struct PeerSettings {
    /** Peer addresses that are contacted at startup. */
    std::vector<Endpoint> addresses;
    /** Service name of the entry instances in the platform's instance list; empty if the list is not used. */
    std::string instanceList;
};

struct StoreSettings {
    /** Address of the platform's store; not set if the instance runs without one. */
    std::optional<Endpoint> address;
    /** Timeout of one call; for a watch, its wait time is added. */
    Duration timeout = std::chrono::milliseconds(1000);
};

struct InstanceLimits {
    /** Epoll threads of the caller port, and as many threads for upstream transfers. */
    int workers = 2;
    /** Maximum number of simultaneous caller connections. */
    int connections = 4096;
    /** Limits for all services; a document can only set lower ones. */
    std::int64_t maxHeaderBytes = std::int64_t{64} << 10U;
    std::int64_t maxBodyBytes = std::int64_t{64} << 20U;
    /** Timeout for receiving a complete request from a caller. */
    Duration requestTimeout = std::chrono::seconds(30);
    /** Caller connections without a request are closed after this time. */
    Duration idleTimeout = std::chrono::seconds(60);
    /** Timeout for connecting to an upstream. */
    Duration connectTimeout = std::chrono::milliseconds(500);
    /**
     * Maximum number of entry instances at the same time, including those being replaced. The measuring budget is divided
     * by it; if it is too low, the instances together exceed the budget.
     */
    int entryInstances = 32;
};

/** Settings that SIGHUP applies to a running instance. A change of any other setting needs a restart. */
struct ReloadableSettings {
    std::vector<TeamSettings> teams;
    LogLevel logLevel = LogLevel::Info;
    /** Time from readiness changing to 503 until no more connections are accepted. */
    Duration drainGrace = std::chrono::seconds(10);
};

/** Validated settings of filbertmountd. */
struct InstanceSettings {
    IdentitySettings identity;
    AddressSettings addresses;
    PeerSettings peers;
    StoreSettings store;
    InstanceLimits limits;
    /** Files with service documents; only allowed without a store. */
    std::vector<std::string> documentFiles;
    ReloadableSettings reloadable;
};

} // namespace Filbertmount
