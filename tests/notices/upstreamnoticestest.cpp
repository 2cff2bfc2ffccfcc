#include <filbertmount/notices/upstreamnotices.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace Filbertmount;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<ListedInstance> rows(int count, std::uint64_t incarnation = 1)
{
    std::vector<ListedInstance> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        result.push_back({.id = "u" + std::to_string(index), .address = "", .zone = {}, .incarnation = Incarnation(incarnation)});
    }
    return result;
}

UpstreamId upstream(int index)
{
    return UpstreamId("u" + std::to_string(index));
}

PeerNotice notice(int index, UpstreamCondition condition, std::uint64_t sequence, const std::string &origin = "peer")
{
    return {.origin = InstanceId(origin),
            .upstream = upstream(index),
            .incarnation = Incarnation(1),
            .sequence = sequence,
            .condition = condition};
}

int usable(const ServiceNotices &notices, Instant now)
{
    const auto upstreams = notices.trackedUpstreams(now);
    return static_cast<int>(std::count_if(upstreams.begin(), upstreams.end(), [](const TrackedUpstream &status) {
        return status.condition == UpstreamCondition::Live;
    }));
}

TrackedUpstream status(const ServiceNotices &notices, int index, Instant now)
{
    for (TrackedUpstream &tracked : notices.trackedUpstreams(now)) {
        if (tracked.id == upstream(index)) {
            return tracked;
        }
    }
    return {};
}

const Instant Start = Instant{} + seconds(1000);

} // namespace

// Guards against one or several faulty peers that make a service unusable by reporting all its upstreams as draining or down.
TEST_CASE("peers alone never leave less than half of a service usable")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const int size = 1 + static_cast<int>(random() % 12);
        ServiceNotices notices;
        notices.applyListing(rows(size), Start);
        Instant now = Start;
        for (std::uint64_t step = 1; step <= 100; ++step) {
            now += milliseconds(random() % 300);
            const auto condition = random() % 2 == 0 ? UpstreamCondition::Draining : UpstreamCondition::Down;
            const std::string origin = "peer-" + std::to_string(random() % 3);
            notices.applyPeerNotice(
                notice(static_cast<int>(random() % static_cast<std::uint64_t>(size)), condition, step, origin), now);
            REQUIRE(usable(notices, now) * 2 >= size);
        }
    }
}

// Guards against upstreams that really drain but stay in use because their notices concern more than half of the service.
TEST_CASE("a notice that would leave less than half usable needs confirmation by a probe")
{
    ServiceNotices notices;
    notices.applyListing(rows(2), Start);
    notices.applyPeerNotice(notice(0, UpstreamCondition::Draining, 1), Start);
    notices.applyPeerNotice(notice(1, UpstreamCondition::Draining, 2), Start + milliseconds(1));
    const Instant now = Start + milliseconds(2);
    CHECK(status(notices, 0, now).condition == UpstreamCondition::Draining);
    CHECK(status(notices, 1, now).condition == UpstreamCondition::Live);
    CHECK(status(notices, 1, now).needsConfirmation);
    SUBCASE("confirmed")
    {
        CHECK(notices.observe(upstream(1), UpstreamObservation::Draining, now) == UpstreamCondition::Draining);
        // With u1 confirmed, u0 is the last usable upstream and only a peer reports it as draining, so it needs a probe, too.
        CHECK(status(notices, 0, now).condition == UpstreamCondition::Live);
        CHECK(status(notices, 0, now).needsConfirmation);
        notices.observe(upstream(0), UpstreamObservation::Draining, now);
        CHECK(usable(notices, now) == 0);
    }
    SUBCASE("refuted")
    {
        notices.observe(upstream(1), UpstreamObservation::ProbeLive, now);
        CHECK(status(notices, 1, now).condition == UpstreamCondition::Live);
        CHECK_FALSE(status(notices, 1, now).needsConfirmation);
        CHECK(status(notices, 1, now + seconds(2)).needsConfirmation);
        // A live probe at least DrainingRecheck after the notice refutes the notice.
        notices.observe(upstream(0), UpstreamObservation::ProbeLive, now + seconds(11));
        CHECK(status(notices, 0, now + seconds(11)).condition == UpstreamCondition::Live);
    }
}

// Guards against a draining upstream that receives requests again after a single live observation or notice.
TEST_CASE("draining persists until a new incarnation")
{
    ServiceNotices notices;
    notices.applyListing(rows(4), Start);
    notices.observe(upstream(0), UpstreamObservation::Draining, Start);
    notices.applyPeerNotice(notice(1, UpstreamCondition::Draining, 1), Start);
    notices.observe(upstream(0), UpstreamObservation::ProbeLive, Start + seconds(60));
    notices.observe(upstream(1), UpstreamObservation::ProbeLive, Start + seconds(1));
    notices.applyPeerNotice(notice(1, UpstreamCondition::Live, 2), Start + seconds(1));
    notices.applyListing(rows(4), Start + seconds(60));
    CHECK(status(notices, 0, Start + seconds(60)).condition == UpstreamCondition::Draining);
    CHECK(status(notices, 1, Start + seconds(60)).condition == UpstreamCondition::Draining);
    notices.applyListing(rows(4, 2), Start + seconds(61));
    CHECK(usable(notices, Start + seconds(61)) == 4);
    // A late notice about the previous incarnation must not apply to the new one.
    CHECK_FALSE(notices.applyPeerNotice(notice(1, UpstreamCondition::Draining, 9), Start + seconds(62)));
}

