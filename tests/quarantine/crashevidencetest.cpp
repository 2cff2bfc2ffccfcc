#include <filbertmount/quarantine/crashquarantine.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Filbertmount;
using std::chrono::milliseconds;

namespace {

constexpr Instant Start = Instant(std::chrono::seconds(100));

struct Crash {
    const char *service;
    const char *upstream;
    int atMs;
    bool underSuspicion;
};

std::vector<CrashEvidence> strikesOf(const std::vector<Crash> &crashes)
{
    std::vector<CrashEvidence> strikes;
    strikes.reserve(crashes.size());
    for (const Crash &crash : crashes) {
        strikes.push_back({.service = ServiceName(crash.service),
                           .upstream = UpstreamId(crash.upstream),
                           .origin = InstanceId("entry-0"),
                           .reporter = InstanceId("entry-0"),
                           .sequence = strikes.size() + 1,
                           .underSuspicion = crash.underSuspicion,
                           .at = Start + milliseconds(crash.atMs)});
    }
    return strikes;
}

/** The quarantine of one instance, and requests that may go to several services. */
struct Fixture {
    CrashQuarantine quarantine{InstanceId("entry-0"), {}};
    std::uint64_t request = 0;
    Instant now = Start;

    CrashDecision admit(const std::string &service)
    {
        now += std::chrono::seconds(4);
        const CrashFingerprint fingerprint = crashFingerprint("shop.example", "GET", "/kill", "");
        return quarantine.admit(RequestId(++request), ServiceName(service), fingerprint, now);
    }
    CrashAdmission crash(const std::string &service, const std::string &upstream)
    {
        const CrashDecision decision = admit(service);
        if (decision.admission == CrashAdmission::Run) {
            quarantine.crashed(decision.ticket, UpstreamId(upstream), now);
        }
        return decision.admission;
    }
    CrashAdmission succeed(const std::string &service)
    {
        const CrashDecision decision = admit(service);
        if (decision.admission == CrashAdmission::Run) {
            quarantine.succeeded(decision.ticket, now);
        }
        return decision.admission;
    }
};

} // namespace

TEST_CASE("crash evidence: which strikes show that a request crashes upstreams")
{
    struct Row {
        std::string name;
        std::vector<Crash> crashes;
        bool ofService;
        bool ofAll;
    };
    const Row rows[] = {
        {"one crash", {{"a", "u1", 0, false}}, false, false},
        {"two upstreams at the same time", {{"a", "u1", 0, false}, {"a", "u2", 0, false}}, false, false},
        {"two upstreams in sequence", {{"a", "u1", 0, false}, {"a", "u2", 900, true}}, true, false},
        {"one upstream twice", {{"a", "u1", 0, false}, {"a", "u1", 4000, true}}, false, false},
        {"one upstream three times", {{"a", "u1", 0, false}, {"a", "u1", 4000, true}, {"a", "u1", 8000, true}}, true, false},
        {"one upstream three times, unsuspected",
         {{"a", "u1", 0, false}, {"a", "u1", 4000, false}, {"a", "u1", 8000, true}},
         false,
         false},
        {"one crash seen by three runs", {{"a", "u1", 0, true}, {"a", "u1", 300, true}, {"a", "u1", 400, true}}, false, false},
        {"two services in sequence", {{"a", "u1", 0, false}, {"b", "u2", 900, true}}, false, true},
        {"two services at the same time", {{"a", "u1", 0, false}, {"b", "u2", 0, false}}, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CHECK(confirmsCrashesOf(ServiceName("a"), strikesOf(row.crashes)) == row.ofService);
        CHECK(confirmsCrashesOfAll(strikesOf(row.crashes)) == row.ofAll);
        CHECK_FALSE(confirmsCrashesOfAll(withoutPeer(strikesOf(row.crashes), InstanceId("entry-0"))));
    }
}

// A request of a route that is split between services crashed three upstreams of each of them.
TEST_CASE("crash quarantine: a crashing request that goes to several services is refused at all of them")
{
    struct Row {
        std::vector<std::pair<std::string, std::string>> runs;
        std::size_t mostCrashes;
    };
    const Row rows[] = {
        {{{"a", "a1"}, {"b", "b1"}, {"c", "c1"}, {"a", "a2"}, {"b", "b2"}}, 2},
        {{{"a", "a1"}, {"a", "a2"}, {"b", "b1"}, {"c", "c1"}, {"c", "c2"}, {"b", "b2"}}, 3},
        {{{"a", "a1"}, {"a", "a1"}, {"a", "a1"}, {"a", "a1"}, {"a", "a1"}, {"a", "a1"}}, 3},
        {{{"a", "a1"}, {"b", "b1"}, {"a", "a1"}, {"b", "b1"}, {"a", "a1"}, {"b", "b1"}}, 2},
    };
    for (const Row &row : rows) {
        Fixture fixture;
        std::size_t crashes = 0;
        for (const auto &[service, upstream] : row.runs) {
            crashes += fixture.crash(service, upstream) == CrashAdmission::Run ? 1 : 0;
        }
        CHECK(crashes == row.mostCrashes);
    }
}

// Guards against a faulty new version of the software on a part of the upstreams that takes the requests from the other part too.
TEST_CASE("crash quarantine: a request that succeeds at one service is refused only at the others")
{
    Fixture fixture;
    CHECK(fixture.succeed("old") == CrashAdmission::Run);
    CHECK(fixture.crash("new", "n1") == CrashAdmission::Run);
    CHECK(fixture.succeed("old") == CrashAdmission::Run);
    CHECK(fixture.crash("new", "n2") == CrashAdmission::Run);
    CHECK(fixture.crash("new", "n3") == CrashAdmission::Quarantined);
    const CrashDecision first = fixture.admit("old");
    const CrashDecision second = fixture.admit("old");
    CHECK(first.admission == CrashAdmission::Run);
    // Not one at a time: the strikes are those of another service.
    CHECK(second.admission == CrashAdmission::Run);
    CHECK(fixture.quarantine.quarantined(fixture.now) == 1);
}

// Guards against requests that wait for ever because the run that they wait for was at another service.
TEST_CASE("crash quarantine: waiting requests of several services are decided each for its own")
{
    Fixture fixture;
    CHECK(fixture.crash("a", "a1") == CrashAdmission::Run);
    const CrashDecision run = fixture.admit("a");
    REQUIRE(run.admission == CrashAdmission::Run);
    REQUIRE(fixture.admit("a").admission == CrashAdmission::Wait);
    REQUIRE(fixture.admit("b").admission == CrashAdmission::Wait);
    SUBCASE("a crash refuses those of its service, and the next one runs")
    {
        fixture.quarantine.crashed(run.ticket, UpstreamId("a2"), fixture.now);
        const std::vector<CrashDecision> decisions = fixture.quarantine.takeDecisions();
        REQUIRE(decisions.size() == 2);
        CHECK(decisions[0].admission == CrashAdmission::Quarantined);
        CHECK(decisions[1].admission == CrashAdmission::Run);
        CHECK(decisions[1].ticket.service == ServiceName("b"));
        CHECK(decisions[1].ticket.run != 0);
    }
    SUBCASE("a success admits all")
    {
        fixture.quarantine.succeeded(run.ticket, fixture.now);
        const std::vector<CrashDecision> decisions = fixture.quarantine.takeDecisions();
        REQUIRE(decisions.size() == 2);
        CHECK(decisions[0].admission == CrashAdmission::Run);
        CHECK(decisions[1].admission == CrashAdmission::Run);
        CHECK(fixture.quarantine.suspects() == 0);
    }
}
