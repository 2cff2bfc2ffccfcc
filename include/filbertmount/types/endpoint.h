#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Filbertmount {

/** An IP address with a TCP port. */
struct Endpoint {
    /** IPv4 or IPv6 address; an IPv6 address without brackets. */
    std::string ip;
    std::uint16_t port = 0;
    bool ipv6 = false;

    /** Whether this is the unspecified address (0.0.0.0 or ::), which stands for all addresses of the machine. */
    [[nodiscard]] bool wildcard() const;
    /** Returns "IP:port", with brackets around an IPv6 address. */
    [[nodiscard]] std::string text() const;
};

/** Parses "IP:port" or "[IPv6]:port"; host names are not accepted. Port 0 is accepted. */
std::optional<Endpoint> parseEndpoint(const std::string &text);

} // namespace Filbertmount
