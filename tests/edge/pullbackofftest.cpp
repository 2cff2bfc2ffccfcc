#include <filbertmount/edge/pullbackoff.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(10s)};

} // namespace

// With 1,800 routes and links of 10 Mbit/s, an instance that requested the full set every 100 ms saturated its link: 1.8 GB of
// traffic between zones, and four of five requests failed for 12 s.
TEST_CASE("pull backoff: a slow response is not requested over and over")
{
    struct Row {
        const char *name;
        /** Time between two parts of the response; zero if no part arrives. */
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
                backoff.recordPart(now);
            }
        }
        CHECK(pulls >= 1);
        CHECK(pulls <= row.most);
    }
}

TEST_CASE("pull backoff: the first difference after a complete state is requested at once")
{
    PullBackoff backoff;
    CHECK(backoff.tryPull(Start));
    CHECK_FALSE(backoff.tryPull(Start + 50ms));
    CHECK(backoff.tryPull(Start + 100ms));
    CHECK_FALSE(backoff.tryPull(Start + 250ms));
    backoff.recordPart(Start + 260ms);
    backoff.reset();
    CHECK(backoff.tryPull(Start + 270ms));
}

TEST_CASE("pull backoff: a state whose transfer has stopped is requested again")
{
    PullBackoff backoff;
    CHECK(backoff.tryPull(Start));
    backoff.recordPart(Start + 20ms);
    CHECK_FALSE(backoff.tryPull(Start + 300ms));
    CHECK(backoff.tryPull(Start + 20ms + PullBackoff::TransferTimeout));
}
