// Load pattern: many requests per second to upstreams that other processes on their machines slow down for 150 ms at a time.
#include <filbertmount/routing/servicerouter.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr int Upstreams = 200;
constexpr Duration Tick = std::chrono::milliseconds(5);

std::vector<RoutedUpstream> upstreams()
{
    std::vector<RoutedUpstream> list;
    list.reserve(Upstreams);
    for (int number = 0; number < Upstreams; ++number) {
        list.push_back({.id = UpstreamId("u" + std::to_string(number)), .address = "10.0.0.1:80", .zone = {}, .slots = 4});
    }
    return list;
}

/** A router that is its own dispatcher, under a steady load of 4 ms requests. */
class LoadedRouter
{
public:
    explicit LoadedRouter(int requestsPerTick)
        : m_requestsPerTick(requestsPerTick)
    {
        router.updateUpstreams(upstreams(), now, output);
        router.setDispatcher(SelfMember, std::vector<MemberIndex>{SelfMember}, now, output);
    }

    void step()
    {
        now += Tick;
        for (int request = 0; request < m_requestsPerTick; ++request) {
            router.request({.request = ++m_lastRequest, .timeLeft = 1s}, now, output);
        }
        const std::vector<SlotPlacement> placements = output.decisions.placements;
        output.clear();
        for (const SlotPlacement &placement : placements) {
            router.release(placement, {.outcome = AttemptOutcome::Success, .serviceTime = 4ms}, now, output);
        }
        output.clear();
        router.tick(now, output);
    }

    ServiceRouter router{ServiceRouterOptions()};
    ServiceRouterOutput output;
    Instant now{Duration(100s)};

private:
    const int m_requestsPerTick;
    std::uint64_t m_lastRequest = 0;
};

/** Runs for two seconds and returns the number of polls in the second one. No upstream responds to them. */
std::size_t pollsPerSecond(int requestsPerTick)
{
    LoadedRouter loaded(requestsPerTick);
    std::size_t polled = 0;
    for (int step = 0; step < 400; ++step) {
        loaded.step();
        const std::size_t due = loaded.router.upstreamsToPoll({}, loaded.now).size();
        polled += step >= 200 ? due : 0;
    }
    return polled;
}

/** Runs for two seconds, records the pace of all upstreams and returns the number of candidates to be polled 30 ms later. */
std::size_t candidatesUnderLoad(int requestsPerTick)
{
    LoadedRouter loaded(requestsPerTick);
    for (int step = 0; step < 400; ++step) {
        loaded.step();
    }
    for (UpstreamIndex index = 0; index < Upstreams; ++index) {
        loaded.router.recordPace(index, 1, loaded.now, loaded.output);
    }
    // 30 ms is more than candidateMaxAge and less than otherMaxAge, so that only candidates are polled.
    return loaded.router.upstreamsToPoll({.minPollsPerSecond = 1e6}, loaded.now + 30ms).size();
}

} // namespace

TEST_CASE("service router: the rate of pace polls is bounded for any number of upstreams")
{
    struct Case {
        const char *name;
        int requestsPerTick;
        std::size_t maxPerSecond;
    };
    for (const Case &row : {Case{"no requests", 0, 200}, Case{"600 a second", 3, 1000}}) {
        CAPTURE(row.name);
        CHECK(pollsPerSecond(row.requestsPerTick) <= row.maxPerSecond);
    }
}

TEST_CASE("service router: the number of candidates whose pace is polled follows the rate of grants")
{
    struct Case {
        const char *name;
        int requestsPerTick;
        std::size_t minCandidates;
        std::size_t maxCandidates;
    };
    // The pace of a candidate is polled every 20 ms, which is 4 ticks.
    for (const Case &row : {Case{"no requests", 0, 3, 3},
                            Case{"200 a second", 1, 4, 8},
                            Case{"600 a second", 3, 12, 24},
                            Case{"10,000 a second", 50, 48, 48}}) {
        CAPTURE(row.name);
        const std::size_t candidates = candidatesUnderLoad(row.requestsPerTick);
        CHECK(candidates >= row.minCandidates);
        CHECK(candidates <= row.maxCandidates);
    }
}
