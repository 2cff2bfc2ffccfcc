#include <filbertmount/edge/attemptdecision.h>

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
    AttemptDecision expected;
};

} // namespace

TEST_CASE("attempt decision: an unrepeatable request is retried only while no attempt may have run it")
{
    const Row rows[] = {
        {AttemptEnd::Responded, false, false, 1, 1s, AttemptDecision::Deliver},
        {AttemptEnd::Failed, false, false, 1, 1s, AttemptDecision::Deliver},
        {AttemptEnd::NotRun, false, false, 1, 1s, AttemptDecision::Retry},
        {AttemptEnd::NotSent, false, false, 1, 1s, AttemptDecision::Retry},
        {AttemptEnd::WrongUpstream, false, false, 1, 1s, AttemptDecision::Retry},
        {AttemptEnd::Broken, false, false, 1, 1s, AttemptDecision::FailMayHaveRun},
        {AttemptEnd::TimedOut, false, false, 1, 1s, AttemptDecision::FailTimedOut},
        {AttemptEnd::NotRun, false, true, 1, 1s, AttemptDecision::FailMayHaveRun},
        {AttemptEnd::NotRun, false, false, 0, 1s, AttemptDecision::RefuseNotRun},
        {AttemptEnd::NotSent, false, false, 1, 5ms, AttemptDecision::RefuseNotRun},
        {AttemptEnd::Failed, true, false, 1, 1s, AttemptDecision::Retry},
        {AttemptEnd::Broken, true, false, 1, 1s, AttemptDecision::Retry},
        {AttemptEnd::Broken, true, true, 1, 1s, AttemptDecision::Retry},
        {AttemptEnd::Broken, true, false, 0, 1s, AttemptDecision::FailMayHaveRun},
        {AttemptEnd::NotRun, true, true, 0, 1s, AttemptDecision::FailMayHaveRun},
        {AttemptEnd::TimedOut, true, false, 1, 1s, AttemptDecision::FailTimedOut},
        {AttemptEnd::Failed, true, false, 0, 1s, AttemptDecision::Deliver},
    };
    for (const Row &row : rows) {
        CAPTURE(attemptEndName(row.end));
        CAPTURE(row.isRepeatable);
        CAPTURE(row.mayHaveRun);
        CAPTURE(row.attempts);
        const RetryAllowance allowance{.isRepeatable = row.isRepeatable, .attempts = row.attempts, .timeLeft = row.timeLeft};
        CHECK(decideAfterAttempt(row.end, allowance, row.mayHaveRun) == row.expected);
    }
}

TEST_CASE("attempt decision: 'not run' is never reported after an attempt that may have run")
{
    for (const AttemptEnd end : {AttemptEnd::Responded,
                                 AttemptEnd::Failed,
                                 AttemptEnd::NotRun,
                                 AttemptEnd::WrongUpstream,
                                 AttemptEnd::NotSent,
                                 AttemptEnd::Broken,
                                 AttemptEnd::TimedOut}) {
        CAPTURE(attemptEndName(end));
        CHECK(decideWithoutRetry(end, true) != AttemptDecision::RefuseNotRun);
        CHECK(decideAfterAttempt(end, {.isRepeatable = false, .attempts = 3, .timeLeft = 1s}, true) != AttemptDecision::Retry);
    }
}
