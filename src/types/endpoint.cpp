#include <filbertmount/types/endpoint.h>

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace Filbertmount {

namespace {

std::optional<std::uint16_t> parsePort(const std::string &text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
        return std::nullopt;
    }
    return port;
}

} // namespace

bool Endpoint::wildcard() const
{
    in6_addr address{};
    if (ipv6) {
        return inet_pton(AF_INET6, ip.c_str(), &address) == 1 && IN6_IS_ADDR_UNSPECIFIED(&address);
    }
    return ip == "0.0.0.0";
}

std::string Endpoint::text() const
{
    const std::string number = std::to_string(port);
    return ipv6 ? "[" + ip + "]:" + number : ip + ":" + number;
}

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    Endpoint endpoint{.ip = text.substr(0, colon)};
    endpoint.ipv6 = endpoint.ip.size() > 2 && endpoint.ip.front() == '[' && endpoint.ip.back() == ']';
    if (endpoint.ipv6) {
        endpoint.ip = endpoint.ip.substr(1, endpoint.ip.size() - 2);
    }
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
    if (!port || inet_pton(endpoint.ipv6 ? AF_INET6 : AF_INET, endpoint.ip.c_str(), binary.data()) != 1) {
        return std::nullopt;
    }
    endpoint.port = *port;
    return endpoint;
}

} // namespace Filbertmount
