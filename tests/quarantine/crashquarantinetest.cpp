#include <filbertmount/quarantine/crashguard.h>

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

const ServiceName Shop("shop");
const UpstreamId First("u1");
const UpstreamId Second("u2");
const InstanceId Peer("entry-1");
const InstanceId OtherPeer("entry-2");

CrashFingerprint fingerprintOf(const std::string &target)
{
    return crashFingerprint(Shop, "POST", target, "");
}

Instant at(int seconds)
{
    return Instant(std::chrono::seconds(seconds));
}

Wire::CrashStrike strikeOf(const InstanceId &origin, const UpstreamId &upstream, std::uint64_t sequence, bool underSuspicion)
{
    Wire::CrashStrike message;
    const CrashFingerprint fingerprint = fingerprintOf("/kill");
    message.set_service(Shop.value());
    message.set_fingerprint(fingerprint.data(), fingerprint.size());
    message.set_upstream(upstream.value());
    message.set_origin(origin.value());
    message.set_sequence(sequence);
    message.set_under_suspicion(underSuspicion);
    return message;
}

/** A quarantine with functions that run attempts of the request "/kill". */
struct Fixture {
    CrashQuarantine quarantine{InstanceId("entry-0"), {}};
    std::uint64_t request = 0;

    CrashDecision admit(int second)
    {
        return quarantine.admit(RequestId(++request), Shop, fingerprintOf("/kill"), at(second));
    }
    /** Requests admission and, when it is granted, crashes @p upstream. */
    CrashAdmission crashOn(const UpstreamId &upstream, int second)
    {
        const CrashDecision decision = admit(second);
        if (decision.admission == CrashAdmission::Run) {
            quarantine.crashed(decision.ticket, upstream, at(second));
        }
        return decision.admission;
    }
};

} // namespace

TEST_CASE("a request that crashes two upstreams in sequence is quarantined for ten minutes")
{
    Fixture fixture;
    CHECK(fixture.crashOn(First, 0) == CrashAdmission::Run);
    CHECK(fixture.crashOn(Second, 1) == CrashAdmission::Run);
    CHECK(fixture.admit(2).admission == CrashAdmission::Quarantined);
    CHECK(fixture.admit(600).admission == CrashAdmission::Quarantined);
    CHECK(fixture.quarantine.admit(RequestId(99), Shop, fingerprintOf("/other"), at(2)).admission == CrashAdmission::Run);
    fixture.quarantine.tick(at(601));
    CHECK(fixture.quarantine.suspects() == 0);
    CHECK(fixture.admit(601).admission == CrashAdmission::Run);
}

// Guards against the quarantine of harmless requests in the loss of a zone, whose upstreams fail during many popular requests.
TEST_CASE("upstreams that crash at the same time do not quarantine the requests that they ran")
{
    Fixture fixture;
    const CrashDecision one = fixture.admit(0);
    const CrashDecision two = fixture.admit(0);
    fixture.quarantine.crashed(one.ticket, First, at(1));
    fixture.quarantine.crashed(two.ticket, Second, at(1));
    const CrashDecision suspect = fixture.admit(2);
    REQUIRE(suspect.admission == CrashAdmission::Run);
    CHECK(fixture.admit(2).admission == CrashAdmission::Wait);
    CHECK(fixture.admit(2).admission == CrashAdmission::Wait);
    fixture.quarantine.takeDecisions();

    SUBCASE("a success admits all waiting requests")
    {
        fixture.quarantine.succeeded(suspect.ticket, at(3));
        const std::vector<CrashDecision> decisions = fixture.quarantine.takeDecisions();
        REQUIRE(decisions.size() == 2);
        CHECK(decisions[1].admission == CrashAdmission::Run);
        CHECK(fixture.quarantine.suspects() == 0);
        CHECK(fixture.quarantine.takeMessages().back().cleared());
    }
    SUBCASE("a timeout admits the next waiting request")
    {
        fixture.quarantine.ended(suspect.ticket, at(3));
        CHECK(fixture.quarantine.takeDecisions().size() == 1);
    }
    SUBCASE("a crash quarantines all waiting requests")
    {
        fixture.quarantine.crashed(suspect.ticket, First, at(3));
        const std::vector<CrashDecision> decisions = fixture.quarantine.takeDecisions();
        REQUIRE(decisions.size() == 2);
        CHECK(decisions[0].admission == CrashAdmission::Quarantined);
        CHECK(decisions[1].admission == CrashAdmission::Quarantined);
    }
}

