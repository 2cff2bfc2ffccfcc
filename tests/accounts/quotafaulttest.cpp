// Guards the bound on the requests of an account over all instances against each fault that docs/design/accounts-and-zones.md
// names.
#include <doctest/doctest.h>

#include "support/quotafleet.h"

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Seeds = 200;
// Requests per second, five times the rate of the account.
constexpr double Offered = 300;
constexpr QuotaLimit Large{.ratePerSecond = 60, .burst = 30};

struct Fault {
    const char *name;
    void (*inject)(QuotaFleet &fleet);
    FakeNetworkOptions network = {};
};

const Fault Faults[] = {
    {"no fault", [](QuotaFleet &) {}},
    {"lost and duplicated messages", [](QuotaFleet &) {}, {.loss = 0.1, .duplicate = 0.1, .maxDelay = milliseconds(40)}},
    {"a partition",
     [](QuotaFleet &fleet) {
         fleet.partition(1 + fleet.randomNode() % (fleet.size() - 1));
         fleet.net.at(fleet.net.now() + seconds(6), [&fleet] {
             fleet.heal();
         });
     }},
    {"the owner and its messages are cut off in one direction",
     [](QuotaFleet &fleet) {
         const std::size_t owner = fleet.ownerOf("a");
         for (std::size_t index = 0; index < fleet.size(); ++index) {
             if (index % 2 == 0) {
                 fleet.cut(index, owner);
             }
         }
         fleet.net.at(fleet.net.now() + seconds(5), [&fleet] {
             fleet.heal();
         });
     }},
    {"a suspended owner",
     [](QuotaFleet &fleet) {
         fleet.freeze(fleet.ownerOf("a"), milliseconds(400 + 300 * fleet.randomNode()));
     }},
    {"a suspended leader",
     [](QuotaFleet &fleet) {
         fleet.freeze(fleet.leader(), milliseconds(400 + 300 * fleet.randomNode()));
     }},
    {"suspended holders",
     [](QuotaFleet &fleet) {
         for (int count = 0; count < 4; ++count) {
             fleet.freeze(fleet.randomNode(), milliseconds(100 + 200 * fleet.randomNode()));
         }
     }},
    {"a restart of the owner",
     [](QuotaFleet &fleet) {
         const std::size_t owner = fleet.ownerOf("a");
         fleet.kill(owner);
         fleet.net.at(fleet.net.now() + milliseconds(300), [&fleet, owner] {
             fleet.restart(owner);
         });
     }},
    {"a restart of all instances",
     [](QuotaFleet &fleet) {
         for (std::size_t index = 0; index < fleet.size(); ++index) {
             fleet.kill(index);
             fleet.net.at(fleet.net.now() + milliseconds(100 + 37 * index), [&fleet, index] {
                 fleet.restart(index);
             });
         }
     }},
    {"the end of the owner and of the leader",
     [](QuotaFleet &fleet) {
         const std::size_t leader = fleet.leader();
         fleet.kill(fleet.ownerOf("a"));
         if (fleet.ownerOf("a") != leader) {
             fleet.kill(leader);
         }
     }},
    {"instances that end and return all the time",
     [](QuotaFleet &fleet) {
         for (int step = 0; step < 8; ++step) {
             fleet.net.at(fleet.net.now() + milliseconds(700 * step), [&fleet] {
                 const std::size_t index = fleet.randomNode();
                 fleet.kill(index);
                 fleet.net.at(fleet.net.now() + milliseconds(350), [&fleet, index] {
                     fleet.restart(index);
                 });
             });
         }
     }},
};

} // namespace

TEST_CASE("no window of an account exceeds its bound under faults")
{
    for (const Fault &fault : Faults) {
        CAPTURE(fault.name);
        std::size_t largest = 0;
        std::size_t granted = 0;
        double bound = 0;
        for (int seed = 1; seed <= Seeds; ++seed) {
            FakeNetworkOptions network = fault.network;
            network.seed = static_cast<std::uint64_t>(seed);
            QuotaFleet fleet(9, network);
            // With odd seeds, the account is idle before the fault, so its bucket is full.
            const bool isIdle = seed % 2 != 0;
            fleet.addLoad({.limit = Large, .perSecond = isIdle ? 1.0 : Offered});
            // The phase of the leader's rounds at the time of the fault depends on the seed.
            fleet.net.runFor(seconds(6) + milliseconds(7 * (seed % 50)));
            fault.inject(fleet);
            fleet.net.runFor(milliseconds(isIdle ? 13 * seed : 0));
            fleet.setRate(0, Offered);
            fleet.net.runFor(seconds(10));
            largest = std::max(largest, largestWindow(fleet.tally().granted, fleet.options.window));
            bound = fleet.bound(Large);
            granted += fleet.tally().granted.size();
        }
        MESSAGE(std::string(fault.name), ": largest window ", largest, ", granted per run ", granted / Seeds);
        CHECK(static_cast<double>(largest) <= bound);
        // Guards against a fleet that grants nothing.
        CHECK(granted / Seeds > 500);
    }
}
