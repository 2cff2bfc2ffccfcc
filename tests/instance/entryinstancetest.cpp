// Runs a complete entry instance with all its ports over loopback.
#include "instance/testsettings.h"
#include "proxy/testsocket.h"
#include "proxy/testupstream.h"
#include "support/platform.h"
#include "support/results.h"

#include <filbertmount/document/documentvalue.h>
#include <filbertmount/instance/entryinstance.h>

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

std::string documentText(const std::string &upstream)
{
    return "service = \"shop\"\nteam = \"riga\"\n[upstreams]\naddresses = [\"" + upstream
        + "\"]\nslots = 4\n[[routes]]\nmethod = \"GET\"\npath = \"/**\"\nrepeatable = true\n"
          "[[routes]]\nmethod = \"POST\"\npath = \"/orders\"\n";
}

TestMessage call(std::uint16_t port, const std::string &text)
{
    TestSocket socket = TestSocket::connectTo(port);
    socket.send(text);
    return readMessage(socket);
}

TestMessage get(const EntryInstance &instance)
{
    return call(instance.callerPort(), "GET / HTTP/1.1\r\nHost: shop\r\n\r\n");
}

TestMessage order(const EntryInstance &instance, const std::string &key)
{
    return call(instance.callerPort(),
                "POST /orders HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: " + key + "\r\nContent-Length: 5\r\n\r\nshirt");
}

int readiness(const EntryInstance &instance)
{
    return call(instance.adminPort(), "GET /readyz HTTP/1.1\r\nHost: admin\r\n\r\n").status();
}

template<class Condition>
void waitUntil(Condition condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

} // namespace

TEST_CASE("an instance serves documents from files without a store and without peers")
{
    TestUpstream upstream(always(responseWith("200 OK", "served")));
    const DocumentFile file(documentText(upstream.address()));
    InstanceSettings settings = loopbackSettings();
    settings.documentFiles = {file.path()};
    const auto instance = requireValue([&] {
        return EntryInstance::start(settings);
    });
    CHECK(readiness(*instance) == 200);
    CHECK(get(*instance).body == "served");
    // Without a store, a keyed request cannot be guaranteed to run at most once.
    const TestMessage refused = order(*instance, "a");
    CHECK(refused.status() == 503);
    CHECK(refused.header("Filbertmount-Run") == "not-run");
    CHECK(upstream.requests() == 1);

    instance->announceDrain();
    CHECK(readiness(*instance) == 503);
    CHECK(get(*instance).body == "served");
    instance->drain();
    waitUntil([&] {
        return instance->drained();
    });
}

TEST_CASE("an invalid document file keeps an instance from starting")
{
    const DocumentFile file("service = \"shop\"\n");
    InstanceSettings settings = loopbackSettings();
    settings.documentFiles = {file.path()};
    CHECK_FALSE(static_cast<bool>(checkDocumentFiles(settings)));
    CHECK_FALSE(static_cast<bool>(EntryInstance::start(settings)));
}

TEST_CASE("an instance takes documents from the store and runs keyed orders at most once")
{
    std::atomic<int> orders = 0;
    TestUpstream upstream([&](const TestMessage &message, TestSocket &socket) {
        if (message.startLine.starts_with("POST") && ++orders == 2) {
            return false; // Closes the connection without a response: the outcome of the second order stays unknown.
        }
        return socket.send(responseWith("201 Created", "served"));
    });
    RunningPlatform platform;
    InstanceSettings settings = loopbackSettings();
    settings.store.address = parseEndpoint(platform->address());
    const auto instance = requireValue([&] {
        return EntryInstance::start(settings);
    });
    CHECK(readiness(*instance) == 503);

    const DocumentValue value{.document = documentText(upstream.address()), .team = TeamName("riga")};
    REQUIRE(platform->objects().update("documents/shop", encodeDocumentValue(value), AbsentRevision));
    waitUntil([&] {
        return readiness(*instance) == 200;
    });
    CHECK(get(*instance).body == "served");

    CHECK(order(*instance, "first").status() == 201);
    TestMessage again = order(*instance, "first");
    CHECK(again.status() == 409);
    // The completion is written to the store after the response is sent; until then the outcome is reported as unknown.
    waitUntil([&] {
        again = order(*instance, "first");
        return again.header("Filbertmount-Run") == "ran";
    });
    CHECK(orders == 1);

    CHECK(order(*instance, "second").header("Filbertmount-Run") == "may-have-run");
    CHECK(order(*instance, "second").status() == 409);
    CHECK(orders == 2);

    platform->stop();
    const TestMessage refused = order(*instance, "third");
    CHECK(refused.status() == 503);
    CHECK(refused.header("Filbertmount-Run") == "not-run");
    CHECK(get(*instance).body == "served");
    CHECK(orders == 2);
}
