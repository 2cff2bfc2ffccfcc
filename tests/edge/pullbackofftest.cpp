#include <filbertmount/edge/pullbackoff.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(10s)};

} // namespace

// Load pattern: a configuration of 1,800 routes in a fleet on links of 10 Mbit/s. An instance asked for all of it every
// 100 ms, which is more than its link carries: 1.8 GB between zones, and four of five requests failed for 12 s.
TEST_CASE("pull pacing: an answer that takes long is not asked for again and again")
{
    struct Row {
        const char *name;
        /** Time between two parts of the answer; none arrives when it is zero. */
        Duration betweenParts;
        int most;
    };
    for (const Row &row : {Row{"nothing arrives", 0ms, 6}, Row{"parts arrive slowly", 300ms, 1}}) {
        CAPTURE(row.name);
        PullBackoff backoff;
        int pulls = 0;
        for (Instant now = Start; now < Start + 4s; now += 10ms) {
            pulls += backoff.tryPull(now) ? 1 : 0;
            if (row.betweenParts > 0ms && (now - Start) % row.betweenParts == 0ms) {
                backoff.notePartReceived(now);
            }
        }
        CHECK(pulls >= 1);
        CHECK(pulls <= row.most);
    }
}

TEST_CASE("pull pacing: the first difference after a complete state is asked for at once")
{
    PullBackoff backoff;
    CHECK(backoff.tryPull(Start));
    CHECK_FALSE(backoff.tryPull(Start + 50ms));
    CHECK(backoff.tryPull(Start + 100ms));
    CHECK_FALSE(backoff.tryPull(Start + 250ms));
    backoff.notePartReceived(Start + 260ms);
    backoff.noteUpToDate();
    CHECK(backoff.tryPull(Start + 270ms));
}

TEST_CASE("pull pacing: a transfer that has stopped is asked for again")
{
    PullBackoff backoff;
    CHECK(backoff.tryPull(Start));
    backoff.notePartReceived(Start + 20ms);
    CHECK_FALSE(backoff.tryPull(Start + 300ms));
    CHECK(backoff.tryPull(Start + 20ms + PullBackoff::TransferTimeout));
}
