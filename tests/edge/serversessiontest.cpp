#include "edge/listener.h"

#include "support/loopserver.h"

#include <boost/asio/connect.hpp>
#include <doctest/doctest.h>

#include <map>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

/** Keeps requests until the test responds to them. */
class HoldingHandler : public RequestHandler
{
public:
    class Held : public ActiveRequest
    {
    public:
        void abandon() override
        {
            isAbandoned = true;
        }
        void endIfWaiting() override
        {
            wasToldToEnd = true;
        }
        bool isAbandoned = false;
        bool wasToldToEnd = false;
    };

    std::shared_ptr<ActiveRequest> handle(ServerRequest request, ResponseHandler respond) override
    {
        targets.push_back(request.target);
        bodies.push_back(request.body);
        responseHandlers[request.target] = std::move(respond);
        held.push_back(std::make_shared<Held>());
        return held.back();
    }
    CallerLimits limits() const override
    {
        return callerLimits;
    }
    bool isDraining() const override
    {
        return draining;
    }
    void onInvalidRequest(const std::string & /*client*/, int status, const std::string & /*reason*/) override
    {
        refused.push_back(status);
    }

    void respond(const std::string &target)
    {
        responseHandlers.at(target)({.status = 200, .body = "for " + target});
    }

    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    std::map<std::string, ResponseHandler> responseHandlers;
    std::vector<std::shared_ptr<Held>> held;
    std::vector<int> refused;
    CallerLimits callerLimits{.maxHeaderBytes = 1000, .maxBodyBytes = 100, .headerTimeout = 150ms, .idleTimeout = 5s};
    bool draining = false;
};

/** A listener and a client that is connected to it over a real socket. */
struct Fixture {
    Fixture()
        : listener(loop, Tcp::endpoint(Asio::ip::address_v4::loopback(), port()), handler, 16)
        , client(std::make_shared<ScriptedPeer>(Tcp::socket(loop), [](ScriptedPeer &) {}))
    {
        client->socket.connect(Tcp::endpoint(Asio::ip::address_v4::loopback(), m_port));
        client->read();
    }

    std::uint16_t port()
    {
        const Tcp::acceptor acceptor(loop, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
        m_port = acceptor.local_endpoint().port();
        return m_port;
    }

    bool waitForRequests(std::size_t count)
    {
        return runUntil(loop, [&] {
            return handler.targets.size() >= count;
        });
    }

    bool waitForText(const std::string &text)
    {
        return runUntil(loop, [&] {
            return client->received.find(text) != std::string::npos;
        });
    }

    bool waitForClose()
    {
        return runUntil(loop, [&] {
            return client->isClosedByClient;
        });
    }

    IoLoop loop;
    HoldingHandler handler;
    std::uint16_t m_port = 0;
    Listener listener;
    std::shared_ptr<ScriptedPeer> client;
};

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

} // namespace

TEST_CASE("server session: pipelined requests are handled concurrently and answered in order")
{
    Fixture fixture;
    fixture.client->send(get("/1") + get("/2") + get("/3"));
    REQUIRE(fixture.waitForRequests(3));
    fixture.handler.respond("/3");
    fixture.handler.respond("/2");
    fixture.handler.respond("/1");
    REQUIRE(fixture.waitForText("for /3"));
    const std::string &text = fixture.client->received;
    CHECK(text.find("for /1") < text.find("for /2"));
    CHECK(text.find("for /2") < text.find("for /3"));
}

TEST_CASE("server session: an unsafe request waits for earlier requests, and later requests wait for it")
{
    Fixture fixture;
    fixture.client->send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy" + get("/3"));
    REQUIRE(fixture.waitForRequests(1));
    CHECK(fixture.handler.targets.size() == 1);
    fixture.handler.respond("/1");
    REQUIRE(fixture.waitForRequests(2));
    CHECK(fixture.handler.targets.size() == 2);
    CHECK(fixture.handler.bodies[1] == "xy");
    fixture.handler.respond("/2");
    REQUIRE(fixture.waitForRequests(3));
}

