#include "edge/upstreamsignals.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

namespace Filbertmount {

namespace {

constexpr int Unavailable = 503;
// A longer pause would keep an upstream out of use that stated a wrong time.
constexpr double MaxPauseSeconds = 600;
constexpr double MaxWarmupMilliseconds = 600e3;

/** Parses a Retry-After header in seconds, with fractions. Dates and times that are not above zero request no pause. */
std::optional<Duration> parsePause(const std::string &value)
{
    double seconds = 0;
    if (!absl::SimpleAtod(value, &seconds) || !std::isfinite(seconds) || seconds <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, MaxPauseSeconds)));
}

/** Parses a time in milliseconds, with fractions; nothing if it is malformed or negative. */
std::optional<Duration> parseMilliseconds(const std::string &value)
{
    double milliseconds = 0;
    if (!absl::SimpleAtod(value, &milliseconds) || !std::isfinite(milliseconds) || milliseconds < 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> stated(std::min(milliseconds, MaxWarmupMilliseconds));
    return std::chrono::duration_cast<Duration>(stated);
}

} // namespace

UpstreamSignals readSignals(const ClientResponse &response, const HttpDialect &dialect, Incarnation incarnation)
{
    constexpr std::string_view isDraining = "1";
    UpstreamSignals signals;
    const std::string *draining = findHeader(response.headers, dialect.draining);
    if (draining != nullptr && *draining == isDraining) {
        signals.draining = incarnation;
    }
    const std::string *retryAfter = findHeader(response.headers, "Retry-After");
    if (response.status == Unavailable && retryAfter != nullptr) {
        signals.pause = parsePause(*retryAfter);
    }
    const std::string *warmupLeft = findHeader(response.headers, dialect.warmupLeft);
    if (warmupLeft != nullptr && !dialect.warmupLeft.empty()) {
        signals.warmup = parseMilliseconds(*warmupLeft);
    }
    return signals;
}

} // namespace Filbertmount
