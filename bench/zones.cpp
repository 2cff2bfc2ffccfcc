// Compares rules for leaving an availability zone on a virtual clock: no preference, a constant advantage, and by cost.

#include <filbertmount/routing/slotdispatcher.h>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr int Zones = 3;
constexpr int UpstreamsPerZone = 20;
constexpr int Slots = 2;
constexpr Duration Length = 30s;
constexpr Duration Crossing = 1400us;
constexpr double MeanMs = 20;
constexpr double Sigma = 0.8;
// Rise of the service time of an upstream from one request in progress to all its slots in use.
constexpr double RisePerLoad = 0.7;
constexpr double MsPerKilobyte = 0.05;

struct Load {
    const char *name;
    double utilization;
    std::uint64_t bytes = 400;
    /** Share of the callers of zone 0. */
    double firstZoneShare = 1.0 / Zones;
    bool isBurst = false;
    /** Service time of a third of the upstreams of zone 0, as a multiple of that of the others. */
    double slowness = 1;
    bool isZoneLost = false;
};

struct Rule {
    const char *name;
    SlotDispatcherOptions options;
};

struct Event {
    enum class Kind : std::uint8_t { Arrival, Release, Tick } kind = Kind::Tick;
    Instant at;
    SlotGrant grant;
    Duration serviceTime{0};

    bool operator>(const Event &other) const
    {
        return at > other.at;
    }
};

class Run
{
public:
    Run(const Load &load, const Rule &rule, std::uint64_t seed)
        : m_load(load)
        , m_dispatcher(m_table, rule.options)
        , m_random(seed)
    {
        std::vector<RoutedUpstream> list;
        list.reserve(static_cast<std::size_t>(Zones) * UpstreamsPerZone);
        for (int index = 0; index < Zones * UpstreamsPerZone; ++index) {
            list.push_back({.id = UpstreamId(std::to_string(index)),
                            .address = {},
                            .zone = AvailabilityZone(m_zoneNames.at(static_cast<std::size_t>(index % Zones))),
                            .slots = Slots});
        }
        m_table.update(list, m_now);
        if (load.isZoneLost) {
            for (UpstreamIndex index = 0; index < list.size(); index += Zones) {
                m_table.setState(index, UpstreamState::Down, m_now);
            }
        }
        m_dispatcher.start({}, m_now);
    }

    void print(const char *rule)
    {
        m_events.push({.kind = Event::Kind::Arrival, .at = m_now});
        m_events.push({.kind = Event::Kind::Tick, .at = m_now});
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
            startGranted();
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        double sum = 0;
        for (const double latency : m_latencies) {
            sum += latency;
        }
        const auto count = static_cast<double>(m_latencies.size());
        std::printf("%-32s %-14s %8.2f %8.2f %6.1f%% %10.1f\n",
                    m_load.name,
                    rule,
                    sum / count,
                    m_latencies[m_latencies.size() * 99 / 100],
                    100 * m_exits / count,
                    m_exits * static_cast<double>(m_load.bytes) / count);
    }

private:
    struct Request {
        Instant arrival;
        std::size_t zone = 0;
    };

    void handle(const Event &event)
    {
        const bool isOver = m_now >= Instant(Length);
        if (event.kind == Event::Kind::Release) {
            m_dispatcher.handle(1,
                                SlotRelease{.grant = event.grant.grant,
                                            .upstream = event.grant.upstream,
                                            .report = {.outcome = AttemptOutcome::Success, .serviceTime = event.serviceTime}},
                                m_now,
                                m_outbox);
        } else if (event.kind == Event::Kind::Tick) {
            m_table.tick(m_now);
            m_dispatcher.tick(m_now, m_outbox);
            if (!isOver || m_requests.size() > m_latencies.size()) {
                m_events.push({.kind = Event::Kind::Tick, .at = m_now + 5ms});
            }
        } else if (!isOver) {
            arrive();
        }
    }

