#include <filbertmount/edge/pullpacing.h>

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
        PullPacing pacing;
        int pulls = 0;
        for (Instant now = Start; now < Start + 4s; now += 10ms) {
            pulls += pacing.take(now) ? 1 : 0;
            if (row.betweenParts > 0ms && (now - Start) % row.betweenParts == 0ms) {
                pacing.notePart(now);
            }
        }
        CHECK(pulls >= 1);
        CHECK(pulls <= row.most);
    }
}

TEST_CASE("pull pacing: the first difference after a complete state is asked for at once")
{
    PullPacing pacing;
    CHECK(pacing.take(Start));
    CHECK_FALSE(pacing.take(Start + 50ms));
    CHECK(pacing.take(Start + 100ms));
    CHECK_FALSE(pacing.take(Start + 250ms));
    pacing.notePart(Start + 260ms);
    pacing.noteComplete();
    CHECK(pacing.take(Start + 270ms));
}

TEST_CASE("pull pacing: a transfer that has stopped is asked for again")
{
    PullPacing pacing;
    CHECK(pacing.take(Start));
    pacing.notePart(Start + 20ms);
    CHECK_FALSE(pacing.take(Start + 300ms));
    CHECK(pacing.take(Start + 20ms + PullPacing::TransferPause));
}
