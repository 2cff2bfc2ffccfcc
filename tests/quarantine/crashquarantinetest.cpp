#include <filbertmount/quarantine/crashhistorysync.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Filbertmount;

namespace {

const ServiceName Shop("shop");
const UpstreamId First("u1");
const UpstreamId Second("u2");
const InstanceId Peer("entry-1");
const InstanceId OtherPeer("entry-2");

CrashFingerprint fingerprintOf(const std::string &target)
{
    return crashFingerprint("shop.example", "POST", target, "");
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

/** The history of @p quarantine as one message. */
Wire::CrashHistory historyOf(const CrashQuarantine &quarantine, int second)
{
    Wire::CrashHistory message;
    for (const Wire::CrashStrike &strike : quarantine.history(at(second))) {
        *message.add_entries() = strike;
    }
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

// A clearing names its service, so a faulty peer could add clearings of invented services to one request without end.
TEST_CASE("the clearings of a request are bounded")
{
    Fixture fixture;
    std::uint64_t sequence = 0;
    for (int number = 0; number < 1000; ++number) {
        Wire::CrashStrike strike = strikeOf(Peer, First, ++sequence, false);
        strike.set_service("service-" + std::to_string(number));
        Wire::CrashStrike clearing = strike;
        clearing.set_sequence(++sequence);
        clearing.set_cleared(true);
        fixture.quarantine.receive(Peer, strike, at(0));
        fixture.quarantine.receive(Peer, clearing, at(0));
    }
    // Beyond the bound, clearings are ignored and the strikes remain.
    CHECK(fixture.admit(1).ticket.run != 0);
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

// Guards against review/5: each restarted instance ran a crashing request again, because strikes are sent only when they occur.
TEST_CASE("crash history: an instance that starts later refuses what the others have quarantined")
{
    CrashGuard holder(Peer, [](const Wire::Body &) {}, {});
    CrashTicket ticket;
    const auto run = [&](CrashGuard &guard) {
        CrashAdmission result = CrashAdmission::Wait;
        guard.admit(Shop, fingerprintOf("/kill"), [&](CrashAdmission admission, const CrashTicket &granted) {
            result = admission;
            ticket = granted;
        });
        return result;
    };
    for (const UpstreamId &upstream : {First, Second}) {
        REQUIRE(run(holder) == CrashAdmission::Run);
        holder.crashed(ticket, upstream);
    }
    CrashGuard restarted(OtherPeer, [](const Wire::Body &) {}, {});
    const CrashHistorySync holderSync(Peer, holder, 1);
    CrashHistorySync restartedSync(OtherPeer, restarted, 1);
    const std::vector<InstanceId> members{Peer, OtherPeer};

    const std::optional<PeerMessage> pull = restartedSync.tick(members, at(0));
    REQUIRE(pull.has_value());
    CHECK(pull->to == Peer);
    for (const PeerMessage &message : holderSync.onPull(OtherPeer, pull->envelope.bodies(0).crash_history_pull())) {
        restartedSync.onHistory(Peer, message.envelope.bodies(0).crash_history());
    }
    CHECK(run(restarted) == CrashAdmission::Quarantined);
    CHECK(restarted.historyHash() == holder.historyHash());

    // Equal histories cause no further responses, and pulls become rarer.
    CHECK_FALSE(restartedSync.tick(members, at(0) + std::chrono::milliseconds(100)).has_value());
    const std::optional<PeerMessage> second = restartedSync.tick(members, at(1));
    REQUIRE(second.has_value());
    CHECK(holderSync.onPull(OtherPeer, second->envelope.bodies(0).crash_history_pull()).empty());
}

TEST_CASE("crash history: pulls are sent to others only, often at first and then at the interval")
{
    CrashGuard guard(Peer, [](const Wire::Body &) {}, {});
    CrashHistorySync sync(Peer, guard, 7, {.interval = std::chrono::seconds(2), .firstPulls = 3});
    CHECK_FALSE(sync.tick({Peer}, at(0)).has_value());
    int pulls = 0;
    for (int tenth = 0; tenth < 100; ++tenth) {
        const auto pull = sync.tick({Peer, OtherPeer}, at(0) + std::chrono::milliseconds(100 * tenth));
        pulls += pull ? 1 : 0;
        CHECK((!pull || pull->to == OtherPeer));
    }
    // At 0, 0.2, 0.4 s, and then at 2.4, 4.4, 6.4 and 8.4 s.
    CHECK(pulls == 7);
}

TEST_CASE("strikes in the history of a peer")
{
    Fixture holder;
    holder.crashOn(First, 0);
    holder.crashOn(Second, 10);
    CrashQuarantine learner(OtherPeer, {});
    const auto admitted = [&](int second) {
        return learner.admit(RequestId(1), Shop, fingerprintOf("/kill"), at(second)).admission;
    };
    SUBCASE("expire when they expire at the peer")
    {
        CHECK(learner.receiveHistory(Peer, historyOf(holder.quarantine, 300), at(300)) == 2);
        CHECK(admitted(600) == CrashAdmission::Quarantined);
        CHECK(admitted(611) == CrashAdmission::Run);
        CHECK(learner.receiveHistory(Peer, historyOf(holder.quarantine, 605), at(900)) == 0);
    }
    SUBCASE("are applied once, also when the origin's own message arrives later")
    {
        const Wire::CrashStrike direct = holder.quarantine.takeMessages().front();
        CHECK(learner.receiveHistory(Peer, historyOf(holder.quarantine, 20), at(20)) == 2);
        const std::uint64_t hash = learner.historyHash(at(20));
        CHECK(learner.receiveHistory(Peer, historyOf(holder.quarantine, 21), at(21)) == 0);
        learner.receive(InstanceId("entry-0"), direct, at(21));
        CHECK(learner.historyHash(at(21)) == hash);
        CHECK(hash == holder.quarantine.historyHash(at(20)));
    }
    SUBCASE("are ignored if the request has succeeded since")
    {
        learner.succeeded(learner.admit(RequestId(1), Shop, fingerprintOf("/kill"), at(15)).ticket, at(15));
        CHECK(learner.receiveHistory(Peer, historyOf(holder.quarantine, 20), at(20)) == 0);
        CHECK(admitted(21) == CrashAdmission::Run);
    }
    SUBCASE("are ignored if they were cleared since")
    {
        Wire::CrashStrike clearing = strikeOf(Peer, First, 1, false);
        clearing.set_cleared(true);
        learner.receiveHistory(Peer, historyOf(holder.quarantine, 11), at(11));
        learner.receive(Peer, clearing, at(15));
        CHECK(learner.receiveHistory(Peer, historyOf(holder.quarantine, 20), at(20)) == 0);
        CHECK(admitted(21) == CrashAdmission::Run);
    }
    SUBCASE("of invented origins count as those of the peer that reports them, if the request succeeded here before")
    {
        learner.succeeded(learner.admit(RequestId(1), Shop, fingerprintOf("/kill"), at(0)).ticket, at(0));
        Wire::CrashHistory forged;
        *forged.add_entries() = strikeOf(InstanceId("x"), First, 1, false);
        *forged.add_entries() = strikeOf(InstanceId("y"), Second, 1, true);
        *forged.add_entries() = strikeOf(InstanceId("z"), First, 1, true);
        CHECK(learner.receiveHistory(Peer, forged, at(1)) == 3);
        CHECK(admitted(2) == CrashAdmission::Run);
    }
    SUBCASE("are ignored if they are malformed or pretend to come from the receiver")
    {
        Wire::CrashHistory malformed;
        malformed.add_entries();
        *malformed.add_entries() = strikeOf(OtherPeer, First, 1, true);
        *malformed.add_entries() = strikeOf(InstanceId(), First, 1, true);
        malformed.mutable_entries(2)->set_fingerprint("short");
        CHECK(learner.receiveHistory(Peer, malformed, at(1)) == 0);
        CHECK(learner.suspects() == 0);
    }
}

TEST_CASE("the history of the quarantine is bounded and holds the latest crashes")
{
    CrashQuarantine quarantine(InstanceId("entry-0"), {});
    for (int number = 0; number < 1000; ++number) {
        const CrashFingerprint fingerprint = fingerprintOf(std::to_string(number));
        quarantine.crashed({.service = Shop, .fingerprint = fingerprint}, First, at(number / 10));
    }
    const std::vector<Wire::CrashStrike> history = quarantine.history(at(100));
    REQUIRE(history.size() == 512);
    const CrashFingerprint last = fingerprintOf("999");
    CHECK(std::any_of(history.begin(), history.end(), [&last](const Wire::CrashStrike &strike) {
        return strike.fingerprint() == std::string(last.begin(), last.end());
    }));
}
