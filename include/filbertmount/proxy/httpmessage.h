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

/** Returns the value of the first header with this name, compared without regard to case, or null. */
const std::string *findHeader(const Headers &headers, std::string_view name);

/** Compares ASCII text without regard to case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** Returns the headers without the hop-by-hop ones (RFC 9110, section 7.6.1), Content-Length and Expect. */
Headers endToEndHeaders(const Headers &headers);

/** Parses a decimal integer. Returns nothing if the text contains anything else. */
std::optional<std::int64_t> parseNumber(std::string_view text);

/** Whether @p status is a status code of HTTP, 100 to 599. */
bool isStatus(long status);

/** Whether @p name is a field name (RFC 9110, section 5.1); a line with another one may be read differently by others. */
bool isFieldName(std::string_view name);

/** Whether @p value has no control bytes except tabs. */
bool isFieldValue(std::string_view value);

/** Request line and headers of a caller's request. */
struct RequestHead {
    std::string method;
    /** Request target in origin form with its query, exactly as the caller sent it. */
    std::string target;
    Headers headers;
    /** Length of the body in bytes; no value if the body is chunked. */
    std::optional<std::int64_t> contentLength = 0;
};

/** Status and headers of an upstream's response. */
struct ResponseHead {
    int status = 0;
    Headers headers;
    /** Length of the body in bytes; no value if the upstream did not state it. */
    std::optional<std::int64_t> contentLength;
};

} // namespace Filbertmount
