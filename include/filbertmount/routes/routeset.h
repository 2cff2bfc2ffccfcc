#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** A service that gets a share of a route's requests. */
struct ForwardTarget {
    ServiceName service;
    /** Share relative to the sum over the route's targets; above 0. */
    int weight = 1;

    bool operator==(const ForwardTarget &) const = default;
};

/** One rule that maps requests to services. */
struct ForwardRoute {
    std::string name;
    /** Lower case, without a port. */
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** The request may run more than once. */
    bool isRepeatable = false;
    /** Longest time from the request's arrival to its final answer. */
    Duration timeout = std::chrono::seconds(1);
    /** Time within which an answer is of full use to the caller. */
    Duration latencyObjective = std::chrono::seconds(1);
    /** 0 is the most urgent. */
    int rank = 0;
    /** Upstreams to which one request may be sent at most. */
    int maxAttempts = 1;
    /** Never empty. */
    std::vector<ForwardTarget> targets;

    bool operator==(const ForwardRoute &) const = default;
};

/** How the upstreams of a service are addressed. */
struct ServiceAccess {
    ServiceName name;
    std::string healthPath;
    /** Connections of all callers together to one upstream. */
    int maxConnections = 0;
};

/** What a caller may send, and how long it may take. */
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 16U << 20U;
    /** From the first byte of a request to the end of its header. */
    Duration headerTimeout = std::chrono::seconds(3);
    /** A connection without a request is closed after this time. */
    Duration idleTimeout = std::chrono::seconds(15);
};

using RouteSetVersion = NumberId<struct RouteSetVersionTag>;

/** One version of all routes of the fleet. */
struct RouteSet {
    RouteSetVersion version;
    std::vector<ForwardRoute> routes;
    std::vector<ServiceAccess> services;
    CallerLimits limits;
};

/** Finds the route of a request. Immutable, so calls in progress keep the version that they began with. */
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

private:
    RouteSet m_routes;
    /** Positions in m_routes by host, those with the longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_byHost;
};

/** Returns @p host in lower case and without a port. */
std::string normalizedHost(std::string_view host);

} // namespace Filbertmount
