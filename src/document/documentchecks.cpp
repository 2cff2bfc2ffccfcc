#include "document/documentchecks.h"

#include <filbertmount/document/parseservicedocument.h>
#include <filbertmount/types/endpoint.h>

#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace Filbertmount {

namespace {

constexpr std::size_t MaxNameLength = 63; // Limit of a DNS label, because the name is the default Host value.
constexpr std::size_t MaxHostLength = 253;
constexpr std::size_t MaxMethodLength = 20;
constexpr std::size_t MaxPathLength = 1024;

bool isLowerOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isPathCharacter(char character)
{
    return character > ' ' && character < 0x7f && std::string_view("?#%;\\\"<>").find(character) == std::string_view::npos;
}

std::vector<std::string> splitSegments(const std::string &pattern)
{
    std::vector<std::string> segments = absl::StrSplit(pattern, '/', absl::SkipEmpty());
    return segments;
}

std::string checkSegments(const std::vector<std::string> &segments)
{
    for (std::size_t index = 0; index < segments.size(); ++index) {
        const std::string &segment = segments[index];
        if (segment == "**" && index + 1 != segments.size()) {
            return "a path pattern with \"**\" only as its last segment";
        }
        if (segment.find('*') != std::string::npos && segment != "*" && segment != "**") {
            return "a path pattern in which \"*\" or \"**\" is a whole segment";
        }
        if (segment == "." || segment == "..") {
            return "a path pattern without \".\" and \"..\" segments";
        }
    }
    return {};
}

} // namespace

bool isServiceName(std::string_view text)
{
    const bool validLength = !text.empty() && text.size() <= MaxNameLength;
    return validLength && text.front() >= 'a' && text.front() <= 'z' && text.back() != '-'
        && std::all_of(text.begin(), text.end(), [](char character) {
               return isLowerOrDigit(character) || character == '-';
           });
}

std::string checkName(const std::string &text)
{
    return isServiceName(text)
        ? std::string()
        : "a name of 1 to 63 characters a-z, 0-9 and '-' that starts with a letter and does not end with '-'";
}

std::string checkHost(const std::string &text)
{
    const bool valid = !text.empty() && text.size() <= MaxHostLength && isLowerOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), [](char character) {
               return isLowerOrDigit(character) || character == '-' || character == '.';
           });
    return valid ? std::string() : "a lower-case host name without a port";
}

std::string checkMethod(const std::string &text)
{
    const bool upperCase =
        !text.empty() && text.size() <= MaxMethodLength && std::all_of(text.begin(), text.end(), [](char character) {
            return character >= 'A' && character <= 'Z';
        });
    const bool allowed = upperCase && text != "CONNECT" && text != "TRACE";
    return allowed || text == "*" ? std::string() : "\"*\" or an upper-case HTTP method other than CONNECT and TRACE";
}

std::string checkPathPattern(const std::string &text)
{
    const bool valid = !text.empty() && text.size() <= MaxPathLength && text.front() == '/'
        && text.find("//") == std::string::npos && std::all_of(text.begin(), text.end(), isPathCharacter);
    if (!valid) {
        return "a path pattern such as \"/orders/*\", without query, percent encoding or empty segments";
    }
    return checkSegments(splitSegments(text));
}

std::string checkProbePath(const std::string &text)
{
    const bool valid = !text.empty() && text.size() <= MaxPathLength && text.front() == '/'
        && std::all_of(text.begin(), text.end(), [](char character) {
               return character > ' ' && character < 0x7f && character != '#';
           });
    return valid ? std::string() : "a request path such as \"/health\"";
}

std::string checkUpstreamAddress(const std::string &text)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    return endpoint && endpoint->port != 0 && !endpoint->wildcard() ? std::string()
                                                                    : "\"IP:port\" of one upstream, not a host name";
}

bool covers(const Route &wide, const Route &narrow)
{
    if (wide.method != "*" && wide.method != narrow.method) {
        return false;
    }
    const std::vector<std::string> wideSegments = splitSegments(wide.path);
    const std::vector<std::string> narrowSegments = splitSegments(narrow.path);
    for (std::size_t index = 0; index < wideSegments.size(); ++index) {
        if (wideSegments[index] == "**") {
            return true;
        }
        if (index >= narrowSegments.size() || narrowSegments[index] == "**"
            || (wideSegments[index] != "*" && wideSegments[index] != narrowSegments[index])) {
            return false;
        }
    }
    return wideSegments.size() == narrowSegments.size();
}

} // namespace Filbertmount
