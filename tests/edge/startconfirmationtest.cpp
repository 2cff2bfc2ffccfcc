#include <filbertmount/edge/startconfirmation.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(100s)};

} // namespace

// An instance that had just started put a listing of seconds ago in force and answered requests by a replaced version.
TEST_CASE("start confirmation: a state of unknown age is not in force while a current one may be had")
{
    const struct {
        const char *name;
        StateCertainty certainty;
        bool hasListingFailed;
        Duration sinceKnown;
        bool mayUse;
    } rows[] = {
        {"nothing known", StateCertainty::None, true, 1h, false},
        {"confirmed", StateCertainty::Current, false, 0s, true},
        {"old listing", StateCertainty::OldListing, false, 1h, false},
        {"old listing, store away since", StateCertainty::OldListing, true, 1h, false},
        {"state of another instance", StateCertainty::Instance, false, StartConfirmation::MaxWait - 1ms, false},
        {"state of another instance, store away", StateCertainty::Instance, true, 0s, true},
        {"state of another instance, no confirmation to be had",
         StateCertainty::Instance,
         false,
         StartConfirmation::MaxWait,
         true},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        StartConfirmation confirmation;
        confirmation.record(StateKind::Routes, row.certainty, Start);
        if (row.hasListingFailed) {
            confirmation.recordFailedListing();
        }
        CHECK(confirmation.mayUse(StateKind::Routes, Start + row.sinceKnown) == row.mayUse);
        CHECK_FALSE(confirmation.mayUse(StateKind::Upstreams, Start + row.sinceKnown));
    }
}

TEST_CASE("start confirmation: the certainty only rises, and the wait begins with the first state")
{
    StartConfirmation confirmation;
    confirmation.record(StateKind::Routes, StateCertainty::OldListing, Start);
    confirmation.record(StateKind::Routes, StateCertainty::Instance, Start + 2s);
    confirmation.record(StateKind::Routes, StateCertainty::OldListing, Start + 2s);
    CHECK(confirmation.certainty(StateKind::Routes) == StateCertainty::Instance);
    CHECK(confirmation.mayUse(StateKind::Routes, Start + StartConfirmation::MaxWait));
}

TEST_CASE("start confirmation: after a suspension, the state is confirmed again or, if the store is away, used as it is")
{
    for (const bool hasListingFailed : {false, true}) {
        CAPTURE(hasListingFailed);
        StartConfirmation confirmation;
        confirmation.recordFailedListing();
        confirmation.record(StateKind::Routes, StateCertainty::Current, Start);
        confirmation.restart(Start + 10s);
        CHECK_FALSE(confirmation.mayUse(StateKind::Routes, Start + 10s));
        if (hasListingFailed) {
            confirmation.recordFailedListing();
        }
        CHECK(confirmation.mayUse(StateKind::Routes, Start + 11s) == hasListingFailed);
        confirmation.record(StateKind::Routes, StateCertainty::Current, Start + 11s);
        CHECK(confirmation.mayUse(StateKind::Routes, Start + 11s));
    }
}
