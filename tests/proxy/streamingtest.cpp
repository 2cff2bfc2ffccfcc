#include "proxy/testentry.h"
#include "support/invalidheads.h"

#include <absl/synchronization/notification.h>
#include <doctest/doctest.h>

#include <atomic>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

std::string pattern(std::size_t size)
{
    std::string text(size, ' ');
    for (std::size_t index = 0; index < size; ++index) {
        text[index] = static_cast<char>('a' + (index * 7 + index / 4096) % 26);
    }
    return text;
}

std::string chunk(const std::string &data)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

} // namespace

TEST_CASE("request and response bodies of all sizes are forwarded unchanged")
{
    TestUpstream upstream([](const TestMessage &message, TestSocket &socket) {
        return socket.send(responseWith("200 OK", message.body));
    });
    TestEntry entry({.upstreams = {upstream.address()}});
    for (const std::size_t size :
         {std::size_t{1}, std::size_t{65535}, std::size_t{65536}, std::size_t{65537}, std::size_t{3000000}}) {
        CAPTURE(size);
        const std::string body = pattern(size);
        const TestMessage response = entry.call(request("PUT /file", {}, body));
        CHECK(response.status() == 200);
        CHECK(response.complete);
        CHECK((response.body == body)); // The parentheses keep the bodies out of a failure message.
    }
}

TEST_CASE("a chunked body is forwarded, with a Content-Length if it fits into the buffer")
{
    TestUpstream upstream([](const TestMessage &message, TestSocket &socket) {
        return socket.send(responseWith("200 OK", message.body, "X-Length: " + message.header("Content-Length") + "\r\n"));
    });
    TestEntry entry({.upstreams = {upstream.address()}});
    const std::string head = request("POST /file", "Transfer-Encoding: chunked\r\n");

    const TestMessage small = entry.call(head + chunk("abc") + chunk("defg") + "0\r\n\r\n");
    CHECK(small.body == "abcdefg");
    CHECK(small.header("X-Length") == "7");

    const std::string half = pattern(200000);
    const TestMessage large = entry.call(head + chunk(half) + chunk(half) + "0\r\n\r\n");
    CHECK((large.body == half + half));
    CHECK(large.header("X-Length").empty());
}

TEST_CASE("a chunked response is forwarded before it is complete")
{
    absl::Notification firstPartReceived;
    TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
        socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("first"));
        firstPartReceived.WaitForNotification();
        return socket.send(chunk("second") + "0\r\n\r\n");
    });
    TestEntry entry({.upstreams = {upstream.address()}});
    TestSocket caller = entry.connect();
    caller.send(request("GET /stream"));
    REQUIRE(caller.readUntil("first\r\n"));
    firstPartReceived.Notify();
    CHECK(caller.readUntil("second\r\n0\r\n\r\n"));
}

TEST_CASE("a caller that does not read blocks the upstream, and the response is not buffered without limit")
{
    constexpr std::size_t size = std::size_t{64} << 20U;
    std::atomic<std::size_t> sent = 0;
    absl::Notification stalled;
    TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
        const std::string block = pattern(std::size_t{64} << 10U);
        for (std::size_t position = 0; position < size; position += block.size()) {
            if (!socket.send(block)) {
                return false;
            }
            sent += block.size();
        }
        return true;
    });
    TestEntry entry({.upstreams = {upstream.address()}});
    TestSocket caller = entry.connect();
    caller.send(request("GET /large"));
    // The upstream blocks when the socket buffers and the response buffer are full.
    std::size_t before = 1;
    while (before != sent || before == 0) {
        before = sent;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    CHECK(sent < size / 2);
    const TestMessage response = readMessage(caller);
    CHECK(response.complete);
    CHECK(response.body.size() == size);
}

