#include "proxy/callcontext.h"

#include <absl/random/random.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Filbertmount {

namespace {

constexpr const char *RequestIdHeader = "Filbertmount-Request-Id";
constexpr const char *DepthHeader = "Filbertmount-Depth";
constexpr const char *RetriesLeftHeader = "Filbertmount-Retries-Left";
constexpr const char *DeadlineHeader = "Filbertmount-Deadline-Ms";

constexpr std::size_t MaxRequestIdLength = 64;

std::string newRequestId()
{
    thread_local absl::BitGen random;
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

std::optional<std::int64_t> nonNegativeNumberIn(const Headers &headers, const char *name)
{
    const std::string *value = findHeader(headers, name);
    const std::optional<std::int64_t> number = value == nullptr ? std::nullopt : parseNumber(*value);
    return number && *number >= 0 ? number : std::nullopt;
}

bool isContextHeader(const std::string &name)
{
    return equalsIgnoringCase(name, RequestIdHeader) || equalsIgnoringCase(name, DepthHeader)
        || equalsIgnoringCase(name, RetriesLeftHeader) || equalsIgnoringCase(name, DeadlineHeader);
}

} // namespace

CallContext readCallContext(const Headers &headers)
{
    // One day. Without a limit, the sum of a Duration and an Instant could overflow.
    constexpr std::int64_t maxDeadlineMs = std::int64_t{24} * 3600 * 1000;
    const std::optional<std::int64_t> depth = nonNegativeNumberIn(headers, DepthHeader);
    CallContext context;
    context.depth = static_cast<int>(std::min<std::int64_t>(depth.value_or(0), MaxCallDepth));
    const std::int64_t retries = nonNegativeNumberIn(headers, RetriesLeftHeader).value_or(depth ? 0 : MaxRetriesPerCallTree);
    context.retriesLeft = static_cast<int>(std::min<std::int64_t>(retries, MaxRetriesPerCallTree));
    if (const auto left = nonNegativeNumberIn(headers, DeadlineHeader)) {
        context.timeLeft = std::chrono::milliseconds(std::min(*left, maxDeadlineMs));
    }
    const std::string *id = findHeader(headers, RequestIdHeader);
    context.requestId = id == nullptr || id->empty() || id->size() > MaxRequestIdLength ? newRequestId() : *id;
    return context;
}

Headers forwardedHeaders(const Headers &headers, const CallContext &context, Duration timeLeft)
{
    Headers forwarded = endToEndHeaders(headers);
    std::erase_if(forwarded, [](const Header &header) {
        return isContextHeader(header.name);
    });
    const auto leftMs = std::max<std::int64_t>(0, std::chrono::floor<std::chrono::milliseconds>(timeLeft).count());
    forwarded.push_back({.name = RequestIdHeader, .value = context.requestId});
    forwarded.push_back({.name = DepthHeader, .value = std::to_string(context.depth + 1)});
    forwarded.push_back({.name = RetriesLeftHeader, .value = std::to_string(context.retriesLeft)});
    forwarded.push_back({.name = DeadlineHeader, .value = std::to_string(leftMs)});
    return forwarded;
}

int retriesLeftOf(const Headers &responseHeaders)
{
    const auto left = nonNegativeNumberIn(responseHeaders, RetriesLeftHeader);
    return static_cast<int>(std::min<std::int64_t>(left.value_or(0), MaxRetriesPerCallTree));
}

} // namespace Filbertmount
