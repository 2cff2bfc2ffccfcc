#include "edge/singlelisting.h"

#include "support/loopserver.h"

#include "storeprotocol.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

std::string listing(int version, const std::string &accounts)
{
    const std::string number = std::to_string(version);
    const std::string body = R"({"items":[{"metadata":{"name":"main","revision":)" + number + R"(},"spec":{"version":")" + number
        + R"(","routes":{"columns":[],"rows":[]},"services":{"columns":[],"rows":[]})" + accounts
        + R"(}}],"has_more":false,"store_revision":)" + number + "}";
    return "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// An old configuration accepted a removed key, or answered 404 on an added route, until the digest of a reader arrived.
TEST_CASE("single listing: an old configuration may not be put in force, one that the store has confirmed may")
{
    const std::string accounts = R"(,"tenants":{"columns":["name","api_keys"],"rows":[["a",["k"]]]})";
    const struct {
        const char *name;
        std::string accounts;
        bool mayBeStale;
        bool mayUse;
    } rows[] = {
        {"old, with accounts", accounts, true, false},
        {"old, without accounts", {}, true, false},
        {"current, with accounts", accounts, false, true},
        {"current, without accounts", {}, false, true},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        IoLoop loop{1};
        std::vector<std::string> calls;
        ScriptedServer server(loop, [&](ScriptedPeer &peer) {
            if (peer.received.find("\r\n\r\n") == std::string::npos) {
                return;
            }
            calls.push_back(std::exchange(peer.received, {}));
            const bool mayBeStale = calls.back().find("stale_ok=1") != std::string::npos;
            peer.send(listing(mayBeStale ? 1 : 2, row.accounts));
        });
        StateMirror mirror;
        Metrics metrics;
        SingleListing<Platform::StoreProtocol> routes(loop,
                                                      Platform::StoreProtocol(),
                                                      StateKind::Routes,
                                                      {.store = server.endpoint(), .callTimeout = 500ms},
                                                      mirror,
                                                      metrics,
                                                      [](const MirrorChanges & /*changes*/) {});
        routes.read(row.mayBeStale);
        REQUIRE(runUntil(loop, [&mirror] {
            return mirror.routes() != nullptr;
        }));
        CHECK(mirror.startConfirmation().mayUse(StateKind::Routes, ProcessClock::now()) == row.mayUse);
        CHECK(mirror.routes()->version() == RouteSetVersion(row.mayBeStale ? 1 : 2));
        CHECK(calls.size() == 1);
    }
}

// On a link that takes longer for the state than the time between two digests, each digest started the listing again, so that
// none ever ended.
TEST_CASE("single listing: a listing that takes longer than its timeout ends, also when it is requested again meanwhile")
{
    IoLoop loop{1};
    int calls = 0;
    constexpr std::size_t partBytes = 3000;
    const std::string text = listing(1, R"(,"unused":")" + std::string(10 * partBytes, 'x') + R"(")");
    ScriptedServer server(loop, [&](ScriptedPeer &peer) {
        if (peer.received.find("\r\n\r\n") != std::string::npos) {
            ++calls;
            peer.received.clear();
            sendSlowly(peer.shared_from_this(), text, partBytes, 40ms);
        }
    });
    StateMirror mirror;
    Metrics metrics;
    SingleListing<Platform::StoreProtocol> routes(loop,
                                                  Platform::StoreProtocol(),
                                                  StateKind::Routes,
                                                  {.store = server.endpoint(), .callTimeout = 200ms},
                                                  mirror,
                                                  metrics,
                                                  [](const MirrorChanges & /*changes*/) {});
    routes.read(false);
    const PeriodicTask digests(loop, 50ms, [&] {
        if (!mirror.routes()) {
            routes.read(false);
        }
    });
    CHECK(runUntil(loop, [&] {
        return mirror.routes() != nullptr;
    }));
    CHECK(calls == 1);
}