TEST_CASE("strikes of peers")
{
    Fixture fixture;
    SUBCASE("quarantine a request that this instance has never run")
    {
        fixture.quarantine.receive(Peer, strikeOf(Peer, First, 1, false), at(0));
        fixture.quarantine.receive(Peer, strikeOf(Peer, Second, 2, true), at(1));
        CHECK(fixture.admit(2).admission == CrashAdmission::Quarantined);
    }
    SUBCASE("of a single peer do not quarantine a request that recently succeeded on this instance")
    {
        fixture.quarantine.succeeded(fixture.admit(0).ticket, at(0));
        fixture.quarantine.receive(Peer, strikeOf(Peer, First, 1, false), at(1));
        fixture.quarantine.receive(Peer, strikeOf(Peer, Second, 2, true), at(1));
        const CrashDecision suspect = fixture.admit(2);
        CHECK(suspect.admission == CrashAdmission::Run);
        fixture.quarantine.ended(suspect.ticket, at(2));
        fixture.quarantine.receive(OtherPeer, strikeOf(OtherPeer, Second, 1, true), at(3));
        CHECK(fixture.crashOn(First, 4) == CrashAdmission::Run);
        CHECK(fixture.admit(5).admission == CrashAdmission::Quarantined);
    }
    SUBCASE("are ignored when the sender is not their origin")
    {
        fixture.quarantine.receive(Peer, strikeOf(OtherPeer, First, 1, false), at(0));
        fixture.quarantine.receive(Peer, strikeOf(InstanceId("entry-0"), First, 2, false), at(0));
        CHECK(fixture.quarantine.suspects() == 0);
    }
    SUBCASE("are cleared once by each peer, and late duplicates are ignored")
    {
        Wire::CrashStrike clearing = strikeOf(Peer, First, 5, false);
        clearing.set_cleared(true);
        fixture.quarantine.receive(Peer, strikeOf(Peer, First, 4, false), at(0));
        fixture.quarantine.receive(Peer, clearing, at(1));
        fixture.quarantine.receive(Peer, strikeOf(Peer, First, 4, false), at(1));
        CHECK(fixture.admit(2).ticket.run == 0);
        CHECK(fixture.crashOn(First, 3) == CrashAdmission::Run);
        CHECK(fixture.crashOn(Second, 4) == CrashAdmission::Run);
        clearing.set_sequence(6);
        fixture.quarantine.receive(Peer, clearing, at(5));
        CHECK(fixture.admit(6).admission == CrashAdmission::Quarantined);
    }
}

TEST_CASE("the memory of the quarantine is bounded")
{
    const CrashQuarantineOptions options{.maxSuspects = 100, .maxSuspectsPerPeer = 20, .maxSuccesses = 10, .maxWaiting = 2};
    CrashQuarantine quarantine(InstanceId("entry-0"), options);
    for (std::uint64_t number = 1; number <= 1000; ++number) {
        Wire::CrashStrike message = strikeOf(Peer, First, number, false);
        const CrashFingerprint fingerprint = fingerprintOf(std::to_string(number));
        message.set_fingerprint(fingerprint.data(), fingerprint.size());
        quarantine.receive(Peer, message, at(0));
    }
    CHECK(quarantine.suspects() == 20);
    for (int number = 0; number < 1000; ++number) {
        quarantine.crashed({.service = Shop, .fingerprint = fingerprintOf("own" + std::to_string(number))}, First, at(number));
    }
    CHECK(quarantine.suspects() <= 100);
    const CrashFingerprint last = fingerprintOf("own999");
    CHECK(quarantine.admit(RequestId(1), Shop, last, at(1000)).admission == CrashAdmission::Run);
    CHECK(quarantine.admit(RequestId(2), Shop, last, at(1000)).admission == CrashAdmission::Wait);
    CHECK(quarantine.admit(RequestId(3), Shop, last, at(1000)).admission == CrashAdmission::Wait);
    CHECK(quarantine.admit(RequestId(4), Shop, last, at(1000)).admission == CrashAdmission::Busy);
}

TEST_CASE("crash guard responds to waiting requests and sends strikes to the members")
{
    std::vector<Wire::Body> sent;
    CrashGuard guard(InstanceId("entry-0"),
                     [&sent](const Wire::Body &body) {
                         sent.push_back(body);
                     },
                     {});
    std::vector<CrashTicket> running;
    std::vector<CrashAdmission> admissions;
    const auto admit = [&] {
        return guard.admit(Shop, fingerprintOf("/kill"), [&](CrashAdmission admission, const CrashTicket &ticket) {
            admissions.push_back(admission);
            running.push_back(ticket);
        });
    };
    admit();
    guard.crashed(running.back(), First);
    admit();
    admit();
    const RequestId given = admit();
    CHECK(admissions.size() == 2);
    CHECK(guard.withdraw(given, fingerprintOf("/kill")));
    guard.crashed(running.back(), Second);
    REQUIRE(admissions.size() == 3);
    CHECK(admissions.back() == CrashAdmission::Quarantined);
    CHECK(guard.quarantined() == 1);
    REQUIRE(sent.size() == 2);
    CHECK(sent[1].crash_strike().under_suspicion());
}
