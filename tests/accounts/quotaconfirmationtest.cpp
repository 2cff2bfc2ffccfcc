#include <doctest/doctest.h>

#include "support/quotafleet.h"

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The others may have been told by the store that this majority has failed, and would grant the whole quota too.
TEST_CASE("quota election: a majority that misses others grants full limits only for a while without a listing of the store")
{
    struct Row {
        const char *name;
        std::size_t lost;
        Instant confirmedUntil;
        Duration elapsed;
        bool isLeaderLost;
        bool grants;
    };
    const Row rows[] = {
        {"none is missing", 0, Instant(), seconds(30), false, true},
        {"others are missing since a short time", 2, Instant(), seconds(5), false, true},
        {"the leader is missing since a short time", 2, Instant(), seconds(5), true, true},
        {"others are missing for longer", 2, Instant(), seconds(10), false, false},
        {"the leader is missing for longer", 2, Instant(), seconds(10), true, false},
        {"others are missing, with a recent listing", 2, Instant::max(), seconds(30), false, true},
        {"most are missing, with a recent listing", 4, Instant::max(), seconds(10), false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        QuotaFleet fleet(6, {.seed = 3});
        fleet.setConfirmedUntil(row.confirmedUntil);
        fleet.addLoad({.limit = {.ratePerSecond = 60, .burst = 30}, .perSecond = 40});
        fleet.net.runFor(seconds(3));
        CHECK(fleet.countGranting("a") == 1);
        const std::size_t leader = fleet.leader();
        const std::size_t first = row.isLeaderLost ? leader : leader + 1;
        for (std::size_t lost = 0; lost < row.lost; ++lost) {
            fleet.kill((first + lost) % fleet.size());
        }
        fleet.net.runFor(row.elapsed);
        CHECK(fleet.countGranting("a") == (row.grants ? 1 : 0));
    }
}
