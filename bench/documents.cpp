// Measures the propagation time and the cost of document gossip on a virtual clock.
// Usage: filbertmount-bench-documents [seeds]
#include "../tests/support/documentfleet.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Services = 610;
constexpr std::size_t ValueBytes = 1200;

ServiceName serviceAt(std::size_t index)
{
    return ServiceName("service-" + std::to_string(index));
}

void fillTables(DocumentFleet &fleet, std::size_t services)
{
    for (auto &node : fleet.nodes) {
        node->gate.confirm(fleet.network.now());
        for (std::size_t index = 0; index < services; ++index) {
            node->table.apply(serviceAt(index), Revision(1), std::string(ValueBytes, 'x'));
        }
    }
}

std::uint64_t totalBytes(const DocumentFleet &fleet)
{
    std::uint64_t bytes = 0;
    for (const auto &node : fleet.nodes) {
        bytes += fleet.network.traffic(node->id).bytes;
    }
    return bytes;
}

/** Returns the virtual seconds until all instances hold one change. */
double propagationSeconds(DocumentFleet &fleet, std::uint64_t revision)
{
    const Instant start = fleet.network.now();
    fleet.change(revision % fleet.nodes.size(), serviceAt(0), revision, std::string(ValueBytes, 'y'));
    while (fleet.countHolding(serviceAt(0), revision) < fleet.nodes.size() && fleet.network.now() < start + seconds(30)) {
        fleet.network.runFor(milliseconds(5));
    }
    return std::chrono::duration<double>(fleet.network.now() - start).count();
}

void measurePropagationTimes(int size, int seeds, double loss)
{
    std::vector<double> times;
    for (int seed = 1; seed <= seeds; ++seed) {
        DocumentFleet fleet(size, {.seed = static_cast<std::uint64_t>(seed), .loss = loss});
        fillTables(fleet, 1);
        fleet.network.runFor(seconds(1));
        for (std::uint64_t change = 0; change < 10; ++change) {
            times.push_back(propagationSeconds(fleet, 100 + change));
            fleet.network.runFor(milliseconds(130));
        }
    }
    std::sort(times.begin(), times.end());
    std::printf("%7d %6.0f%% %8zu %8.3f %8.3f\n", size, loss * 100, times.size(), times[times.size() / 2], times.back());
}

void measureCost(int size, double changesPerSecond)
{
    DocumentFleet fleet(size, {.seed = 1});
    fillTables(fleet, Services);
    fleet.network.runFor(seconds(2));
    constexpr auto length = seconds(20);
    const std::uint64_t before = totalBytes(fleet);
    const Instant start = fleet.network.now();
    const std::clock_t cpu = std::clock();
    const int changes = static_cast<int>(20 * changesPerSecond);
    for (int change = 0; change < changes; ++change) {
        fleet.network.runUntil(start + length * change / changes);
        // The two instances of the region that watch the store both receive the change from the store.
        for (const std::size_t watcher : {std::size_t{0}, std::size_t{1}}) {
            fleet.change(
                watcher, serviceAt(static_cast<std::size_t>(change) % Services), 10 + change, std::string(ValueBytes, 'z'));
        }
    }
    fleet.network.runUntil(start + length);
    const double nodeSeconds = 20.0 * size;
    const double micros = 1e6 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
    std::printf("%7d %10.2f %12.0f %12.2f\n",
                size,
                changesPerSecond,
                static_cast<double>(totalBytes(fleet) - before) / nodeSeconds,
                micros / (nodeSeconds * 50));
}

void measureMemory()
{
    const auto before = mallinfo2().uordblks;
    DocumentTable table(decodeTestDocument);
    for (std::size_t index = 0; index < Services; ++index) {
        table.apply(serviceAt(index), Revision(1), std::string(ValueBytes, 'x'));
    }
    std::printf("table of %zu documents of %zu bytes: %.2f MB\n",
                Services,
                ValueBytes,
                static_cast<double>(mallinfo2().uordblks - before) / 1e6);
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 5;
    measureMemory();
    std::printf("\nTime until all instances hold one change, in virtual seconds\n");
    std::printf("%7s %7s %8s %8s %8s\n", "members", "loss", "changes", "p50", "max");
    for (const int size : {14, 100, 400}) {
        measurePropagationTimes(size, seeds, 0);
        measurePropagationTimes(size, seeds, 0.05);
    }
    std::printf("\nCost with %zu documents of %zu bytes; bytes are those of sent encoded envelopes, without TCP headers\n",
                Services,
                ValueBytes);
    std::printf("%7s %10s %12s %12s\n", "members", "changes/s", "B/s member", "CPU us/tick");
    for (const int size : {14, 100, 400}) {
        for (const double rate : {0.0, 0.86, 10.0}) {
            measureCost(size, rate);
        }
    }
    return 0;
}
