// How an entry instance interprets load reports and handles upstreams that crash.
#include "instance/probetransfer.h"
#include "instance/testsettings.h"
#include "proxy/testsocket.h"
#include "proxy/testupstream.h"
#include "support/results.h"

#include <filbertmount/instance/entryinstance.h>
#include <filbertmount/telemetry/log.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

TestMessage get(const EntryInstance &instance, const std::string &path)
{
    TestSocket socket = TestSocket::connectTo(instance.callerPort());
    socket.send("GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n");
    return readMessage(socket);
}

/** Sends a request like a caller that resends after a "not-run" response, up to five attempts in all. */
std::string bodyAfterResends(const EntryInstance &instance, const std::string &path)
{
    TestMessage response;
    for (int attempt = 0; attempt < 5; ++attempt) {
        response = get(instance, path);
        if (response.header("Filbertmount-Run") != "not-run") {
            break;
        }
    }
    return response.body;
}

} // namespace

// Guards against a probe that accepts an error page or a report of an unknown format as proof that the upstream is live.
TEST_CASE("a probe accepts only a complete load report")
{
    struct Case {
        int status;
        std::string body;
        UpstreamObservation observation;
    };
    const std::vector<Case> cases{{200, R"({"slots":2,"in_flight":1,"state":"live"})", UpstreamObservation::ProbeLive},
                                  {200, R"({"state":"starting"})", UpstreamObservation::ProbeLive},
                                  {200, R"({"state":"draining"})", UpstreamObservation::Draining},
                                  {200, R"({"state":"happy"})", UpstreamObservation::ProbeFailed},
                                  {200, R"({"state":7})", UpstreamObservation::ProbeFailed},
                                  {200, R"({"slots":2})", UpstreamObservation::ProbeFailed},
                                  {200, "[]", UpstreamObservation::ProbeFailed},
                                  {200, "<html>", UpstreamObservation::ProbeFailed},
                                  {200, "", UpstreamObservation::ProbeFailed},
                                  {503, R"({"state":"live"})", UpstreamObservation::ProbeFailed}};
    for (const Case &row : cases) {
        CAPTURE(row.status);
        CAPTURE(row.body);
        CHECK(observationFromLoadReport(row.status, row.body) == row.observation);
    }
}

namespace {

/** Four upstreams of the service "shop", each of which crashes when it gets /crash and then refuses every request as not run. */
class CrashableUpstreams
{
public:
    CrashableUpstreams()
    {
        for (int index = 0; index < 4; ++index) {
            m_upstreams.push_back(std::make_unique<TestUpstream>(script(std::make_shared<std::atomic<bool>>(false))));
        }
    }

    [[nodiscard]] std::string document() const
    {
        std::string addresses;
        for (const auto &upstream : m_upstreams) {
            addresses += (addresses.empty() ? "\"" : ", \"") + upstream->address() + "\"";
        }
        return "service = \"shop\"\nteam = \"riga\"\n[upstreams]\naddresses = [" + addresses
            + "]\nslots = 4\n[retries]\nbudget_percent = 100.0\n"
              "[[routes]]\nmethod = \"GET\"\npath = \"/**\"\nrepeatable = true\n";
    }

    [[nodiscard]] int crashes() const
    {
        return m_crashes;
    }

private:
    TestUpstream::Script script(std::shared_ptr<std::atomic<bool>> crashed)
    {
        return [this, crashed = std::move(crashed)](const TestMessage &message, TestSocket &socket) {
            if (*crashed) {
                return socket.send(responseWith("503 Service Unavailable", "", "Request-Not-Run: draining\r\n"));
            }
            if (message.startLine.find("/crash") != std::string::npos) {
                ++m_crashes;
                *crashed = true;
                return false;
            }
            return socket.send(responseWith("200 OK", "fine"));
        };
    }

    std::atomic<int> m_crashes = 0;
    std::vector<std::unique_ptr<TestUpstream>> m_upstreams;
};

std::unique_ptr<EntryInstance> startInstance(const InstanceSettings &settings)
{
    return requireValue([&] {
        return EntryInstance::start(settings);
    });
}

bool wasLogged(const LogCapture &capture, const std::string &message)
{
    const std::vector<std::string> lines = capture.lines();
    return std::any_of(lines.begin(), lines.end(), [&message](const std::string &line) {
        return line.find(message) != std::string::npos;
    });
}

} // namespace

// Guards against a request that crashes every upstream that runs it and is resent repeatedly: one instance runs it at most
// twice and keeps serving other requests.
TEST_CASE("a request that crashes two upstreams is refused as not run, others are served")
{
    const CrashableUpstreams upstreams;
    const DocumentFile file(upstreams.document());
    InstanceSettings settings = loopbackSettings();
    settings.documentFiles = {file.path()};
    const std::unique_ptr<EntryInstance> instance = startInstance(settings);

    TestMessage response;
    for (int resend = 0; resend < 5; ++resend) {
        response = get(*instance, "/crash");
        CHECK(bodyAfterResends(*instance, "/fine") == "fine");
    }
    CHECK(response.status() == 503);
    CHECK(response.header("Filbertmount-Run") == "not-run");
    CHECK(response.body.find("crashed upstreams") != std::string::npos);
    CHECK(upstreams.crashes() == 2);
}

// Guards against review/5: an instance that started after the crashes ran the request again.
TEST_CASE("a request that crashed two upstreams is refused by an instance that starts later")
{
    const CrashableUpstreams upstreams;
    const DocumentFile file(upstreams.document());
    InstanceSettings settings = loopbackSettings();
    settings.documentFiles = {file.path()};
    settings.addresses.peers = {.ip = "127.0.0.61", .port = 17662};
    const std::unique_ptr<EntryInstance> first = startInstance(settings);
    for (int resend = 0; resend < 3; ++resend) {
        get(*first, "/crash");
    }
    REQUIRE(upstreams.crashes() == 2);

    const LogCapture capture;
    settings.identity.id = InstanceId("entry-2");
    settings.addresses.peers = {.ip = "127.0.0.62", .port = 17662};
    settings.peers.addresses = {{.ip = "127.0.0.61", .port = 17662}};
    const std::unique_ptr<EntryInstance> second = startInstance(settings);
    constexpr int maxWaits = 100;
    for (int wait = 0; wait < maxWaits && !wasLogged(capture, "learned of crashes"); ++wait) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    const TestMessage response = get(*second, "/crash");
    CHECK(response.status() == 503);
    CHECK(response.header("Filbertmount-Run") == "not-run");
    CHECK(upstreams.crashes() == 2);
    CHECK(bodyAfterResends(*second, "/fine") == "fine");
}
