#include <filbertmount/edge/routetimes.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr int MinSamples = 8;
// Operators set a latency objective of two to three times the usual time.
constexpr double UsualTimePerObjective = 0.35;
constexpr double MinSampleWeight = 1.0 / 16;
// As a multiple of the mean. A noisy neighbour makes requests several times slower; uncapped, they would raise the mean.
constexpr double MaxSampleFactor = 1.5;
// As a multiple of the usual time, which one in ten to twenty requests exceeds in normal operation.
constexpr double MinDelayFactor = 1.6;
// As a multiple of the usual time: a hedge takes the usual time, plus the transfer to and from the caller.
constexpr double HedgeDurationFactor = 1.3;

} // namespace

void RouteTimes::record(const std::string &name, Duration elapsed)
{
    UsualTime &usual = m_routes[name];
    ++usual.samples;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (usual.samples == 1) {
        usual.seconds = seconds;
        return;
    }
    const double weight = std::max(MinSampleWeight, 1.0 / usual.samples);
    usual.seconds += weight * (std::min(seconds, MaxSampleFactor * usual.seconds) - usual.seconds);
}

void RouteTimes::retain(const RouteSet &routes)
{
    absl::flat_hash_set<std::string> names;
    for (const ForwardRoute &route : routes.routes) {
        names.insert(route.name);
    }
    absl::erase_if(m_routes, [&names](const auto &known) {
        return !names.contains(known.first);
    });
}

Duration RouteTimes::hedgeDelay(const ForwardRoute &route, Duration objectiveLeft) const
{
    const auto known = m_routes.find(route.name);
    const bool isKnown = known != m_routes.end() && known->second.samples >= MinSamples;
    const double objective = std::chrono::duration<double>(route.latencyObjective).count();
    const double usual = isKnown ? known->second.seconds : UsualTimePerObjective * objective;
    const double latest = std::chrono::duration<double>(objectiveLeft).count() - HedgeDurationFactor * usual;
    const double seconds = std::max(MinDelayFactor * usual, latest);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Filbertmount
