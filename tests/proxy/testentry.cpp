#include "proxy/testentry.h"

#include <doctest/doctest.h>

namespace Filbertmount::Testing {

TestEntry::TestEntry(const TestEntryOptions &options)
    : m_client(UpstreamClientOptions{.workers = 2})
    , m_dependencies{.router = m_router, .client = m_client, .claims = options.claims}
{
    auto document = std::make_shared<ServiceDocument>();
    document->service = ServiceName("shop");
    document->routes = options.routes;
    document->limits = options.limits;
    document->retries = options.retries;
    document->hedging = options.hedging;
    std::vector<RoutedUpstream> upstreams;
    for (const std::string &address : options.upstreams) {
        upstreams.push_back({.id = UpstreamId(address), .address = address, .zone = {}, .slots = 4});
    }
    m_router.configure(document->service, routingOf(*document));
    m_router.updateUpstreams(document->service, upstreams);
    m_directory.replace({document});
    Result<std::unique_ptr<CallerServer>> listening = CallerServer::listen(options.caller, m_directory, m_dependencies);
    REQUIRE(listening.has_value());
    server = std::move(listening.value());
    m_ticker = std::thread([this] {
        while (!m_stopping) {
            m_router.tick(ProcessClock::now());
            server->tick(ProcessClock::now());
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
}

TestEntry::~TestEntry()
{
    m_stopping = true;
    m_ticker.join();
    server.reset();
}

TestSocket TestEntry::connect()
{
    return TestSocket::connectTo(server->port());
}

TestMessage TestEntry::call(const std::string &text)
{
    TestSocket socket = connect();
    socket.send(text);
    return readMessage(socket, text.starts_with("HEAD "));
}

std::string request(const std::string &line, const std::string &headers, const std::string &body)
{
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return line + " HTTP/1.1\r\nHost: shop\r\n" + headers + length + "\r\n" + body;
}

} // namespace Filbertmount::Testing
