#include <filbertmount/edge/attemptverdict.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

struct Row {
    AttemptEnd end;
    bool isRepeatable;
    bool mayHaveRun;
    int attempts;
    Duration timeLeft;
    NextStep expected;
};

} // namespace

TEST_CASE("next step: a request that must not be repeated is sent again only while nothing may have run")
{
    const Row rows[] = {
        {AttemptEnd::Answered, false, false, 1, 1s, NextStep::Deliver},
        {AttemptEnd::Failed, false, false, 1, 1s, NextStep::Deliver},
        {AttemptEnd::NotRun, false, false, 1, 1s, NextStep::Retry},
        {AttemptEnd::NotSent, false, false, 1, 1s, NextStep::Retry},
        {AttemptEnd::WrongUpstream, false, false, 1, 1s, NextStep::Retry},
        {AttemptEnd::Broken, false, false, 1, 1s, NextStep::FailMayHaveRun},
        {AttemptEnd::TimedOut, false, false, 1, 1s, NextStep::FailTimedOut},
        {AttemptEnd::NotRun, false, true, 1, 1s, NextStep::FailMayHaveRun},
        {AttemptEnd::NotRun, false, false, 0, 1s, NextStep::RefuseNotRun},
        {AttemptEnd::NotSent, false, false, 1, 5ms, NextStep::RefuseNotRun},
        {AttemptEnd::Failed, true, false, 1, 1s, NextStep::Retry},
        {AttemptEnd::Broken, true, false, 1, 1s, NextStep::Retry},
        {AttemptEnd::Broken, true, true, 1, 1s, NextStep::Retry},
        {AttemptEnd::Broken, true, false, 0, 1s, NextStep::FailMayHaveRun},
        {AttemptEnd::NotRun, true, true, 0, 1s, NextStep::FailMayHaveRun},
        {AttemptEnd::TimedOut, true, false, 1, 1s, NextStep::FailTimedOut},
        {AttemptEnd::Failed, true, false, 0, 1s, NextStep::Deliver},
    };
    for (const Row &row : rows) {
        CAPTURE(attemptEndName(row.end));
        CAPTURE(row.isRepeatable);
        CAPTURE(row.mayHaveRun);
        CAPTURE(row.attempts);
        const RemainingEffort effort{.isRepeatable = row.isRepeatable, .attempts = row.attempts, .timeLeft = row.timeLeft};
        CHECK(nextStep(row.end, effort, row.mayHaveRun) == row.expected);
    }
}

TEST_CASE("next step: 'not run' is never said after an attempt that may have run")
{
    for (const AttemptEnd end : {AttemptEnd::Answered,
                                 AttemptEnd::Failed,
                                 AttemptEnd::NotRun,
                                 AttemptEnd::WrongUpstream,
                                 AttemptEnd::NotSent,
                                 AttemptEnd::Broken,
                                 AttemptEnd::TimedOut}) {
        CAPTURE(attemptEndName(end));
        CHECK(nextStepWithoutRetry(end, true) != NextStep::RefuseNotRun);
        CHECK(nextStep(end, {.isRepeatable = false, .attempts = 3, .timeLeft = 1s}, true) != NextStep::Retry);
    }
}
