#include <filbertmount/routing/zoneexitpolicy.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Filbertmount {

namespace {

constexpr double BytesPerKilobyte = 1000.0;
// The best free upstreams of two equally loaded zones differ from one request to the next; 32 requests average that out.
constexpr double GainSmoothing = 1.0 / 32;
// As multiples of the mean service time. Leaving starts when the smoothed gain exceeds the first and ends below the second.
constexpr double GainToOpen = 0.1;
constexpr double GainToStayOpen = 0.02;
// A single request leaves without a persistent gain only for more than this, which the load of one slot does not explain.
constexpr double GainToLeaveAtOnce = 0.75;
// Required gain when requests of the other zone are being sent here.
constexpr double GainAgainstInflow = 0.25;
// One hung upstream must not keep requests away from a zone for long.
constexpr double MaxGainSample = 2.0;
// A request waits for at most this part of its time elsewhere.
constexpr double MaxHoldShare = 0.5;
// Waits end at the next tick of the dispatcher.
constexpr double TickMs = 5;
constexpr double MaxExchangeMs = 50.0;
// The shortest exchanges contain the least processing time, so the estimate follows them quickly and longer ones slowly.
constexpr double ShorterExchangeWeight = 0.25;
constexpr double LongerExchangeWeight = 1.0 / 128;
constexpr Duration DecayInterval = std::chrono::milliseconds(100);
// Half-life of 5 s, so that a zone with ten requests a second still averages its gains over all of them.
constexpr double DecayPerInterval = 0.986;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMs(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

std::string_view zoneExitReasonName(ZoneExitReason reason)
{
    switch (reason) {
    case ZoneExitReason::None:
        return "unknown";
    case ZoneExitReason::HomeFull:
        return "home-full";
    case ZoneExitReason::HomeSlow:
        return "home-slow";
    case ZoneExitReason::NoHomeUpstream:
        return "no-home-upstream";
    case ZoneExitReason::LocalPlacement:
        return "local-placement";
    }
    return "unknown";
}

ZoneExitPolicy::ZoneExitPolicy(ZoneExitOptions options)
    : m_options(options)
{
}

void ZoneExitPolicy::setOptions(const ZoneExitOptions &options)
{
    m_options = options;
}

void ZoneExitPolicy::resize(std::size_t zones)
{
    if (zones <= m_zones) {
        return;
    }
    m_zones = zones;
    m_pairs.assign(zones * zones, {});
    m_exchanges.resize(zones);
}

const ZoneExitPolicy::ZonePair &ZoneExitPolicy::pair(std::size_t from, std::size_t to) const
{
    return m_pairs[from * m_zones + to];
}

bool ZoneExitPolicy::isOutflowOpen(std::size_t from, std::size_t to) const
{
    return from < m_zones && to < m_zones && pair(from, to).isOpen;
}

double ZoneExitPolicy::serviceMs(const ZoneExitQuery &query, double key) const
{
    // The mean was measured at the current load, whereas a key of 1 describes an upstream without requests.
    return toMs(query.meanServiceTime) * key / (1 + SlownessPerLoad * query.utilization);
}

double ZoneExitPolicy::leavingMs(const ZoneExitQuery &query) const
{
    return crossingMs() + m_options.msPerKilobyte * static_cast<double>(query.expectedBytes) / BytesPerKilobyte;
}

ZoneExitDecision ZoneExitPolicy::decide(const ZoneExitQuery &query, std::span<const ZoneOffer> offers)
{
    using Action = ZoneExitDecision::Action;
    resize(offers.size());
    const std::optional<BestElsewhere> best = cheapestElsewhere(query, offers);
    const bool hasHome = query.home < offers.size() && offers[query.home].slots > 0;
    const bool isHomeFree = hasHome && std::isfinite(offers[query.home].bestKey);
    if (!isHomeFree && !best) {
        return {};
    }
    if (!hasHome) {
        return {.action = Action::Grant, .zone = best->zone, .reason = ZoneExitReason::NoHomeUpstream};
    }
    if (!isHomeFree) {
        return decideWithFullHome(query, offers[query.home], *best);
    }
    const double homeCost = serviceMs(query, offers[query.home].bestKey);
    updateGains(query, offers, homeCost);
    return best ? decideWithFreeHome(query, homeCost, *best) : ZoneExitDecision{.action = Action::Grant, .zone = query.home};
}

std::optional<ZoneExitPolicy::BestElsewhere> ZoneExitPolicy::cheapestElsewhere(const ZoneExitQuery &query,
                                                                               std::span<const ZoneOffer> offers) const
{
    std::optional<BestElsewhere> best;
    double lowestKey = std::numeric_limits<double>::infinity();
    for (std::size_t zone = 0; zone < offers.size(); ++zone) {
        if (zone != query.home && offers[zone].bestKey < lowestKey) {
            lowestKey = offers[zone].bestKey;
            const double service = serviceMs(query, lowestKey);
            best = {.zone = zone, .cost = service + leavingMs(query), .time = service + crossingMs()};
        }
    }
    return best;
}

void ZoneExitPolicy::updateGains(const ZoneExitQuery &query, std::span<const ZoneOffer> offers, double homeCost)
{
    const double mean = toMs(query.meanServiceTime);
    if (mean <= 0) {
        return;
    }
    // The bytes are left out, so that large responses do not stop small requests of the same service from leaving.
    for (std::size_t zone = 0; zone < offers.size(); ++zone) {
        ZonePair &flow = m_pairs[query.home * m_zones + zone];
        const bool isFree = std::isfinite(offers[zone].bestKey);
        const double gain = isFree ? (homeCost - serviceMs(query, offers[zone].bestKey) - crossingMs()) / mean : -MaxGainSample;
        flow.gain += GainSmoothing * (std::clamp(gain, -MaxGainSample, MaxGainSample) - flow.gain);
        flow.isOpen = flow.gain > (flow.isOpen ? GainToStayOpen : GainToOpen);
    }
}

ZoneExitDecision ZoneExitPolicy::decideWithFreeHome(const ZoneExitQuery &query, double homeCost, const BestElsewhere &best) const
{
    const double mean = toMs(query.meanServiceTime);
    const bool isPersistent = pair(query.home, best.zone).isOpen && !pair(best.zone, query.home).isOpen;
    const double needed = isPersistent ? 0 : GainToLeaveAtOnce * mean;
    const bool leaves = homeCost - best.cost > needed;
    return {.action = ZoneExitDecision::Action::Grant,
            .zone = leaves ? best.zone : query.home,
            .reason = leaves ? ZoneExitReason::HomeSlow : ZoneExitReason::None};
}

ZoneExitDecision
ZoneExitPolicy::decideWithFullHome(const ZoneExitQuery &query, const ZoneOffer &home, const BestElsewhere &best) const
{
    const double mean = toMs(query.meanServiceTime);
    const double loadOfFreedSlot = 1 - static_cast<double>(home.usable) / home.slots;
    const double slowness = home.slots / home.averageSlots;
    const double wait = mean * static_cast<double>(query.homeQueue + 1) / home.averageSlots;
    const double homeCost = wait + serviceMs(query, slowness * (1 + SlownessPerLoad * loadOfFreedSlot));
    const double needed = pair(best.zone, query.home).isOpen ? GainAgainstInflow * mean : 0;
    const double maxHold = maxHoldMs(query, best);
    if (query.mayHold && wait <= maxHold && homeCost - best.cost <= needed) {
        return {.action = ZoneExitDecision::Action::Hold, .zone = query.home, .holdFor = fromMs(maxHold)};
    }
    return {.action = ZoneExitDecision::Action::Grant, .zone = best.zone, .reason = ZoneExitReason::HomeFull};
}

double ZoneExitPolicy::maxHoldMs(const ZoneExitQuery &query, const BestElsewhere &best)
{
    const double longest = MaxHoldShare * best.time - toMs(query.waited);
    if (!query.objectiveLeft) {
        return longest;
    }
    // The idle upstreams elsewhere may fill up meanwhile, so at least the mean is reckoned with.
    const double latest = toMs(*query.objectiveLeft) - std::max(best.time, toMs(query.meanServiceTime)) - TickMs;
    return std::min(longest, latest);
}

void ZoneExitPolicy::tick(Instant now)
{
    if (now - m_lastDecay < DecayInterval) {
        return;
    }
    m_lastDecay = now;
    for (ZonePair &flow : m_pairs) {
        flow.gain *= DecayPerInterval;
        flow.isOpen = flow.isOpen && flow.gain > GainToStayOpen;
    }
}

void ZoneExitPolicy::recordExchange(std::size_t zone, Duration overhead)
{
    if (zone >= m_exchanges.size()) {
        return;
    }
    Exchange &exchange = m_exchanges[zone];
    const double sample = std::clamp(toMs(overhead), 0.0, MaxExchangeMs);
    const double weight = sample < exchange.milliseconds ? ShorterExchangeWeight : LongerExchangeWeight;
    exchange.milliseconds = exchange.isMeasured ? exchange.milliseconds + weight * (sample - exchange.milliseconds) : sample;
    exchange.isMeasured = true;
    // Exchanges within the dispatcher's zone are the shortest; what the others take longer is the way between zones.
    double lowest = MaxExchangeMs;
    double sum = 0;
    int measured = 0;
    for (const Exchange &other : m_exchanges) {
        if (other.isMeasured) {
            lowest = std::min(lowest, other.milliseconds);
            sum += other.milliseconds;
            ++measured;
        }
    }
    m_measuredCrossingMs = measured > 1 ? (sum - measured * lowest) / (measured - 1) : DefaultCrossingMs;
}

double ZoneExitPolicy::crossingMs() const
{
    return m_options.crossingMs.value_or(m_measuredCrossingMs);
}

} // namespace Filbertmount
