#include "upstreamserver.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <string>

using namespace Filbertmount;
using namespace Filbertmount::StandIn;

namespace {

UpstreamOptions parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for an upstream of filbertmount", ' ', FILBERTMOUNT_VERSION);
    const UpstreamOptions defaults;
    TCLAP::ValueArg<std::string> id("", "id", "name of this upstream in its responses", false, defaults.id, "name", command);
    TCLAP::ValueArg<std::string> address("", "address", "IPv4 address to listen on", false, defaults.address, "address", command);
    TCLAP::ValueArg<int> port("", "port", "port to listen on; 0 selects a free port", false, 0, "port", command);
    TCLAP::ValueArg<int> slots(
        "", "slots", "number of requests that run at the same time", false, defaults.slots, "count", command);
    TCLAP::ValueArg<int> queue(
        "", "queue", "number of requests that may wait for a slot", false, defaults.queueCapacity, "count", command);
    TCLAP::ValueArg<double> service("", "service-ms", "mean service time in milliseconds", false, 20, "ms", command);
    TCLAP::ValueArg<double> slow(
        "", "slow-share", "share of the requests that take ten times as long", false, defaults.slowShare, "share", command);
    TCLAP::ValueArg<int> cold(
        "", "cold-start-ms", "duration of the slow phase after the start in milliseconds", false, 0, "ms", command);
    TCLAP::ValueArg<int> lag("", "report-lag-ms", "age of the reported load in milliseconds", false, 0, "ms", command);
    TCLAP::ValueArg<unsigned> seed("", "seed", "seed of the service times", false, 1, "number", command);
    TCLAP::ValueArg<std::string> log(
        "", "execution-log", "file that receives one line per request that is run", false, "", "file", command);
    command.parse(argc, argv);
    return {.id = id.getValue(),
            .address = address.getValue(),
            .port = static_cast<std::uint16_t>(port.getValue()),
            .slots = slots.getValue(),
            .queueCapacity = queue.getValue(),
            .meanServiceTime = Duration(static_cast<Duration::rep>(service.getValue() * 1e6)),
            .slowShare = slow.getValue(),
            .coldStart = std::chrono::milliseconds(cold.getValue()),
            .reportLag = std::chrono::milliseconds(lag.getValue()),
            .seed = seed.getValue(),
            .executionLog = log.getValue()};
}

} // namespace

int main(int argc, char **argv)
{
    // Blocked before any thread starts, so that only sigwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    UpstreamServer server(parseOptions(argc, argv));
    if (!server.start()) {
        std::cerr << "cannot listen on the given address and port\n";
        return 1;
    }
    std::cout << "listening on port " << server.port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    // Requests that are still in transit must find the port open: refuse them for a while before closing it.
    server.drain();
    server.waitUntilIdle();
    constexpr timespec drainTime{.tv_sec = 2, .tv_nsec = 0};
    nanosleep(&drainTime, nullptr);
    return 0;
}
