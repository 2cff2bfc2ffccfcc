#include "loadgen/callerrequest.h"
#include "loadgen/loadreport.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Filbertmount;
using namespace Filbertmount::StandIn;

// Guards against a load generator that accepts a truncated response, or the response to another request.
TEST_CASE("load generator recognises complete responses to its own request")
{
    struct Case {
        const char *name;
        std::string body;
        std::size_t bytes;
        bool complete;
    };
    const std::vector<Case> cases{{"complete", "r1 up 0\nxxx\nr1\n", 10, true},
                                  {"tail missing", "r1 up 0\nxxx", 5, false},
                                  {"shorter than requested", "r1 up 0\nxxx\nr1\n", 100, false},
                                  {"other request", "r2 up 0\nxxx\nr2\n", 10, false},
                                  {"id is a prefix of another", "r11 up 0\nxxx\nr11\n", 10, false},
                                  {"empty", "", 0, false}};
    for (const Case &row : cases) {
        CAPTURE(row.name);
        CHECK(isCompleteResponse(row.body, "r1", row.bytes) == row.complete);
    }
}

TEST_CASE("load generator classifies responses by status and run header")
{
    struct Case {
        const char *name;
        ResponseSummary response;
        CallerOutcome outcome;
    };
    const std::vector<Case> cases{
        {"complete response", {true, 200, "", true}, CallerOutcome::Answered},
        {"truncated response without a transfer error", {true, 200, "", false}, CallerOutcome::WrongResponse},
        {"truncated response with a transfer error", {false, 200, "", false}, CallerOutcome::NoResponse},
        {"already run", {true, 409, "ran", false}, CallerOutcome::Answered},
        {"refused", {true, 503, "not-run", false}, CallerOutcome::NotRun},
        {"unknown", {true, 502, "may-have-run", false}, CallerOutcome::MayHaveRun},
        {"upstream error", {true, 500, "", false}, CallerOutcome::ServerError}};
    for (const Case &row : cases) {
        CAPTURE(row.name);
        CHECK(classifyResponse(row.response) == row.outcome);
    }
}

// Guards against a report that hides a violated guarantee: each failing row violates exactly one.
TEST_CASE("load report detects each violated guarantee")
{
    struct Case {
        const char *name;
        CallerOutcome outcome;
        bool alwaysNotRun;
        int runs;
        bool guaranteesHeld;
    };
    const std::vector<Case> cases{{"order run once and answered", CallerOutcome::Answered, false, 1, true},
                                  {"order run twice", CallerOutcome::Answered, false, 2, false},
                                  {"order answered but never run", CallerOutcome::Answered, false, 0, false},
                                  {"answered \"not run\", not run", CallerOutcome::NotRun, true, 0, true},
                                  {"answered \"not run\", but run", CallerOutcome::NotRun, true, 1, false},
                                  {"answered \"may have run\"", CallerOutcome::MayHaveRun, false, 1, true},
                                  {"no response at all", CallerOutcome::NoResponse, false, 1, false},
                                  {"wrong response", CallerOutcome::WrongResponse, false, 1, false}};
    for (const Case &row : cases) {
        CAPTURE(row.name);
        LoadOptions options;
        options.executionLogs = {"log"};
        CallerRequest request;
        request.id = "r1";
        request.order = true;
        request.attempts = 1;
        request.outcome = row.outcome;
        request.alwaysNotRun = row.alwaysNotRun;
        ExecutionCounts counts;
        counts["r1"] = row.runs;
        CHECK(summarizeLoad(options, {request}, counts).guaranteesHeld() == row.guaranteesHeld);
    }
    CHECK_FALSE(summarizeLoad({}, {}, {}).guaranteesHeld());
}
