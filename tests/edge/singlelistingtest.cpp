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

// After a restart of all instances, a listing some seconds old made them accept a key that had been removed.
TEST_CASE("single listing: an old configuration with accounts is not used but read again")
{
    for (const bool hasAccounts : {true, false}) {
        CAPTURE(hasAccounts);
        const std::string accounts = hasAccounts ? R"(,"tenants":{"columns":["name","api_keys"],"rows":[["a",["k"]]]})" : "";
        IoLoop loop{1};
        std::vector<std::string> calls;
        ScriptedServer server(loop, [&](ScriptedPeer &peer) {
            if (peer.received.find("\r\n\r\n") == std::string::npos) {
                return;
            }
            calls.push_back(std::exchange(peer.received, {}));
            const bool mayBeStale = calls.back().find("stale_ok=1") != std::string::npos;
            peer.send(listing(mayBeStale ? 1 : 2, accounts));
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
        routes.read(true);
        REQUIRE(runUntil(loop, [&mirror] {
            return mirror.routes() != nullptr;
        }));
        CHECK(mirror.routes()->version() == RouteSetVersion(hasAccounts ? 2 : 1));
        CHECK(calls.size() == (hasAccounts ? 2 : 1));
    }
}