// Guards against the effect of old, duplicate and out-of-order notices.
TEST_CASE("notices are applied once and in order")
{
    ServiceNotices notices;
    notices.applyListing(rows(4), Start);
    CHECK(notices.applyPeerNotice(notice(0, UpstreamCondition::Down, 5), Start));
    CHECK_FALSE(notices.applyPeerNotice(notice(0, UpstreamCondition::Down, 5), Start));
    CHECK_FALSE(notices.applyPeerNotice(notice(0, UpstreamCondition::Live, 4), Start));
    CHECK(notices.applyPeerNotice(notice(0, UpstreamCondition::Live, 6), Start));
    CHECK(usable(notices, Start) == 4);
    CHECK_FALSE(notices.applyPeerNotice(notice(9, UpstreamCondition::Down, 7), Start));
    notices.applyPeerNotice(notice(0, UpstreamCondition::Down, 8), Start);
    CHECK(usable(notices, Start) == 3);
    CHECK(usable(notices, Start + ServiceNotices::PeerDownValidity) == 4);
}

TEST_CASE("an upstream that refuses connections is retried after a growing back-off")
{
    ServiceNotices notices;
    notices.applyListing(rows(1), Start);
    Instant now = Start;
    for (const auto expected : {250, 500, 1000, 2000, 4000, 8000, 10000, 10000}) {
        CAPTURE(expected);
        CHECK(notices.observe(upstream(0), UpstreamObservation::ConnectFailed, now) == UpstreamCondition::Down);
        // An own observation applies even to the last usable upstream, and a second failure in the back-off changes nothing.
        CHECK(usable(notices, now) == 0);
        CHECK_FALSE(notices.observe(upstream(0), UpstreamObservation::ConnectFailed, now));
        CHECK(notices.nextChange(now) == now + milliseconds(expected));
        now += milliseconds(expected);
        CHECK(usable(notices, now) == 1);
    }
    CHECK(notices.observe(upstream(0), UpstreamObservation::Responded, now) == UpstreamCondition::Live);
    notices.observe(upstream(0), UpstreamObservation::ConnectFailed, now);
    CHECK(notices.nextChange(now) == now + milliseconds(250));
}

// Guards against a wrong instance list that empties a service, at once or in steps, and a correct one that is ignored.
TEST_CASE("ends of more than half of a service apply only after lists have repeated them for 10 s")
{
    struct Case {
        const char *name;
        int remaining;
        int usableAtOnce;
    };
    const std::vector<Case> cases = {{"half", 5, 5}, {"more than half", 4, 10}, {"all", 0, 10}, {"one", 9, 9}};
    for (const Case &entry : cases) {
        CAPTURE(entry.name);
        ServiceNotices notices;
        notices.applyListing(rows(10), Start);
        notices.applyListing(rows(entry.remaining), Start + seconds(1));
        CHECK(usable(notices, Start + seconds(1)) == entry.usableAtOnce);
        notices.applyListing(rows(entry.remaining), Start + seconds(10));
        CHECK(usable(notices, Start + seconds(10)) == entry.usableAtOnce);
        notices.applyListing(rows(entry.remaining), Start + seconds(11));
        CHECK(usable(notices, Start + seconds(11)) == entry.remaining);
    }
    SUBCASE("in steps")
    {
        ServiceNotices notices;
        notices.applyListing(rows(10), Start);
        notices.applyListing(rows(6), Start + seconds(1));
        notices.applyListing(rows(3), Start + seconds(2));
        CHECK(usable(notices, Start + seconds(2)) == 6);
    }
    SUBCASE("confirmed by a probe, restored by the list")
    {
        ServiceNotices notices;
        notices.applyListing(rows(4), Start);
        notices.applyListing({}, Start + seconds(1));
        CHECK(status(notices, 0, Start + seconds(1)).needsConfirmation);
        notices.observe(upstream(0), UpstreamObservation::ProbeFailed, Start + seconds(1));
        CHECK(usable(notices, Start + seconds(1)) == 3);
        notices.applyListing(rows(4), Start + seconds(5));
        notices.applyListing({}, Start + seconds(12));
        CHECK(usable(notices, Start + seconds(12)) == 4);
    }
}

TEST_CASE("upstream notices are sent to the region once and forwarded once")
{
    const ServiceName service("shopfront");
    UpstreamNotices observer({.self = InstanceId("a")});
    UpstreamNotices receiver({.self = InstanceId("b")});
    observer.setRegionMembers({InstanceId("b"), InstanceId("c")});
    receiver.setRegionMembers({InstanceId("a"), InstanceId("c"), InstanceId("d"), InstanceId("e"), InstanceId("f")});
    observer.applyListing(service, rows(4), Start);
    receiver.applyListing(service, rows(4), Start);
    CHECK(receiver.takeChanges(Start).size() == 1);

    const PeerOutbox sent = observer.observe(service, upstream(2), UpstreamObservation::Draining, Start);
    REQUIRE(sent.size() == 2);
    CHECK(observer.observe(service, upstream(2), UpstreamObservation::Draining, Start).empty());
    Wire::Body body = sent.front().envelope.bodies(0);
    // A notice from a faulty peer that requests many hops is forwarded only once, too.
    body.mutable_upstream_notice()->set_remaining_hops(1000);
    const PeerOutbox forwarded = receiver.receive(body, Start);
    REQUIRE(forwarded.size() == 3);
    CHECK(forwarded.front().envelope.bodies(0).upstream_notice().remaining_hops() == 0);
    CHECK(receiver.receive(body, Start).empty());
    CHECK(receiver.takeChanges(Start).size() == 1);
    CHECK(receiver.takeChanges(Start).empty());
    CHECK(receiver.trackedUpstreams(service, Start)[2].condition == UpstreamCondition::Draining);
    CHECK(observer.receive(body, Start).empty());
}
