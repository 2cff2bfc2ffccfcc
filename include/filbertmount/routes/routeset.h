#pragma once

#include <filbertmount/accounts/accountindex.h>
#include <filbertmount/accounts/clientaccount.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** A service that receives a share of a route's requests. */
struct ForwardTarget {
    ServiceName service;
    /** Share relative to the sum of the weights of the route's targets; finite and above 0. */
    double weight = 1;

    bool operator==(const ForwardTarget &) const = default;
};

/** One rule that maps requests to services. */
struct ForwardRoute {
    std::string name;
    /** Lower case, without a port. */
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** Whether a request may run more than once. */
    bool isRepeatable = false;
    /** Limit on the time from the request's arrival to its final response. */
    Duration timeout = std::chrono::seconds(1);
    /** Target for the time to a response; a later one is of less use to the caller. */
    Duration latencyObjective = std::chrono::seconds(1);
    /** Urgency relative to other routes; 0 is the most urgent. */
    int rank = 0;
    /** Limit on upstreams to which one request is sent. */
    int maxAttempts = 1;
    /** Never empty. */
    std::vector<ForwardTarget> targets;
    /** Whether requests need no API key although the route set has accounts. */
    bool isKeyExempt = false;
    /** Regions whose upstreams may serve the route; all when empty. */
    std::vector<Region> allowedRegions = {};

    bool operator==(const ForwardRoute &) const = default;
};

/** How instances probe and connect to the upstreams of a service. */
struct ServiceAccess {
    ServiceName name;
    /** Path for probes; empty if the upstreams of the service are not probed. */
    std::string healthPath;
    /** Limit on connections of all callers together to one upstream; 0 if the service states none. */
    int maxConnections = 0;
    /** Time after its start for which an upstream is cold. */
    Duration warmup{0};
    /** Requests per second that a cold upstream sustains; 0 for no limit. */
    double warmupRate = 0;
};

/** Limits on the size and timing of a caller's requests. */
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 16U << 20U;
    /** Limit on the time from the first byte of a request to the end of its header. */
    Duration headerTimeout = std::chrono::seconds(3);
    /** A connection without a request is closed after this time. */
    Duration idleTimeout = std::chrono::seconds(15);
};

using RouteSetVersion = NumberId<struct RouteSetVersionTag>;

/** One version of the fleet's whole routing configuration. */
struct RouteSet {
    RouteSetVersion version;
    std::vector<ForwardRoute> routes;
    std::vector<ServiceAccess> services;
    CallerLimits limits;
    /** Whether requests need the API key of an account, unless their route is exempt; accounts exist only then. */
    bool requiresKey = false;
    std::vector<ClientAccount> accounts = {};
    /** What could not be read as written, for the log of the instance that read it; not passed on to others. */
    std::vector<std::string> defects = {};
};

/** Returns a hash over the accounts and whether a key is required; 0 for a route set without accounts. */
std::uint64_t accessHash(const RouteSet &routes);
/** Returns a hash over the routes as another instance receives them, independent of their order. */
std::uint64_t routesHash(const RouteSet &routes);

/** Finds the route and the account of a request. Immutable, so requests in progress keep using the version they started with. */
class RouteIndex
{
public:
    explicit RouteIndex(RouteSet routes);

    [[nodiscard]] const RouteSet &routes() const;
    [[nodiscard]] RouteSetVersion version() const;

    /**
     * Returns the route with the longest prefix of the path among those of the host, or null.
     *
     * @param host value of the Host header; a port is ignored
     * @param target request target in origin form; a query is ignored
     */
    [[nodiscard]] const ForwardRoute *find(std::string_view host, std::string_view target) const;

    /** Returns the account that has the API key with @p digest, or null. */
    [[nodiscard]] const ClientAccount *findAccount(const Sha256Digest &digest) const;
    /** Returns accessHash() of the route set. */
    [[nodiscard]] std::uint64_t accessHash() const;
    /** Returns routesHash() of the route set. */
    [[nodiscard]] std::uint64_t routesHash() const;

private:
    RouteSet m_routes;
    /** Positions in m_routes by host, those with the longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_byHost;
    AccountIndex m_accounts;
    std::uint64_t m_accessHash = 0;
    std::uint64_t m_routesHash = 0;
};

/** Returns @p host in lower case and without a port. */
std::string normalizedHost(std::string_view host);

} // namespace Filbertmount
