// Measures the cost and the detection time of the membership protocol on a virtual clock.
// Usage: filbertmount-bench-membership [seeds]
#include "../tests/support/memberfleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Measurement {
    double idleBytes = 0;
    double idleMessages = 0;
    double lossBytes = 0;
    std::vector<double> detection;
    std::vector<double> firstDetection;
    std::uint64_t falseDeaths = 0;
    std::uint64_t suspicions = 0;
    double memberSeconds = 0;
    double cpuMicrosecondsPerTick = 0;
};

FakeNetwork::Traffic totalTraffic(const MemberFleet &fleet)
{
    FakeNetwork::Traffic sum;
    for (const auto &node : fleet.nodes) {
        const FakeNetwork::Traffic traffic = fleet.network.traffic(node->id);
        sum.messages += traffic.messages;
        sum.bytes += traffic.bytes;
    }
    return sum;
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void measureIdle(MemberFleet &fleet, Measurement &result)
{
    constexpr auto length = seconds(30);
    const FakeNetwork::Traffic before = totalTraffic(fleet);
    const std::clock_t cpu = std::clock();
    fleet.network.runFor(length);
    const double micros = 1e6 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
    const FakeNetwork::Traffic after = totalTraffic(fleet);
    const double memberSeconds = secondsOf(length) * static_cast<double>(fleet.nodes.size());
    result.idleBytes += static_cast<double>(after.bytes - before.bytes) / memberSeconds;
    result.idleMessages += static_cast<double>(after.messages - before.messages) / memberSeconds;
    // 50 ticks of 20 ms per second. The time includes the fake network and the handling of received messages.
    result.cpuMicrosecondsPerTick += micros / (memberSeconds * 50);
}

void measureDetection(MemberFleet &fleet, Measurement &result)
{
    const std::size_t killedIndex = fleet.nodes.size() / 2;
    const InstanceId id = fleet.nodes[killedIndex]->id;
    const Instant start = fleet.network.now();
    fleet.kill(killedIndex);
    const std::size_t others = fleet.nodes.size() - 1;
    bool isFirstDetected = false;
    while (fleet.countSeeing(id) > 0 && fleet.network.now() < start + seconds(60)) {
        fleet.network.runFor(milliseconds(20));
        if (!isFirstDetected && fleet.countSeeing(id) < others) {
            isFirstDetected = true;
            result.firstDetection.push_back(secondsOf(fleet.network.now() - start));
        }
    }
    result.detection.push_back(secondsOf(fleet.network.now() - start));
}

void measureLoss(MemberFleet &fleet, Measurement &result)
{
    constexpr auto length = seconds(60);
    std::uint64_t deaths = 0;
    std::uint64_t suspicions = 0;
    for (const auto &node : fleet.nodes) {
        deaths += node->table.counts().deaths;
        suspicions += node->table.counts().suspicions;
    }
    fleet.network.setLoss(0.05);
    const FakeNetwork::Traffic before = totalTraffic(fleet);
    fleet.network.runFor(length);
    const double memberSeconds = secondsOf(length) * static_cast<double>(fleet.nodes.size());
    result.lossBytes += static_cast<double>(totalTraffic(fleet).bytes - before.bytes) / memberSeconds;
    for (const auto &node : fleet.nodes) {
        result.falseDeaths += node->table.counts().deaths;
        result.suspicions += node->table.counts().suspicions;
    }
    result.falseDeaths -= deaths;
    result.suspicions -= suspicions;
    result.memberSeconds += memberSeconds;
}

void printRow(int size, int seeds, Measurement &result)
{
    std::sort(result.detection.begin(), result.detection.end());
    std::sort(result.firstDetection.begin(), result.firstDetection.end());
    std::printf("%7d %10.0f %10.1f %12.0f %9.2f %9.2f %9.2f %12.0f %10llu %10llu %9.1f\n",
                size,
                result.idleBytes / seeds,
                result.idleMessages / seeds,
                result.lossBytes / seeds,
                result.firstDetection[result.firstDetection.size() / 2],
                result.detection[result.detection.size() / 2],
                result.detection.back(),
                result.memberSeconds,
                static_cast<unsigned long long>(result.suspicions),
                static_cast<unsigned long long>(result.falseDeaths),
                result.cpuMicrosecondsPerTick / seeds);
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 3;
    std::printf("Virtual time. Bytes are those of encoded envelopes, sent per member per second, without TCP headers.\n");
    std::printf("%7s %10s %10s %12s %9s %9s %9s %12s %10s %10s %9s\n",
                "members",
                "idle B/s",
                "msgs/s",
                "5%loss B/s",
                "first s",
                "all p50",
                "all max",
                "member-s",
                "suspicions",
                "deaths",
                "us/tick");
    for (const int size : {14, 100, 400}) {
        Measurement result;
        for (int seed = 1; seed <= seeds; ++seed) {
            MemberFleet fleet(size, {.seed = static_cast<std::uint64_t>(seed)});
            // All members start at once, and each member gossips every join for about a minute.
            fleet.network.runFor(seconds(100));
            if (fleet.countAgreeing() != fleet.nodes.size()) {
                std::printf("seed %d: only %zu of %d members agree after 100 s\n", seed, fleet.countAgreeing(), size);
            }
            measureIdle(fleet, result);
            measureDetection(fleet, result);
            fleet.network.runFor(seconds(10));
            measureLoss(fleet, result);
        }
        printRow(size, seeds, result);
    }
    return 0;
}
