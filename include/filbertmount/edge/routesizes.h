#pragma once

#include <filbertmount/routes/routeset.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Tracks the usual size of request and response together of each route, in bytes. Not thread-safe. */
class RouteSizes
{
public:
    /** Adds a sample: one exchange of the route @p name transferred @p bytes. */
    void record(const std::string &name, std::uint64_t bytes);
    /** Removes the samples of routes that are not in @p routes. */
    void retain(const RouteSet &routes);
    /** Smoothed mean size of the exchanges of the route @p name; 0 before the first one. */
    [[nodiscard]] std::uint64_t expectedBytes(const std::string &name) const;

private:
    struct UsualSize {
        double bytes = 0;
        int samples = 0;
    };

    absl::flat_hash_map<std::string, UsualSize> m_routes;
};

} // namespace Filbertmount
