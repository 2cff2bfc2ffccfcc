#include <filbertmount/edge/routesizes.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>

namespace Filbertmount {

namespace {

// Follows a change of the usual size within about 50 exchanges; a single large response changes the mean by a sixteenth of it.
constexpr double MinSampleWeight = 1.0 / 16;

} // namespace

void RouteSizes::record(const std::string &name, std::uint64_t bytes)
{
    UsualSize &usual = m_routes[name];
    usual.samples = std::min(usual.samples + 1, static_cast<int>(1 / MinSampleWeight));
    usual.bytes += (static_cast<double>(bytes) - usual.bytes) / usual.samples;
}

void RouteSizes::retain(const RouteSet &routes)
{
    absl::flat_hash_set<std::string> names;
    for (const ForwardRoute &route : routes.routes) {
        names.insert(route.name);
    }
    absl::erase_if(m_routes, [&names](const auto &known) {
        return !names.contains(known.first);
    });
}

std::uint64_t RouteSizes::expectedBytes(const std::string &name) const
{
    const auto known = m_routes.find(name);
    return known == m_routes.end() ? 0 : static_cast<std::uint64_t>(std::llround(known->second.bytes));
}

} // namespace Filbertmount
