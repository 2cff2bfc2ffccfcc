#include <filbertmount/routes/routeset.h>

#include "peer/wiretime.h"

#include <filbertmount/types/rendezvoushash.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace Filbertmount {

namespace {

std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool isIpv6Part = host.find(']', colon == std::string_view::npos ? 0 : colon) != std::string_view::npos;
    return colon == std::string_view::npos || isIpv6Part ? host : host.substr(0, colon);
}

std::string_view withoutQuery(std::string_view target)
{
    return target.substr(0, std::min(target.find('?'), target.size()));
}

/** Microseconds of @p duration as an instance receives it from another one. */
std::uint64_t asReceived(Duration duration)
{
    return toMicroseconds(fromMicroseconds(toMicroseconds(duration)));
}

std::uint64_t hashOf(const ForwardRoute &route)
{
    // A route's own texts contain no line break.
    std::string text = absl::StrCat(route.name, "\n", route.host, "\n", route.pathPrefix, "\n");
    absl::StrAppend(&text,
                    asReceived(route.timeout),
                    " ",
                    asReceived(route.latencyObjective),
                    " ",
                    route.rank,
                    " ",
                    route.maxAttempts,
                    route.isRepeatable ? " repeatable" : "",
                    route.isKeyExempt ? " exempt" : "");
    for (const ForwardTarget &target : route.targets) {
        absl::StrAppendFormat(&text, "\n%.17g %s", target.weight, target.service.value());
    }
    return stableHash(text);
}

} // namespace

std::string normalizedHost(std::string_view host)
{
    std::string lower(withoutPort(host));
    absl::AsciiStrToLower(&lower);
    return lower;
}

std::uint64_t accessHash(const RouteSet &routes)
{
    // An empty list of accounts that requires a key refuses everyone, unlike a route set without accounts.
    return routes.requiresKey ? accountsHash(routes.accounts) + 1 : 0;
}

std::uint64_t routesHash(const RouteSet &routes)
{
    std::uint64_t hash = 0;
    for (const ForwardRoute &route : routes.routes) {
        hash += hashOf(route);
    }
    return hash;
}

RouteIndex::RouteIndex(RouteSet routes)
    : m_routes(std::move(routes))
    , m_accounts(m_routes.accounts)
    , m_accessHash(Filbertmount::accessHash(m_routes))
    , m_routesHash(Filbertmount::routesHash(m_routes))
{
    for (std::size_t position = 0; position < m_routes.routes.size(); ++position) {
        m_byHost[m_routes.routes[position].host].push_back(position);
    }
    for (auto &[host, positions] : m_byHost) {
        std::stable_sort(positions.begin(), positions.end(), [this](std::size_t left, std::size_t right) {
            return m_routes.routes[left].pathPrefix.size() > m_routes.routes[right].pathPrefix.size();
        });
    }
}

const RouteSet &RouteIndex::routes() const
{
    return m_routes;
}

RouteSetVersion RouteIndex::version() const
{
    return m_routes.version;
}

const ClientAccount *RouteIndex::findAccount(const Sha256Digest &digest) const
{
    return m_accounts.find(m_routes.accounts, digest);
}

std::uint64_t RouteIndex::accessHash() const
{
    return m_accessHash;
}

std::uint64_t RouteIndex::routesHash() const
{
    return m_routesHash;
}

const ForwardRoute *RouteIndex::find(std::string_view host, std::string_view target) const
{
    const auto positions = m_byHost.find(normalizedHost(host));
    if (positions == m_byHost.end()) {
        return nullptr;
    }
    const std::string_view path = withoutQuery(target);
    for (const std::size_t position : positions->second) {
        const ForwardRoute &route = m_routes.routes[position];
        if (path.starts_with(route.pathPrefix)) {
            return &route;
        }
    }
    return nullptr;
}

} // namespace Filbertmount
