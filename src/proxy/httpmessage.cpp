#include <filbertmount/proxy/httpmessage.h>

#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Filbertmount {

namespace {

// Hop-by-hop headers. Content-Length is included because it is set anew on each connection from the body that is sent.
constexpr std::array<std::string_view, 11> ConnectionHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
};

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Headers that are listed in a Connection header are hop-by-hop too.
bool isNamedInConnection(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (!equalsIgnoringCase(header.name, "connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            if (equalsIgnoringCase(trimmed(rest.substr(0, comma)), name)) {
                return true;
            }
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return lower(a) == lower(b);
           });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (equalsIgnoringCase(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

Headers endToEndHeaders(const Headers &headers)
{
    Headers kept;
    kept.reserve(headers.size());
    for (const Header &header : headers) {
        const bool known = std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(), [&](std::string_view name) {
            return equalsIgnoringCase(header.name, name);
        });
        if (!known && !isNamedInConnection(headers, header.name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return number;
}

bool isStatus(long status)
{
    constexpr long lowest = 100;
    constexpr long highest = 599;
    return status >= lowest && status <= highest;
}

bool isFieldName(std::string_view name)
{
    static constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return absl::ascii_isalnum(character) || symbols.find(static_cast<char>(character)) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](unsigned char character) {
        return absl::ascii_iscntrl(character) && character != '\t';
    });
}

} // namespace Filbertmount
