#include <filbertmount/proxy/callerport.h>
#include <filbertmount/proxy/upstreamclient.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace Filbertmount;

struct Arguments {
    std::string listen;
    std::uint16_t port = 0;
    std::string service;
    std::vector<std::string> upstreams;
};

Arguments parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine line("HTTP load balancer", ' ', FILBERTMOUNT_VERSION);
    TCLAP::ValueArg<std::string> listen("", "listen", "IPv4 address of the caller port", false, "127.0.0.1", "address", line);
    TCLAP::ValueArg<std::uint16_t> port("", "port", "TCP port of the caller port; 0 takes a free one", false, 8080, "port", line);
    TCLAP::ValueArg<std::string> service("", "service", "service name, also the host name of requests", true, "", "name", line);
    TCLAP::MultiArg<std::string> upstreams("", "upstream", "upstream of the service", true, "address:port", line);
    line.parse(argc, argv);
    return {
        .listen = listen.getValue(), .port = port.getValue(), .service = service.getValue(), .upstreams = upstreams.getValue()};
}

int serve(const Arguments &arguments, const sigset_t &signals)
{
    Router router;
    ServiceDirectory directory;
    UpstreamClient client({.workers = 2});
    const ExchangePorts ports{.router = router, .client = client, .claims = {}};
    auto document = std::make_shared<ServiceDocument>();
    document->service = ServiceName(arguments.service);
    std::vector<RoutedUpstream> upstreams;
    for (const std::string &address : arguments.upstreams) {
        upstreams.push_back({.id = UpstreamId(address), .address = address, .zone = {}, .slots = 2});
    }
    router.updateUpstreams(document->service, std::move(upstreams));
    directory.replace({document});
    const Result<std::unique_ptr<CallerPort>> port =
        CallerPort::listen({.address = arguments.listen, .port = arguments.port}, directory, ports);
    if (!port) {
        std::cerr << "filbertmountd: cannot listen on " << arguments.listen << ":" << arguments.port << "\n";
        return 1;
    }
    const timespec interval{.tv_sec = 0, .tv_nsec = 50'000'000};
    while (sigtimedwait(&signals, nullptr, &interval) < 0) {
        (*port)->tick(ProcessClock::now());
    }
    (*port)->drain();
    while (!(*port)->drained(ProcessClock::now())) {
        (*port)->tick(ProcessClock::now());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    // Blocked before any thread starts, so that all threads inherit the mask.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        return serve(parseArguments(argc, argv), signals);
    } catch (const std::exception &error) {
        std::cerr << "filbertmountd: " << error.what() << "\n";
        return 1;
    }
}
