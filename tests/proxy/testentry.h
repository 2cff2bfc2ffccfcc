#pragma once

#include "proxy/testsocket.h"
#include "proxy/testupstream.h"

#include <filbertmount/proxy/callerserver.h>
#include <filbertmount/proxy/servicedirectory.h>
#include <filbertmount/proxy/upstreamclient.h>
#include <filbertmount/routing/router.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Filbertmount::Testing {

struct TestEntryOptions {
    std::vector<std::string> upstreams;
    std::vector<Route> routes = {{.repeatable = true}};
    LimitSettings limits = {};
    /** The budget allows every retry that the call tree permits. */
    RetrySettings retries = {.budgetPercent = 1000};
    HedgingSettings hedging = {};
    CallerServerOptions caller = {};
    ClaimCallbacks claims = {};
};

/** A caller server, router and upstream client that serve one service, "shop", in the test process. */
class TestEntry
{
public:
    explicit TestEntry(const TestEntryOptions &options);
    ~TestEntry();
    TestEntry(const TestEntry &) = delete;
    TestEntry &operator=(const TestEntry &) = delete;

    TestSocket connect();
    /** Sends the request on a new connection and returns the response. */
    TestMessage call(const std::string &request);

    std::unique_ptr<CallerServer> server;

private:
    Router m_router;
    ServiceDirectory m_directory;
    UpstreamClient m_client;
    ExchangeDependencies m_dependencies;
    std::atomic<bool> m_stopping = false;
    std::thread m_ticker;
};

/** Returns a request to the service "shop". */
std::string request(const std::string &line, const std::string &headers = {}, const std::string &body = {});

} // namespace Filbertmount::Testing
