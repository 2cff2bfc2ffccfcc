#include "support/faults/faultmatrix.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

// Runs every third cell of the fault matrix with one seed; scripts/faults runs all cells with many seeds.
TEST_CASE("claims, quarantine and documents keep their invariants under faults")
{
    const std::vector<Cell> cells = allCells();
    for (std::size_t index = 0; index < cells.size(); index += 3) {
        const CellResult result = cells[index].run(1);
        CHECK_MESSAGE(result.violation.empty(), cells[index].name << ", seed 1: " << result.violation << "\n" << result.trace);
    }
}

// Guards against checks that cannot fail: each case injects a bug, which must violate an invariant under some fault.
TEST_CASE("the fault matrix detects injected bugs in claims")
{
    struct Case {
        ClaimBug bug;
        Fault fault;
        ClaimStep step;
        const char *violation;
    };
    const Case cases[] = {
        {ClaimBug::UnconditionalStore, Fault::None, ClaimStep::Queued, "ran twice"},
        {ClaimBug::DispatchUnproved, Fault::StoreDown, ClaimStep::Queued, "ran twice"},
        {ClaimBug::DispatchLate, Fault::FreezeLong, ClaimStep::Owned, "ran twice"},
        {ClaimBug::ReleaseWithoutResponse, Fault::None, ClaimStep::Queued, "ran twice"},
        {ClaimBug::HideLostResponse, Fault::None, ClaimStep::Queued, "reported as not run, but ran"},
        {ClaimBug::KeepClaim, Fault::None, ClaimStep::Queued, "is not free"},
        {ClaimBug::IgnoreForward, Fault::Freeze, ClaimStep::WriteAcknowledged, "is not free"},
    };
    constexpr std::uint64_t lastSeed = 200;
    for (const Case &one : cases) {
        CAPTURE(static_cast<int>(one.bug));
        std::string violation;
        for (std::uint64_t seed = 1; seed <= lastSeed && violation.find(one.violation) == std::string::npos; ++seed) {
            violation = runClaimCell(seed, {{.fault = one.fault, .step = one.step}}, one.bug).violation;
        }
        CHECK_MESSAGE(violation.find(one.violation) != std::string::npos, "last: " << violation);
    }
}

TEST_CASE("the fault matrix detects injected bugs in the quarantine")
{
    struct Case {
        QuarantineBug bug;
        QuarantineFault fault;
        const char *violation;
    };
    const Case cases[] = {
        {QuarantineBug::RunQuarantined, QuarantineFault::None, "by instances that knew"},
        {QuarantineBug::IgnorePeers, QuarantineFault::None, "by instances that knew"},
        {QuarantineBug::HideSuccess, QuarantineFault::ConfusedPeer, "was refused"},
    };
    for (const Case &one : cases) {
        CAPTURE(static_cast<int>(one.bug));
        const CellResult result = runQuarantineCell(1, {{.fault = one.fault, .step = QuarantineStep::Broken}}, one.bug);
        CHECK_MESSAGE(result.violation.find(one.violation) != std::string::npos, "violation: " << result.violation);
    }
}

TEST_CASE("the fault matrix detects documents that do not spread or that revert to an old revision")
{
    const CellResult cut = runDocumentCell(1, DocumentFault::CutBoth, DocumentStep::BeforeChange, DocumentBug::KeepCuts);
    CHECK_MESSAGE(cut.violation.find("does not hold revision") != std::string::npos, cut.violation);
    const CellResult lost = runDocumentCell(1, DocumentFault::None, DocumentStep::Pushed, DocumentBug::LoseDocuments);
    CHECK_MESSAGE(lost.violation.find("went back") != std::string::npos, lost.violation);
}

// Guards against a shard that is evicted from the cache while it is listed as active, which makes the next tick throw.
// This happened when a late response from the preferred writer withdrew the claim of the fallback.
TEST_CASE("a late response from the preferred writer leaves no idle shard listed as active")
{
    const InstanceId self("entry-0");
    const InstanceId writer("entry-1");
    ClaimCoordinator coordinator(self, {});
    const auto at = [](int milliseconds) {
        return Instant(std::chrono::milliseconds(milliseconds));
    };
    const auto idOf = [](const std::string &key, std::uint8_t number) {
        ClaimId id{.service = ServiceName("shop"), .key = claimKey(key)};
        id.nonce.fill(number);
        return id;
    };
    // The first claim is not forwarded; the reply to its read sets the estimate of the store's clock.
    coordinator.claim(RequestId(1), idOf("a", 1), std::chrono::hours(24), at(0));
    std::vector<ClaimCommand> commands = coordinator.takeCommands();
    REQUIRE(commands.size() == 1);
    const std::uint64_t read = std::get<ClaimStoreCall>(commands[0]).number;
    coordinator.finishStoreCall(read, {.outcome = StoreOutcome::Unavailable, .time = {1'800'000'000}}, at(1));
    coordinator.tick(at(2000));
    coordinator.takeCommands();

    coordinator.setMembers({writer});
    coordinator.claim(RequestId(2), idOf("b", 2), std::chrono::hours(24), at(2000));
    REQUIRE(std::holds_alternative<ClaimMessage>(coordinator.takeCommands().at(0)));
    // After the timeout the instance reads the shard itself, which fails; then the late response arrives.
    coordinator.tick(at(2100));
    commands = coordinator.takeCommands();
    const std::uint64_t fallback = std::get<ClaimStoreCall>(commands.at(0)).number;
    coordinator.finishStoreCall(fallback, {.outcome = StoreOutcome::Unavailable, .time = {1'800'000'002}}, at(2101));
    Wire::ClaimReply reply;
    const ClaimNonce nonce = idOf("b", 2).nonce;
    reply.mutable_entry()->set_nonce(nonce.data(), nonce.size());
    coordinator.receive(writer, reply, at(2102));
    commands = coordinator.takeCommands();
    REQUIRE(commands.size() == 1);
    CHECK(std::get<ClaimDecided>(commands[0]).result.decision == ClaimDecision::Owned);
    coordinator.tick(at(60'000));
    coordinator.tick(at(62'000));
    CHECK(coordinator.wakeAt() == Instant::max());
}
