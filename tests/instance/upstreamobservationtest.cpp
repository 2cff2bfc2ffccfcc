// How an entry instance interprets load reports and handles upstreams that crash.
#include "instance/probetransfer.h"
#include "instance/testsettings.h"
#include "proxy/testsocket.h"
#include "proxy/testupstream.h"
#include "support/results.h"

#include <filbertmount/instance/entryinstance.h>

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
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

// Guards against a request that crashes every upstream that runs it and is resent repeatedly: one instance runs it at most
// twice and keeps serving other requests.
TEST_CASE("a request that crashes two upstreams is refused as not run, others are served")
{
    std::atomic<int> crashes = 0;
    // A crashed upstream refuses every request as not run.
    const auto crashable = [&](const std::shared_ptr<std::atomic<bool>> &crashed) {
        return [&crashes, crashed](const TestMessage &message, TestSocket &socket) {
            if (*crashed) {
                return socket.send(responseWith("503 Service Unavailable", "", "Request-Not-Run: draining\r\n"));
            }
            if (message.startLine.find("/crash") != std::string::npos) {
                ++crashes;
                *crashed = true;
                return false;
            }
            return socket.send(responseWith("200 OK", "fine"));
        };
    };
    std::vector<std::unique_ptr<TestUpstream>> upstreams;
    std::string addresses;
    for (int index = 0; index < 4; ++index) {
        upstreams.push_back(std::make_unique<TestUpstream>(crashable(std::make_shared<std::atomic<bool>>(false))));
        addresses += (index == 0 ? "\"" : ", \"") + upstreams.back()->address() + "\"";
    }
    const DocumentFile file(
        "service = \"shop\"\nteam = \"riga\"\n[upstreams]\naddresses = [" + addresses
        + "]\nslots = 4\n[retries]\nbudget_percent = 100.0\n[[routes]]\nmethod = \"GET\"\npath = \"/**\"\nrepeatable = true\n");
    InstanceSettings settings = loopbackSettings();
    settings.documentFiles = {file.path()};
    const std::unique_ptr<EntryInstance> instance = requireValue([&] {
        return EntryInstance::start(settings);
    });

    TestMessage response;
    for (int resend = 0; resend < 5; ++resend) {
        response = get(*instance, "/crash");
        CHECK(bodyAfterResends(*instance, "/fine") == "fine");
    }
    CHECK(response.status() == 503);
    CHECK(response.header("Filbertmount-Run") == "not-run");
    CHECK(response.body.find("crashed upstreams") != std::string::npos);
    CHECK(crashes == 2);
}