    void arrive()
    {
        const bool isBurst = m_load.isBurst && m_now.time_since_epoch() % 5s < 1s;
        const double share = isBurst ? 0.6 : m_load.firstZoneShare;
        std::uniform_real_distribution<double> uniform(0, 1);
        const double draw = uniform(m_random);
        const std::size_t zone = draw < share ? 0 : (draw < share + (1 - share) / 2 ? 1 : 2);
        m_requests.push_back({.arrival = m_now, .zone = zone});
        SlotRequest request{.request = m_requests.size(), .timeLeft = 10s, .zone = m_zoneNames.at(zone)};
        request.expectedBytes = m_load.bytes;
        m_dispatcher.handle(1, request, m_now, m_outbox);
        const double perMs = m_load.utilization * Zones * UpstreamsPerZone * Slots / (MeanMs * (1 + RisePerLoad / 2));
        const double next = std::exponential_distribution<double>(perMs * (isBurst ? 1.4 : 1))(m_random);
        m_events.push({.kind = Event::Kind::Arrival, .at = m_now + toDuration(next)});
    }

    static Duration toDuration(double milliseconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
    }

    void startGranted()
    {
        for (const AddressedSlotMessage &addressed : m_outbox) {
            if (const auto *grant = std::get_if<SlotGrant>(&addressed.message)) {
                start(*grant);
            } else if (std::holds_alternative<SlotRefusal>(addressed.message)) {
                std::printf("a request was refused\n");
            }
        }
        m_outbox.clear();
    }

    void start(const SlotGrant &grant)
    {
        const Request &request = m_requests.at(grant.request - 1);
        const bool leaves = grant.upstream % Zones != request.zone;
        const bool isSlow = grant.upstream % Zones == 0 && grant.upstream / Zones % 3 == 0;
        std::lognormal_distribution<double> demand(std::log(MeanMs) - Sigma * Sigma / 2, Sigma);
        const double load = static_cast<double>(m_dispatcher.inFlight(grant.upstream) - 1) / Slots;
        const double service = demand(m_random) * (1 + RisePerLoad * load) * (isSlow ? m_load.slowness : 1);
        const Duration taken = toDuration(service) + (leaves ? Crossing : Duration::zero());
        m_exits += leaves ? 1 : 0;
        m_latencies.push_back(std::chrono::duration<double, std::milli>(m_now + taken - request.arrival).count());
        m_events.push({.kind = Event::Kind::Release, .at = m_now + taken, .grant = grant, .serviceTime = taken});
    }

    const std::vector<std::string> m_zoneNames{"a", "b", "c"};
    Load m_load;
    UpstreamTable m_table;
    SlotDispatcher m_dispatcher;
    SlotOutbox m_outbox;
    Instant m_now{};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Request> m_requests;
    std::vector<double> m_latencies;
    double m_exits = 0;
    std::mt19937_64 m_random;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Compares rules for leaving an availability zone on a virtual clock.");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the requests", false, 1, "number", line);
    line.parse(argc, argv);
    const std::vector<Load> loads{{.name = "idle", .utilization = 0.1},
                                  {.name = "equal zones", .utilization = 0.6},
                                  {.name = "burst in one zone", .utilization = 0.5, .isBurst = true},
                                  {.name = "half of the callers moved", .utilization = 0.5, .firstZoneShare = 0.67},
                                  {.name = "third of a zone slow by 12", .utilization = 0.4, .slowness = 12},
                                  {.name = "lost zone", .utilization = 0.4, .isZoneLost = true},
                                  {.name = "large responses", .utilization = 0.5, .bytes = 90'000, .firstZoneShare = 0.5}};
    const std::vector<Rule> rules{
        {"no preference", {.queue = 2000, .ownZoneAdvantage = 1}},
        {"constant", {.queue = 2000, .ownZoneAdvantage = 2}},
        {"by cost", {.queue = 2000, .zoneExit = ZoneExitOptions{.msPerKilobyte = MsPerKilobyte, .crossingMs = 1.4}}}};
    std::printf("%-32s %-14s %8s %8s %7s %10s\n", "load", "rule", "mean ms", "p99 ms", "left", "bytes/req");
    for (const Load &load : loads) {
        for (const Rule &rule : rules) {
            Run(load, rule, seed.getValue()).print(rule.name);
        }
    }
    return 0;
}
