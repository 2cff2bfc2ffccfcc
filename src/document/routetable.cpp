#include <filbertmount/document/routetable.h>

#include <absl/container/inlined_vector.h>
#include <absl/strings/str_split.h>

#include <deque>
#include <optional>

namespace Filbertmount {

namespace {

/** A request path, split into segments after percent decoding and resolution of "." and "..". */
struct RequestPath {
    absl::InlinedVector<std::string_view, 12> segments;
    /** Storage of the decoded segments. A deque, because the views into its elements must stay valid as it grows. */
    std::deque<std::string> decoded;
    /** True if an upstream may interpret the path in another way than this parser. */
    bool ambiguous = false;
};

int hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const char lower = static_cast<char>(character | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::optional<char> decodeAt(std::string_view text, std::size_t position)
{
    if (position + 2 >= text.size()) {
        return std::nullopt;
    }
    const int high = hexDigit(text[position + 1]);
    const int low = hexDigit(text[position + 2]);
    return high < 0 || low < 0 ? std::nullopt : std::optional(static_cast<char>(high * 16 + low));
}

// Decodes a segment. Sets ambiguous for an invalid sequence and for an encoded separator, '%' or NUL.
std::string decodeSegment(std::string_view segment, bool &ambiguous)
{
    std::string decoded;
    for (std::size_t position = 0; position < segment.size(); ++position) {
        if (segment[position] != '%') {
            decoded.push_back(segment[position]);
            continue;
        }
        const std::optional<char> character = decodeAt(segment, position);
        ambiguous = ambiguous || !character || std::string_view("/\\;%?#").find(*character) != std::string_view::npos
            || *character == '\0';
        decoded.push_back(character.value_or('%'));
        position += character ? 2 : 0;
    }
    return decoded;
}

void appendSegment(RequestPath &path, std::string_view segment)
{
    if (segment.find('%') != std::string_view::npos) {
        path.decoded.push_back(decodeSegment(segment, path.ambiguous));
        segment = path.decoded.back();
    }
    path.ambiguous = path.ambiguous || segment.find_first_of(";\\") != std::string_view::npos;
    if (segment != "." && segment != "..") {
        path.segments.push_back(segment);
        return;
    }
    path.ambiguous = true;
    if (segment == ".." && !path.segments.empty()) {
        path.segments.pop_back();
    }
}

RequestPath parsePath(std::string_view target)
{
    RequestPath path;
    std::string_view rest = target.substr(0, target.find_first_of("?#"));
    if (rest.empty() || rest.front() != '/') {
        path.ambiguous = true;
    }
    while (!rest.empty()) {
        rest.remove_prefix(rest.front() == '/' ? 1 : 0);
        const std::string_view segment = rest.substr(0, rest.find('/'));
        rest.remove_prefix(segment.size());
        if (!segment.empty()) {
            appendSegment(path, segment);
        } else if (!rest.empty()) {
            path.ambiguous = true; // Some servers merge "//" into one slash.
        }
    }
    return path;
}

template<class Pattern, class Segments>
bool matches(const Pattern &pattern, const Segments &segments)
{
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        if (pattern[index] == "**") {
            return true;
        }
        if (index >= segments.size() || (pattern[index] != "*" && pattern[index] != segments[index])) {
            return false;
        }
    }
    return pattern.size() == segments.size();
}

} // namespace

RouteTable::RouteTable(std::vector<Route> routes)
{
    for (Route &route : routes) {
        std::vector<std::string> segments = absl::StrSplit(route.path, '/', absl::SkipEmpty());
        m_entries.push_back({.route = std::move(route), .segments = std::move(segments)});
    }
}

RouteMatch RouteTable::find(std::string_view method, std::string_view target) const
{
    const RequestPath path = parsePath(target);
    RouteMatch match;
    for (const Entry &entry : m_entries) {
        if (!matches(entry.segments, path.segments)) {
            continue;
        }
        if (entry.route.method == "*" || entry.route.method == method) {
            return {.route = &entry.route, .repeatable = entry.route.repeatable && !path.ambiguous};
        }
        match.allowedMethods.append(match.allowedMethods.empty() ? "" : ", ").append(entry.route.method);
    }
    return match;
}

} // namespace Filbertmount