TEST_CASE("an upstream that does not read blocks the caller, and the request is not buffered without limit")
{
    absl::Notification readOn;
    TestSocket listener = TestSocket::listening();
    std::string received;
    std::thread upstream([&] {
        TestSocket socket = listener.accept();
        readOn.WaitForNotification();
        const TestMessage message = readMessage(socket);
        received = message.body;
        socket.send(responseWith("200 OK", "done"));
        socket.readToEnd();
    });
    {
        TestEntry entry(
            {.upstreams = {"127.0.0.1:" + std::to_string(listener.port())}, .limits = {.maxBodyBytes = std::int64_t{1} << 30U}});
        constexpr std::size_t size = std::size_t{64} << 20U;
        std::atomic<std::size_t> sent = 0;
        TestSocket caller = entry.connect();
        std::thread writer([&] {
            caller.send("PUT /large HTTP/1.1\r\nHost: shop\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
            const std::string block = pattern(std::size_t{64} << 10U);
            for (std::size_t position = 0; position < size && caller.send(block); position += block.size()) {
                sent += block.size();
            }
        });
        std::size_t before = 1;
        while (before != sent || before == 0) {
            before = sent;
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        CHECK(sent < size / 2);
        readOn.Notify();
        CHECK(readMessage(caller).body == "done");
        writer.join();
        CHECK(sent == size);
    }
    upstream.join();
    CHECK(received.size() == std::size_t{64} << 20U);
}

TEST_CASE("hop-by-hop headers are not forwarded in either direction")
{
    TestMessage seen;
    TestUpstream upstream([&](const TestMessage &message, TestSocket &socket) {
        seen = message;
        return socket.send(
            responseWith("200 OK", "", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-End: 2\r\n"));
    });
    TestEntry entry({.upstreams = {upstream.address()}});
    const TestMessage response = entry.call(
        request("GET /", "Connection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nX-End: 3\r\nX-Empty:\r\n"));
    CHECK(seen.header("X-End") == "3");
    CHECK(seen.headerLines.find("X-Empty:") != std::string::npos);
    for (const char *name : {"X-Mine", "TE", "Upgrade", "Connection"}) {
        CAPTURE(name);
        CHECK(seen.header(name).empty());
    }
    CHECK(response.header("X-End") == "2");
    CHECK(response.header("X-Hop").empty());
    CHECK(response.header("Keep-Alive").empty());
}

TEST_CASE("a caller can tell that a response was truncated")
{
    struct Case {
        std::string name;
        std::string response;
    };
    const std::string part = pattern(100000);
    const Case cases[] = {
        {"stated length", "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + part},
        {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(part)},
        {"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n" + part},
    };
    for (const Case &row : cases) {
        CAPTURE(row.name);
        TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
            socket.send(row.response);
            return false;
        });
        TestEntry entry({.upstreams = {upstream.address()}});
        const TestMessage response = entry.call(request("GET /"));
        CHECK(response.status() == 200);
        CHECK_FALSE(response.complete);
    }
}

// Guards against a 200 with an empty body, framed as whole, for an upstream that stopped in the middle of the head of its
// response.
TEST_CASE("a response whose head is incomplete when the upstream closes is reported as an error")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 4\r\n\r\n";
    std::atomic<std::size_t> length = 0;
    TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
        socket.send(head.substr(0, length));
        return false;
    });
    TestEntry entry({.upstreams = {upstream.address()}});
    for (length = 1; length < head.size(); ++length) {
        CAPTURE(length.load());
        const TestMessage response = entry.call(request("POST /orders"));
        CHECK(response.status() == 502);
    }
}

// A status that is no HTTP was passed on as an answer.
TEST_CASE("a response whose status is not valid is reported as an error")
{
    for (const std::string &status : TestSupport::invalidStatuses()) {
        CAPTURE(status);
        TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
            socket.send("HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nbody");
            return false;
        });
        TestEntry entry({.upstreams = {upstream.address()}});
        CHECK(entry.call(request("POST /orders")).status() == 502);
    }
}

// A line whose field name is no HTTP was passed on, or hid the length of the body that followed.
TEST_CASE("a response whose head has a line that is not valid is reported as an error")
{
    std::vector<TestSupport::InvalidLine> lines = TestSupport::invalidLines();
    lines.push_back({"blank before the first field", " Own: 1\r\n"});
    for (const TestSupport::InvalidLine &row : lines) {
        CAPTURE(row.name);
        TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
            socket.send("HTTP/1.1 200 OK\r\n" + row.line + row.end);
            return false;
        });
        TestEntry entry({.upstreams = {upstream.address()}});
        CHECK(entry.call(request("POST /orders")).status() == 502);
    }
}

