#include "edge/statefollower.h"

#include "support/loopserver.h"

#include "storeprotocol.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

std::string object(const std::string &id, int revision)
{
    return R"({"metadata":{"name":")" + id + R"(","revision":)" + std::to_string(revision)
        + R"(},"spec":{"address":"10.0.0.9:80","info":{"service":"s","capacity_slots":2}},"status":{"state":"ready"}})";
}

std::string response(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string listing(const std::string &items, int revision, bool hasMore = false)
{
    return response(200,
                    R"({"items":[)" + items + R"(],"has_more":)" + (hasMore ? "true" : "false") + R"(,"store_revision":)"
                        + std::to_string(revision) + "}");
}

/** A follower and a fake store that responds to successive calls from a script, and further calls not at all. */
class Fixture
{
public:
    explicit Fixture(std::vector<std::string> script)
        : m_script(std::move(script))
        , server(loop,
                 [this](ScriptedPeer &peer) {
                     respond(peer);
                 })
        , follower(loop,
                   Platform::StoreProtocol(),
                   StateKind::Upstreams,
                   {.store = server.endpoint(),
                    .watchWait = 200ms,
                    .callTimeout = 100ms,
                    .pauseAfterChanges = 5ms,
                    .firstRetryDelay = 5ms,
                    .maxRetryDelay = 5ms},
                   mirror,
                   metrics,
                   [](StateKind /*kind*/, std::optional<Revision> /*before*/, const MirrorChanges & /*changes*/) {})
    {
    }

    bool runUntilCalls(std::size_t count)
    {
        return runUntil(loop, [&] {
            return calls.size() >= count;
        });
    }

    std::vector<std::string> calls;

private:
    void respond(ScriptedPeer &peer)
    {
        const std::size_t end = peer.received.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        calls.push_back(peer.received.substr(0, peer.received.find(" HTTP/1.1")));
        peer.received.erase(0, end + 4);
        if (calls.size() > m_script.size()) {
            return;
        }
        const std::string &text = m_script[calls.size() - 1];
        if (text == "reset") {
            peer.reset();
        } else {
            peer.send(text);
        }
    }

    std::vector<std::string> m_script;

public:
    IoLoop loop;
    ScriptedServer server;
    StateMirror mirror;
    Metrics metrics;
    StateFollower<Platform::StoreProtocol> follower;
};

} // namespace

TEST_CASE("state follower: reads all pages and watches from the revision of the first one")
{
    Fixture fixture({listing(object("a", 3), 10, true), listing(object("b", 4), 12)});
    fixture.follower.start();
    REQUIRE(fixture.runUntilCalls(3));
    CHECK(fixture.calls[1].find("after=a") != std::string::npos);
    CHECK(fixture.calls[2].find("watch=10") != std::string::npos);
    CHECK(fixture.mirror.upstreams().size() == 2);
}

// Other instances detect a dead reader by missing confirmations of the store. The pause after a change must not make these
// less frequent while many upstreams change in quick succession.
TEST_CASE("state follower: a watch after a pause waits only for the rest of the interval")
{
    const std::string change =
        response(200, R"({"events":[{"deleted":false,"object":)" + object("b", 11) + R"(}],"store_revision":11})");
    Fixture fixture({listing(object("a", 3), 10), change});
    fixture.follower.start();
    REQUIRE(fixture.runUntilCalls(3));
    CHECK(fixture.calls[1].find("wait_ms=200") != std::string::npos);
    CHECK(fixture.calls[2].find("watch=11") != std::string::npos);
    CHECK(fixture.calls[2].find("wait_ms=195") != std::string::npos);
}

// A watch that is repeated from the same revision waits for the next change although the store has compacted the history in
// between. Configurations were then applied too late.
TEST_CASE("state follower: lists again after a watch that was interrupted or refused, or whose history is gone")
{
    for (const std::string &failure : {std::string("reset"),
                                       response(503, "{}"),
                                       response(429, "{}"),
                                       response(410, "{}"),
                                       response(200, "{\"events\":"),
                                       std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"")}) {
        CAPTURE(failure);
        Fixture fixture({listing(object("a", 3), 10), failure, listing(object("a", 3) + "," + object("b", 11), 11)});
        fixture.follower.start();
        REQUIRE(fixture.runUntilCalls(4));
        CHECK(fixture.calls[2].find("watch") == std::string::npos);
        CHECK(fixture.calls[3].find("watch=11") != std::string::npos);
        CHECK(fixture.mirror.upstreams().size() == 2);
    }
}

// The returned store had given out the known number again: the watch succeeded, and what was written before it was never seen.
TEST_CASE("state follower: lists again when a watch is answered in a later era, or when the era changes between two pages")
{
    const auto inEra = [](std::string text, int era) {
        return text.insert(text.find("\r\n") + 2, "Store-Era: " + std::to_string(era) + "\r\n");
    };
    const std::string change =
        response(200, R"({"events":[{"deleted":false,"object":)" + object("c", 11) + R"(}],"store_revision":11})");
    Fixture fixture({inEra(listing(object("a", 3), 10), 1),
                     inEra(change, 2),
                     inEra(listing(object("a", 3), 11, true), 2),
                     inEra(listing(object("z", 3), 9), 3),
                     inEra(listing(object("a", 3) + "," + object("b", 9), 9), 3)});
    fixture.follower.start();
    REQUIRE(fixture.runUntilCalls(6));
    CHECK(fixture.calls[2].find("watch") == std::string::npos);
    CHECK(fixture.calls[4].find("after") == std::string::npos);
    CHECK(fixture.calls[5].find("watch=9") != std::string::npos);
    CHECK(fixture.mirror.revision(StateKind::Upstreams) == Revision(9, StoreEra(3)));
    CHECK(fixture.mirror.knownEra().returns() == 2);
}

TEST_CASE("state follower: a listing whose later page is lost removes nothing")
{
    Fixture fixture(
        {listing(object("a", 3) + "," + object("b", 4), 10), response(410, "{}"), listing(object("a", 3), 12, true), "reset"});
    fixture.follower.start();
    REQUIRE(fixture.runUntilCalls(5));
    CHECK(fixture.mirror.upstreams().size() == 2);
}

TEST_CASE("state follower: a store that stops responding is detected by the timeout of the call")
{
    Fixture fixture({listing(object("a", 3), 10)});
    fixture.follower.start();
    REQUIRE(fixture.runUntilCalls(3));
    CHECK(fixture.calls[1].find("watch") != std::string::npos);
    CHECK(fixture.calls[2].find("watch") == std::string::npos);
}
