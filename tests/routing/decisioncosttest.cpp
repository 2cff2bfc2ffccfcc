#include "../../bench/allocationcounter.h"
#include "../../bench/busyrouter.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

TEST_CASE("routing decision allocates no memory, independently of the number of upstreams")
{
    for (const int upstreams : {10, 100, 1000, 18000}) {
        BusyRouter router(upstreams);
        const std::uint64_t before = allocationsOfThread;
        for (int round = 0; round < 1000; ++round) {
            router.decide();
        }
        INFO("upstreams " << upstreams);
        CHECK(allocationsOfThread == before);
    }
}
