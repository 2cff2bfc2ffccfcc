#include "proxy/testentry.h"

#include <doctest/doctest.h>

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
