// Measures how the cost of one entry instance grows with the number of services and upstreams: memory, time per tick and
// time per placement. docs/CAPACITY.md extrapolates the cost at the target size from these measurements.

#include <filbertmount/routing/router.h>

#include "peer.pb.h"

#include <malloc.h>

#include <tclap/CmdLine.h>

#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

using namespace Filbertmount;

namespace {

constexpr int UpstreamsPerService = 30;
constexpr int TicksPerMeasurement = 4000;
constexpr auto TickInterval = std::chrono::milliseconds(5);
constexpr double MeasuredSeconds = 20.0;
static_assert(TicksPerMeasurement * TickInterval == std::chrono::seconds(20));
constexpr int PlacementsPerMeasurement = 200'000;

/** Returns the CPU time of this process, which does not include other load on the machine. */
double processorSeconds()
{
    timespec reading{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &reading);
    return static_cast<double>(reading.tv_sec) + static_cast<double>(reading.tv_nsec) / 1e9;
}

double allocatedBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

ServiceName serviceName(int index)
{
    return ServiceName("service-" + std::to_string(index));
}

std::vector<RoutedUpstream> upstreamsOf(int service)
{
    std::vector<RoutedUpstream> upstreams;
    upstreams.reserve(UpstreamsPerService);
    for (int index = 0; index < UpstreamsPerService; ++index) {
        const std::string name = "upstream-" + std::to_string(service) + "-" + std::to_string(index);
        upstreams.push_back({.id = UpstreamId(name),
                             .address = "10.0.0.1:" + std::to_string(1024 + index),
                             .zone = AvailabilityZone("zone-" + std::to_string(index % 4)),
                             .slots = 4});
    }
    return upstreams;
}

struct Cost {
    int services = 0;
    double bytes = 0;
    double tickMicroseconds = 0;
    double idleBytesPerSecond = 0;
    double placementNanoseconds = 0;
};

double placementSeconds(Router &router, int services)
{
    const double before = processorSeconds();
    for (int index = 0; index < PlacementsPerMeasurement; ++index) {
        const PlacementQuery query{.service = serviceName(index % services), .deadline = {}};
        router.place(query, [&](const PlacementResult &result) {
            if (const auto *placement = std::get_if<Placement>(&result)) {
                router.release(*placement, {.outcome = AttemptOutcome::Success, .serviceTime = std::chrono::milliseconds(20)});
            }
        });
    }
    return (processorSeconds() - before) / PlacementsPerMeasurement;
}

double tickSeconds(Router &router)
{
    static Instant now = ProcessClock::now();
    const double before = processorSeconds();
    for (int index = 0; index < TicksPerMeasurement; ++index) {
        now += TickInterval;
        router.tick(now);
    }
    return (processorSeconds() - before) / TicksPerMeasurement;
}

Cost measure(int services, int members)
{
    const double before = allocatedBytes();
    auto sentBytes = std::make_shared<std::size_t>(0);
    const auto router = std::make_unique<Router>(RouterOptions{
        .self = InstanceId("entry-0"),
        .send =
            [sentBytes](const InstanceId & /*to*/, const Wire::Envelope &message) {
                *sentBytes += message.ByteSizeLong();
            },
    });
    std::vector<InstanceId> ids;
    ids.reserve(static_cast<std::size_t>(members));
    for (int index = 0; index < members; ++index) {
        ids.emplace_back("entry-" + std::to_string(index));
    }
    for (int service = 0; service < services; ++service) {
        router->updateUpstreams(serviceName(service), upstreamsOf(service));
    }
    router->setMembers(ids);
    Cost cost{.services = services};
    cost.bytes = allocatedBytes() - before;
    // The first reports after a change of dispatcher are repeated; they are not part of the steady-state cost.
    tickSeconds(*router);
    *sentBytes = 0;
    cost.tickMicroseconds = tickSeconds(*router) * 1e6;
    cost.idleBytesPerSecond = static_cast<double>(*sentBytes) / MeasuredSeconds;
    // With more members, most services have their dispatcher on another member, and members do not respond here.
    if (members == 1) {
        cost.placementNanoseconds = placementSeconds(*router, services) * 1e9;
    }
    return cost;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Measures the cost of the routing tables of one entry instance", ' ', FILBERTMOUNT_VERSION);
    TCLAP::ValueArg<int> members("", "members", "number of entry instances in the region", false, 1, "count", command);
    command.parse(argc, argv);
    std::printf("%9s %10s %10s %12s %10s %12s %14s\n",
                "services",
                "upstreams",
                "KB",
                "KB/service",
                "tick us",
                "idle B/s",
                "placement ns");
    for (const int services : {1, 10, 100, 300, 610}) {
        const Cost cost = measure(services, members.getValue());
        std::printf("%9d %10d %10.1f %12.2f %10.1f %12.0f %14.0f\n",
                    cost.services,
                    cost.services * UpstreamsPerService,
                    cost.bytes / 1024,
                    cost.bytes / 1024 / cost.services,
                    cost.tickMicroseconds,
                    cost.idleBytesPerSecond,
                    cost.placementNanoseconds);
    }
    return 0;
}