TEST_CASE("server session: a caller that disconnects is detected while its requests are in progress")
{
    Fixture fixture;
    fixture.client->send(get("/1") + get("/2"));
    REQUIRE(fixture.waitForRequests(2));
    fixture.client->close();
    CHECK(runUntil(fixture.loop, [&] {
        return fixture.handler.held[0]->isAbandoned && fixture.handler.held[1]->isAbandoned;
    }));
}

TEST_CASE("server session: an invalid request is refused and reaches no handler")
{
    struct Row {
        const char *name;
        std::string text;
        int status;
    };
    const Row rows[] = {
        {"two lengths", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400},
        {"length and chunks",
         "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         400},
        {"bare line feeds", "GET /1 HTTP/1.1\nHost: h\n\n", 400},
        {"no host", "GET /1 HTTP/1.1\r\n\r\n", 400},
        {"absolute target", "GET http://h/1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
        {"other coding", "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
        {"space before the colon", "GET /1 HTTP/1.1\r\nHost : h\r\n\r\n", 400},
        {"nonsense", "\x16\x03\x01\r\n\r\n", 400},
        {"long header", "GET /1 HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", 431},
        {"long body", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Fixture fixture;
        fixture.client->send(row.text + get("/smuggled"));
        CHECK(fixture.waitForText("HTTP/1.1 " + std::to_string(row.status)));
        CHECK(fixture.waitForClose());
        CHECK(fixture.handler.targets.empty());
    }
}

TEST_CASE("server session: a request that is not sent in time gets 408")
{
    Fixture fixture;
    fixture.client->send("GET /1 HTTP/1.1\r\nHo");
    CHECK(fixture.waitForText("HTTP/1.1 408"));
    CHECK(fixture.handler.targets.empty());
}

// The limit on the time for a header ended each body that takes longer over a slow link.
TEST_CASE("server session: a body may take longer than the limit for the header while it arrives")
{
    const struct {
        const char *name;
        std::size_t partBytes;
        Duration pause;
        bool isServed;
    } rows[] = {
        {"a long body over a slow link", 8000, 100ms, true},
        {"a few bytes at a time", 10, 100ms, false},
        {"long pauses", 8000, 1200ms, false},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        Fixture fixture;
        fixture.handler.callerLimits.maxBodyBytes = 100'000;
        fixture.handler.callerLimits.headerTimeout = 500ms;
        const std::size_t bytes = 12 * row.partBytes;
        fixture.client->send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n");
        sendSlowly(fixture.client, std::string(bytes, 'x'), row.partBytes, row.pause);
        if (row.isServed) {
            CHECK(runUntil(fixture.loop, [&] {
                return fixture.handler.targets.size() == 1;
            }));
        } else {
            CHECK(fixture.waitForText("HTTP/1.1 408"));
            CHECK(fixture.handler.targets.empty());
        }
    }
}

TEST_CASE("server session: while draining, started requests are answered before the connection is closed")
{
    Fixture fixture;
    fixture.client->send(get("/1") + get("/2"));
    REQUIRE(fixture.waitForRequests(2));
    fixture.handler.draining = true;
    fixture.handler.respond("/1");
    fixture.handler.respond("/2");
    REQUIRE(fixture.waitForClose());
    const std::string &text = fixture.client->received;
    CHECK(text.find("for /1") != std::string::npos);
    CHECK(text.find("for /2") != std::string::npos);
    CHECK(text.find("Connection: close") > text.find("for /1"));
}

TEST_CASE("listener: closed connections do not count against the limit")
{
    Fixture fixture;
    for (int connection = 0; connection < 50; ++connection) {
        auto client = std::make_shared<ScriptedPeer>(Tcp::socket(fixture.loop), [](ScriptedPeer &) {});
        client->socket.connect(Tcp::endpoint(Asio::ip::address_v4::loopback(), fixture.m_port));
        client->read();
        const std::string target = "/" + std::to_string(connection);
        client->send(get(target));
        REQUIRE(fixture.waitForRequests(static_cast<std::size_t>(connection) + 1));
        fixture.handler.respond(target);
        client->close();
    }
}
