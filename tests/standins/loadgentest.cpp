#include "loadgen/callerrequest.h"
#include "loadgen/loadreport.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Filbertmount;
using namespace Filbertmount::StandIn;

// Guards against a load generator that takes a cut or foreign answer for a good one.
TEST_CASE("load generator recognises whole answers to the own request")
{
    struct Case {
        const char *name;
        std::string body;
        std::size_t bytes;
        bool whole;
    };
    const std::vector<Case> cases{{"whole", "r1 up 0\nxxx\nr1\n", 10, true},
                                  {"tail missing", "r1 up 0\nxxx", 5, false},
                                  {"shorter than asked", "r1 up 0\nxxx\nr1\n", 100, false},
                                  {"other request", "r2 up 0\nxxx\nr2\n", 10, false},
                                  {"id is a prefix of another", "r11 up 0\nxxx\nr11\n", 10, false},
                                  {"empty", "", 0, false}};
    for (const Case &row : cases) {
        CAPTURE(row.name);
        CHECK(isWholeAnswer(row.body, "r1", row.bytes) == row.whole);
    }
}

TEST_CASE("load generator judges answers by status and run header")
{
    struct Case {
        const char *name;
        AnswerSummary answer;
        CallerOutcome outcome;
    };
    const std::vector<Case> cases{{"whole answer", {true, 200, "", true}, CallerOutcome::Answered},
                                  {"cut answer without a sign", {true, 200, "", false}, CallerOutcome::WrongAnswer},
                                  {"cut answer with a sign", {false, 200, "", false}, CallerOutcome::NoAnswer},
                                  {"already run", {true, 409, "ran", false}, CallerOutcome::Answered},
                                  {"refused", {true, 503, "not-run", false}, CallerOutcome::NotRun},
                                  {"unknown", {true, 502, "may-have-run", false}, CallerOutcome::MayHaveRun},
                                  {"upstream error", {true, 500, "", false}, CallerOutcome::ServerError}};
    for (const Case &row : cases) {
        CAPTURE(row.name);
        CHECK(judgeAnswer(row.answer) == row.outcome);
    }
}

// Guards against a report that hides a broken promise: each row breaks exactly one.
TEST_CASE("load report counts each broken promise")
{
    struct Case {
        const char *name;
        CallerOutcome outcome;
        bool alwaysNotRun;
        int runs;
        bool held;
    };
    const std::vector<Case> cases{{"order run once and answered", CallerOutcome::Answered, false, 1, true},
                                  {"order doubled", CallerOutcome::Answered, false, 2, false},
                                  {"order answered but never run", CallerOutcome::Answered, false, 0, false},
                                  {"told not run, not run", CallerOutcome::NotRun, true, 0, true},
                                  {"told not run, but run", CallerOutcome::NotRun, true, 1, false},
                                  {"told it may have run", CallerOutcome::MayHaveRun, false, 1, true},
                                  {"no answer at all", CallerOutcome::NoAnswer, false, 1, false},
                                  {"wrong answer", CallerOutcome::WrongAnswer, false, 1, false}};
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
        CHECK(makeReport(options, {request}, counts).promisesHeld() == row.held);
    }
    CHECK_FALSE(makeReport({}, {}, {}).promisesHeld());
}