// The part of an early response to a long upload must not look like the whole response.
TEST_CASE("a response without a length that is reset during the upload is not complete")
{
    constexpr int tries = 20;
    constexpr std::size_t uploadBytes = std::size_t{8} << 20U;
    TestSocket listener = TestSocket::listening();
    std::thread upstream([&] {
        for (int count = 0; count < tries; ++count) {
            TestSocket socket = listener.accept();
            socket.readUntil("\r\n\r\n");
            socket.send("HTTP/1.1 200 OK\r\n\r\npart");
            // While this reads, the instance goes on sending.
            socket.readBytes(static_cast<std::size_t>(count % 10) << 16U);
            socket.reset();
        }
    });
    {
        TestEntry entry({.upstreams = {"127.0.0.1:" + std::to_string(listener.port())},
                         .limits = {.maxBodyBytes = std::int64_t{1} << 30U},
                         .retries = {.budgetPercent = 0}});
        for (int count = 0; count < tries; ++count) {
            CAPTURE(count);
            const TestMessage response = entry.call(request("POST /orders", {}, std::string(uploadBytes, 'u')));
            CHECK((response.status() != 200 || !response.complete));
        }
        listener.shutdown();
    }
    upstream.join();
}

// Guards against an instance that keeps all bytes of a faulty upstream until the process runs out of memory. Bodies and chunk
// extensions are not in the table: bodies are passed on while they arrive, extensions are skipped, and both end at the deadline.
TEST_CASE("a response whose head or trailers do not end is rejected within a bounded number of bytes")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Row {
        std::string name;
        std::string start;
        std::string repeated;
    };
    const Row rows[] = {
        {"header fields", head, "Name: value\r\n"},
        {"one header field", head + "Name: ", "value"},
        {"status line", "HTTP/1.1 200 ", "reason"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"empty lines", "", "\r\n"},
        {"no HTTP", "", "nonsense "},
        {"trailers", chunked + "0\r\n", "Trailer: value\r\n"},
        {"one trailer", chunked + "0\r\nTrailer: ", "value"},
    };
    constexpr std::size_t burstBytes = std::size_t{16} << 10U;
    // Head, and what the two sockets hold.
    constexpr std::size_t mostBytes = std::size_t{16} << 20U;
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::atomic<std::size_t> sent = 0;
        TestUpstream upstream([&](const TestMessage &, TestSocket &socket) {
            std::string burst;
            while (burst.size() < burstBytes) {
                burst += row.repeated;
            }
            socket.send(row.start);
            while (sent < mostBytes && socket.send(burst)) {
                sent += burst.size();
            }
            return false;
        });
        TestEntry entry({.upstreams = {upstream.address()}});
        const TestMessage response = entry.call(request("POST /orders"));
        CHECK((response.status() == 502 || !response.complete));
        CHECK(sent < mostBytes);
    }
}

TEST_CASE("the head of a response without a body is forwarded")
{
    TestUpstream upstream([](const TestMessage &message, TestSocket &socket) {
        if (message.startLine.starts_with("HEAD")) {
            return socket.send("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n");
        }
        return socket.send(message.startLine.starts_with("GET /304") ? "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n"
                                                                     : "HTTP/1.1 204 No Content\r\n\r\n");
    });
    TestEntry entry({.upstreams = {upstream.address()}});
    TestSocket caller = entry.connect();
    caller.send(request("HEAD /"));
    CHECK(readMessage(caller, true).header("Content-Length") == "1234");
    caller.send(request("GET /304"));
    const TestMessage notModified = readMessage(caller, true);
    CHECK(notModified.status() == 304);
    CHECK(notModified.header("ETag") == "\"x\"");
    caller.send(request("DELETE /204"));
    CHECK(readMessage(caller, true).status() == 204);
}
