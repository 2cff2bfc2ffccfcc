#include "proxy/testentry.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

TEST_CASE("requests that cannot be served are refused as not run and never reach an upstream")
{
    struct Case {
        std::string name;
        std::string request;
        int status;
        bool ownResponse = true; // False where libmicrohttpd responds, since it could not parse the request.
        std::string run = "not-run";
    };
    const std::string big(20000, 'x');
    const Case cases[] = {
        // Status 0: the connection is closed without a response.
        {"no HTTP", "nonsense\r\n\r\n", 0, false},
        {"no Host", "GET / HTTP/1.1\r\n\r\n", 400, false},
        {"two Hosts", "GET / HTTP/1.1\r\nHost: shop\r\nHost: other\r\n\r\n", 400},
        {"HTTP/1.0", "GET / HTTP/1.0\r\nHost: shop\r\n\r\n", 505},
        {"absolute target", "GET http://shop/ HTTP/1.1\r\nHost: shop\r\n\r\n", 400},
        {"length and chunks", request("POST /", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400, false},
        {"two lengths", request("POST /", "Content-Length: 3\r\nContent-Length: 4\r\n"), 400},
        {"malformed length", request("POST /", "Content-Length: 3x\r\n"), 400, false},
        {"negative length", request("POST /", "Content-Length: -3\r\n"), 400, false},
        {"other transfer coding", request("POST /", "Transfer-Encoding: gzip, chunked\r\n"), 400, false},
        {"bad chunk size", request("POST /orders", "Transfer-Encoding: chunked\r\n") + "zz\r\nabc\r\n", 400, false},
        {"unknown service", "GET / HTTP/1.1\r\nHost: elsewhere\r\n\r\n", 404},
        {"unknown path", request("GET /elsewhere"), 404},
        {"wrong method", request("PATCH /orders"), 405},
        {"header above the service's limit", request("GET /orders", "X: " + big + "\r\n"), 431},
        {"header above the server's limit", request("GET /orders", "X: " + big + big + big + big + "\r\n"), 431, false},
        {"length above the limit", request("POST /orders", "Content-Length: 200000\r\n"), 413},
        // The upstream may receive the head and the first part before the limit is exceeded, but never the complete request.
        {"chunks above the limit",
         request("POST /orders", "Transfer-Encoding: chunked\r\n") + "1d4c0\r\n" + std::string(120000, 'x') + "\r\n0\r\n\r\n",
         413,
         true,
         "may-have-run"},
    };
    TestUpstream upstream(always(responseWith("200 OK", "served")));
    TestEntry entry({.upstreams = {upstream.address()},
                     .routes = {{.method = "GET", .path = "/orders/**"}, {.method = "POST", .path = "/orders/**"}},
                     .limits = {.maxBodyBytes = 100000}});
    for (const Case &row : cases) {
        CAPTURE(row.name);
        const TestMessage response = entry.call(row.request);
        CHECK(response.status() == row.status);
        if (row.ownResponse) {
            CHECK(response.header("Filbertmount-Run") == row.run);
            CHECK(response.header("Content-Type") == "application/problem+json");
        }
        CHECK(upstream.completeRequests() == 0);
        if (row.run == "not-run") {
            CHECK(upstream.requests() == 0);
        }
    }
    CHECK(upstream.completeRequests() == 0);
    CHECK(upstream.requests() <= 1);
    CHECK(entry.call(request("PATCH /orders")).header("Allow") == "GET, POST");
    CHECK(entry.call(request("GET /orders")).body == "served");
}

TEST_CASE("connections of slow callers are closed, those with a request in progress are not")
{
    TestUpstream upstream([](const TestMessage &, TestSocket &socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return socket.send(responseWith("200 OK", "served"));
    });
    TestEntry entry({.upstreams = {upstream.address()}, .caller = {.headerTimeout = std::chrono::milliseconds(100)}});

    SUBCASE("no request")
    {
        CHECK(entry.connect().closedByPeer());
    }
    SUBCASE("a header that never ends")
    {
        TestSocket caller = entry.connect();
        caller.send("GET / HTTP/1.1\r\nHost: shop\r\n");
        while (caller.send("X: y\r\n")) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        CHECK(caller.closedByPeer());
    }
    SUBCASE("a body that never ends")
    {
        TestSocket caller = entry.connect();
        caller.send(request("POST /", "Filbertmount-Deadline-Ms: 100\r\nContent-Length: 60000\r\n"));
        while (caller.send("x")) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        CHECK(caller.closedByPeer());
        CHECK(upstream.requests() == 0);
    }
    SUBCASE("a long body that stops in the middle of its transfer")
    {
        TestSocket caller = entry.connect();
        caller.send(request("POST /", "Filbertmount-Deadline-Ms: 200\r\nContent-Length: 600000\r\n") + std::string(300000, 'x'));
        CHECK(caller.closedByPeer());
    }
    SUBCASE("waiting for a slow upstream")
    {
        CHECK(entry.call(request("GET /")).body == "served");
    }
}

TEST_CASE("after a refused request, the connection is usable or closed, and its body is not parsed as a request")
{
    TestUpstream upstream(always(responseWith("200 OK", "served")));
    TestEntry entry({.upstreams = {upstream.address()}, .routes = {{.method = "GET"}}});
    TestSocket caller = entry.connect();
    // A body that is itself a valid request must not be parsed as the next one.
    const std::string hidden = request("GET /hidden");
    caller.send(request("POST /", {}, hidden));
    CHECK(readMessage(caller).status() == 405);
    caller.send(request("GET /"));
    const TestMessage next = readMessage(caller);
    CHECK((next.startLine.empty() || next.body == "served"));
    CHECK(upstream.requests() <= 1);
}

TEST_CASE("a drain finishes the requests in progress and asks callers to close")
{
    absl::Mutex mutex;
    bool release = false;
    TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
        const absl::MutexLock lock(&mutex, absl::Condition(&release));
        return socket.send(responseWith("200 OK", "served"));
    });
    TestEntry entry({.upstreams = {upstream.address()}, .caller = {.drainIdleTime = std::chrono::milliseconds(50)}});
    TestSocket caller = entry.connect();
    caller.send(request("GET /"));
    while (upstream.requests() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    entry.server->drain();
    CHECK_FALSE(entry.connect().valid());
    CHECK_FALSE(entry.server->drained(ProcessClock::now() + std::chrono::hours(1)));
    {
        const absl::MutexLock lock(&mutex);
        release = true;
    }
    const TestMessage response = readMessage(caller);
    CHECK(response.body == "served");
    CHECK(response.header("Connection") == "close");
    CHECK(caller.closedByPeer());
    while (!entry.server->drained(ProcessClock::now())) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}
