#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/** Returns the value of the first header with this name, whatever its case, or nothing. */
const std::string *findHeader(const Headers &headers, std::string_view name);

/** Compares ASCII text without regard to case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** Returns the headers without those that concern one connection only (RFC 9110, section 7.6.1) and without lengths. */
Headers endToEndHeaders(const Headers &headers);

/** Parses a decimal number that fills the whole text. */
std::optional<std::int64_t> parseNumber(std::string_view text);

/** The head of a caller's request. */
struct RequestHead {
    std::string method;
    /** Origin form with the query, as the caller sent it. */
    std::string target;
    Headers headers;
    /** Length of the body in bytes; nothing when the body is chunked. */
    std::optional<std::int64_t> contentLength = 0;
};

/** The head of an upstream's answer. */
struct ResponseHead {
    int status = 0;
    Headers headers;
    /** Length of the body in bytes; nothing when the upstream did not state it. */
    std::optional<std::int64_t> contentLength;
};

} // namespace Filbertmount
