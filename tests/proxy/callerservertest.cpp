#include "proxy/testentry.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

bool echo(const TestMessage &message, TestSocket &socket)
{
    return socket.send(responseWith("200 OK", message.startLine + "|" + message.body, "X-Shop: yes\r\n"));
}

} // namespace

TEST_CASE("a request is forwarded to the upstream and the response to the caller")
{
    TestUpstream upstream(echo);
    TestEntry entry({.upstreams = {upstream.address()}});

    const TestMessage get = entry.call(request("GET /a%2Fb?x=%20y"));
    CHECK(get.status() == 200);
    CHECK(get.header("X-Shop") == "yes");
    CHECK(get.body == "GET /a%2Fb?x=%20y HTTP/1.1|");

    const TestMessage post = entry.call(request("POST /orders", {}, "three shirts"));
    CHECK(post.status() == 200);
    CHECK(post.body == "POST /orders HTTP/1.1|three shirts");
}

TEST_CASE("connections to the caller and to the upstream are reused")
{
    TestUpstream upstream(echo);
    TestEntry entry({.upstreams = {upstream.address()}});
    TestSocket caller = entry.connect();
    for (int round = 0; round < 10; ++round) {
        REQUIRE(caller.send(request("GET /" + std::to_string(round))));
        CHECK(readMessage(caller).body == "GET /" + std::to_string(round) + " HTTP/1.1|");
    }
    CHECK(upstream.requests() == 10);
    CHECK(upstream.connections() == 1);
}

// The workers of libmicrohttpd take the listening socket out of their epoll sets some time after the drain has begun. Closing it
// before aborted the process now and then, and was a data race.
TEST_CASE("a drain refuses connections but leaves the listening socket open until the workers have ended")
{
    const auto listensAt = [](int descriptor, std::uint16_t port) {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        return getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0 && ntohs(address.sin_port) == port;
    };
    const auto isListening = [](int descriptor) {
        int accepts = 0;
        socklen_t size = sizeof(accepts);
        return getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &accepts, &size) == 0 && accepts != 0;
    };
    TestEntry entry({});
    const std::uint16_t port = entry.server->port();
    constexpr int mostDescriptors = 1024;
    int listener = 0;
    while (listener < mostDescriptors && !(isListening(listener) && listensAt(listener, port))) {
        ++listener;
    }
    REQUIRE(listener < mostDescriptors);
    entry.server->drain();
    CHECK(listensAt(listener, port));
    CHECK_FALSE(isListening(listener));
    CHECK_FALSE(entry.connect().valid());
}
