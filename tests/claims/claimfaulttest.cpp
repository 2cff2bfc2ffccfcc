#include "support/faults/faultmatrix.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

// The whole matrix with many seeds is scripts/faults; here every third cell runs with one seed.
TEST_CASE("claims keep their invariants under faults")
{
    const std::vector<Cell> cells = claimCells();
    for (std::size_t index = 0; index < cells.size(); index += 3) {
        const CellResult result = cells[index].run(1);
        CHECK_MESSAGE(result.broken.empty(), cells[index].name << ", seed 1: " << result.broken << "\n" << result.trace);
    }
}

// Guards against checks that cannot fail: each breach of a rule must be noticed under some fault.
TEST_CASE("the fault matrix notices broken rules")
{
    struct Case {
        Breach breach;
        Fault fault;
        ClaimStep step;
        const char *broken;
    };
    const Case cases[] = {
        {Breach::UnconditionalStore, Fault::None, ClaimStep::Queued, "ran twice"},
        {Breach::DispatchUnproved, Fault::StoreDown, ClaimStep::Queued, "ran twice"},
        {Breach::DispatchLate, Fault::FreezeLong, ClaimStep::Owned, "ran twice"},
        {Breach::ReleaseBroken, Fault::None, ClaimStep::Queued, "ran twice"},
        {Breach::HideLostAnswer, Fault::None, ClaimStep::Queued, "reported as not run, but ran"},
        {Breach::KeepClaim, Fault::None, ClaimStep::Queued, "is not free"},
        {Breach::ForgetForward, Fault::Freeze, ClaimStep::WriteAcknowledged, "is not free"},
    };
    constexpr std::uint64_t Seeds = 200;
    for (const Case &one : cases) {
        CAPTURE(static_cast<int>(one.breach));
        std::string broken;
        for (std::uint64_t seed = 1; seed <= Seeds && broken.find(one.broken) == std::string::npos; ++seed) {
            broken = runClaimCell(seed, {{.fault = one.fault, .step = one.step}}, one.breach).broken;
        }
        CHECK_MESSAGE(broken.find(one.broken) != std::string::npos, "last: " << broken);
    }
}
