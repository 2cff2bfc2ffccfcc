#include "../../bench/allocationcounter.h"
#include "../../bench/busyrouter.h"

#include <doctest/doctest.h>

#include <array>
#include <vector>

using namespace Filbertmount;

TEST_CASE("routing decision allocates no memory, independently of the number of upstreams")
{
    const std::vector<std::optional<ZoneExitOptions>> zoneExits{std::nullopt, ZoneExitOptions{.msPerKilobyte = 0.5}};
    for (const int index : {0, 1, 2, 3, 4, 5, 6, 7}) {
        const int upstreams = std::array{10, 100, 1000, 18000}.at(static_cast<std::size_t>(index % 4));
        const bool isByCost = index >= 4;
        BusyRouter router(upstreams, zoneExits[isByCost ? 1 : 0]);
        const std::uint64_t before = allocationsOfThread;
        for (int round = 0; round < 1000; ++round) {
            router.decide();
        }
        const std::uint64_t after = allocationsOfThread; // INFO allocates.
        INFO("upstreams " << upstreams << ", by cost " << isByCost);
        CHECK(after == before);
    }
}
