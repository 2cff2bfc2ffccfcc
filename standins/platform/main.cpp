#include "platformserver.h"

#include <tclap/CmdLine.h>

#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <iostream>

using namespace Filbertmount;

namespace {

constexpr int ExitUsage = 1;
constexpr int ExitFailure = 2;

int serve(StandIn::PlatformServer &server, const sigset_t &signals)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(server.start());
            std::cout << "listening on " << server.address() << std::endl;
            int received = 0;
            sigwait(&signals, &received);
            server.stop();
            return 0;
        },
        [](const Failure &failure) {
            std::cerr << describe(failure) << '\n';
            return ExitFailure;
        },
        []() {
            std::cerr << "unknown error\n";
            return ExitFailure;
        });
}

} // namespace

int main(int argc, char **argv)
{
    // Blocked before any thread starts, so that only sigwait() receives them.
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    TCLAP::CmdLine commandLine("Stand-in for the platform's object store and instance list", ' ', FILBERTMOUNT_VERSION);
    const TCLAP::ValueArg<std::string> address(
        "a", "address", "Address to listen on; port 0 selects a free port", false, "127.0.0.1:9000", "IP:port", commandLine);
    commandLine.parse(argc, argv);
    const std::optional<Endpoint> endpoint = parseEndpoint(address.getValue());
    if (!endpoint) {
        std::cerr << "--address: expected IP:port, found \"" << address.getValue() << "\"\n";
        return ExitUsage;
    }
    StandIn::PlatformServer server(*endpoint);
    return serve(server, signals);
}
