#include <filbertmount/routing/slotclient.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Filbertmount;

namespace {

/** Ticks every 5 ms for @p length and returns the number of reports sent. */
std::ptrdiff_t reportsDuring(SlotClient &client, Instant &now, Duration length)
{
    SlotOutbox outbox;
    SlotDecisions decisions;
    const Instant end = now + length;
    while (now < end) {
        now += std::chrono::milliseconds(5);
        client.tick(now, outbox, decisions);
    }
    return std::count_if(outbox.begin(), outbox.end(), [](const AddressedSlotMessage &sent) {
        return std::holds_alternative<InFlightReport>(sent.message);
    });
}

} // namespace

// Guards against reports of idle services using up the bandwidth budget of a member: 610 idle services sent 19 KB/s.
TEST_CASE("slot client: reports are rare while the service has no requests and at the usual interval otherwise")
{
    UpstreamTable table;
    const std::vector<RoutedUpstream> upstreams{{.id = UpstreamId("u1"), .address = "127.0.0.1:1", .zone = {}, .slots = 2}};
    table.update(upstreams, Instant{});
    SlotClient client(table, {});
    Instant now{};
    SlotOutbox outbox;
    SlotDecisions decisions;
    client.setDispatcher(MemberIndex{1}, now, outbox, decisions);

    CHECK(reportsDuring(client, now, std::chrono::seconds(60)) <= 9);

    client.request({.request = 1, .timeLeft = std::chrono::seconds(100)}, now, outbox, decisions);
    client.handle(MemberIndex{1}, SlotGrant{.request = 1, .upstream = 0, .grant = 1}, now, outbox, decisions);
    REQUIRE(decisions.placements.size() == 1);
    CHECK(reportsDuring(client, now, std::chrono::seconds(10)) >= 19);
}
