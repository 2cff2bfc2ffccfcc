#include "store/curlclient.h"

#include "proxy/testupstream.h"
#include "support/invalidheads.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

HttpResponse responseTo(const std::string &text)
{
    TestUpstream server([&](const TestMessage &, TestSocket &socket) {
        socket.send(text);
        return false;
    });
    CurlClient client;
    return client.perform({.method = "GET",
                           .url = "http://" + server.address() + "/objects/a",
                           .timeout = std::chrono::seconds(5),
                           .maxResponseBytes = 1000});
}

} // namespace

// A store in trouble could hide the length of a response, or answer with a status that no caller expects.
TEST_CASE("curl client: a response whose status or head is not valid counts as lost")
{
    for (const std::string &status : TestSupport::invalidStatuses()) {
        CAPTURE(status);
        const HttpResponse response = responseTo("HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nbody");
        CHECK(response.outcome != HttpResponse::Outcome::Complete);
    }
    for (const TestSupport::InvalidLine &row : TestSupport::invalidLines()) {
        CAPTURE(row.name);
        const HttpResponse response = responseTo("HTTP/1.1 200 OK\r\n" + row.line + row.end);
        CHECK(response.outcome != HttpResponse::Outcome::Complete);
    }
    const HttpResponse valid = responseTo("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(valid.outcome == HttpResponse::Outcome::Complete);
    CHECK(valid.body == "body");
}
