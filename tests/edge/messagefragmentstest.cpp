#include "edge/messagefragments.h"
#include "edge/fleet.h"

#include "support/loopserver.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;

namespace {

const InstanceId Sender("sender");

std::string textOf(std::size_t bytes)
{
    std::string text;
    for (std::size_t position = 0; position < bytes; ++position) {
        text.push_back(static_cast<char>('a' + position % 23));
    }
    return text;
}

} // namespace

TEST_CASE("message fragments: an envelope of any allowed size is joined again, in any order and with repetitions")
{
    for (const std::size_t bytes : {std::size_t{1}, MaxFragmentBytes, MaxFragmentBytes + 1, std::size_t{1'000'000}}) {
        CAPTURE(bytes);
        const std::string text = textOf(bytes);
        const std::vector<Wire::Fragment> fragments = fragmentsOf(text, 7);
        FragmentJoiner joiner;
        for (std::size_t index = fragments.size(); index > 1; --index) {
            CHECK(!joiner.add(Sender, fragments[index - 1], Instant()));
            CHECK(!joiner.add(Sender, fragments[index - 1], Instant()));
        }
        CHECK(joiner.add(Sender, fragments[0], Instant()) == text);
        CHECK(joiner.pendingBytes() == 0);
    }
}

// A faulty sender must not make an instance exceed its memory, and a lost fragment must not spoil the next envelope.
TEST_CASE("message fragments: incomplete envelopes take bounded memory and are replaced by later ones")
{
    const std::string text = textOf(900'000);
    const std::vector<Wire::Fragment> first = fragmentsOf(text, 1);
    FragmentJoiner joiner;
    for (int sender = 0; sender < 20; ++sender) {
        for (std::size_t index = 1; index < first.size(); ++index) {
            joiner.add(InstanceId(std::to_string(sender)), first[index], Instant() + std::chrono::seconds(sender));
        }
        CHECK(joiner.pendingBytes() <= FragmentJoiner::MaxPendingBytes);
    }
    const InstanceId last("19");
    std::optional<std::string> joined;
    for (const Wire::Fragment &fragment : fragmentsOf(text, 2)) {
        joined = joiner.add(last, fragment, Instant() + std::chrono::seconds(30));
    }
    CHECK(joined == text);
}

// Fragments without content take no bytes of the limit, but each sender takes an entry.
TEST_CASE("message fragments: any number of senders takes a bounded number of entries")
{
    FragmentJoiner joiner;
    Wire::Fragment fragment;
    fragment.set_count(2);
    for (std::size_t sender = 0; sender < 10 * FragmentJoiner::MaxPendingSenders; ++sender) {
        joiner.add(InstanceId(std::to_string(sender)), fragment, Instant() + std::chrono::seconds(sender));
        CHECK(joiner.pendingSenders() <= FragmentJoiner::MaxPendingSenders);
    }
}

TEST_CASE("message fragments: an invalid fragment is ignored")
{
    struct Row {
        const char *name;
        std::uint32_t index;
        std::uint32_t count;
        std::size_t bytes;
    };
    for (const Row &row : {Row{"no fragments", 0, 0, 1},
                           Row{"index beyond the count", 2, 2, 1},
                           Row{"too many", 0, 100'000, 1},
                           Row{"too long", 0, 2, MaxFragmentBytes + 1}}) {
        CAPTURE(row.name);
        Wire::Fragment fragment;
        fragment.set_index(row.index);
        fragment.set_count(row.count);
        fragment.set_content(std::string(row.bytes, 'x'));
        FragmentJoiner joiner;
        CHECK(!joiner.add(Sender, fragment, Instant()));
        CHECK(joiner.pendingBytes() == 0);
    }
}

// A message that was longer than a datagram was dropped with a counter only.
TEST_CASE("message fragments: a message that is longer than a datagram reaches another instance")
{
    constexpr const char *receiverAddress = "127.0.0.46:17664";
    IoLoop loop;
    Metrics metrics;
    Fleet receiver(
        loop, {.cluster = "fragments", .self = {.id = InstanceId("receiver"), .peerAddress = receiverAddress}}, metrics);
    std::string received;
    receiver.setHandler(Wire::Body::kStatePush, [&](const InstanceId &from, const Wire::Body &body) {
        CHECK(from == Sender);
        received = body.state_push().objects(0).name();
    });
    const std::string name = textOf(100'000);
    Wire::Envelope envelope;
    envelope.add_bodies()->mutable_state_push()->add_objects()->set_name(name);
    PeerSocket socket(loop,
                      {.cluster = "fragments", .self = Sender, .listen = {Asio::ip::make_address("127.0.0.48"), 17664}},
                      metrics,
                      [](std::string_view) {});
    socket.setAddress(InstanceId("receiver"), receiverAddress);
    socket.send(InstanceId("receiver"), std::move(envelope));
    CHECK(runUntil(loop, [&] {
        return received == name;
    }));
}
