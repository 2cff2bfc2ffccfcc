#include <filbertmount/peer/nngtransport.h>

#include <absl/synchronization/mutex.h>
#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace Filbertmount;

namespace {

/** Collects received envelopes. Waiting is limited to about 30 s, so that a fault fails the test instead of hanging it. */
class Inbox
{
public:
    NngTransport::Receiver receiver()
    {
        return [this](std::string_view bytes) {
            Wire::Envelope envelope;
            REQUIRE(envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
            const absl::MutexLock lock(&m_mutex);
            m_envelopes.push_back(envelope);
            m_bodies += envelope.bodies_size();
        };
    }
    bool waitForBodies(int count)
    {
        // Polls, since the thread sanitizer cannot track a condition that the uninstrumented Abseil library evaluates.
        for (int attempt = 0; attempt < 30000; ++attempt) {
            {
                const absl::MutexLock lock(&m_mutex);
                if (m_bodies >= count) {
                    return true;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }
    std::vector<Wire::Envelope> envelopes()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_envelopes;
    }

private:
    absl::Mutex m_mutex;
    std::vector<Wire::Envelope> m_envelopes;
    int m_bodies = 0;
};

std::unique_ptr<NngTransport> open(const std::string &self, Inbox &inbox, std::size_t queueLimit = 512)
{
    auto transport = NngTransport::listen(
        {.cluster = "riga", .self = InstanceId(self), .listenAddress = "127.0.0.1:0", .queueLimit = queueLimit},
        inbox.receiver());
    REQUIRE(transport);
    return std::move(*transport);
}

PeerMessage ping(const std::string &to, std::uint64_t nonce)
{
    PeerMessage message{.to = InstanceId(to), .address = {}, .envelope = {}};
    message.envelope.add_bodies()->mutable_ping()->set_nonce(nonce);
    return message;
}

} // namespace

TEST_CASE("nng transport sends to an address and to an instance with a set address")
{
    Inbox inboxA;
    Inbox inboxB;
    const auto a = open("a", inboxA);
    const auto b = open("b", inboxB);

    PeerMessage join = ping("", 1);
    join.address = b->address();
    a->send(std::move(join));
    REQUIRE(inboxB.waitForBodies(1));
    CHECK(inboxB.envelopes().front().from() == "a");
    CHECK(inboxB.envelopes().front().cluster() == "riga");

    b->setAddress(InstanceId("a"), a->address());
    b->send(ping("a", 2));
    REQUIRE(inboxA.waitForBodies(1));
    CHECK(inboxA.envelopes().front().bodies(0).ping().nonce() == 2);
    CHECK(b->counts().bytes > 0);
}

// Guards against one packet per small message under load.
TEST_CASE("nng transport batches messages that wait for the same peer")
{
    Inbox inboxA;
    Inbox inboxB;
    const auto a = open("a", inboxA);
    const auto b = open("b", inboxB);
    a->setAddress(InstanceId("b"), b->address());
    constexpr int count = 200;
    // Messages are queued while the connection is being established, so that they are batched.
    for (int index = 0; index < count; ++index) {
        a->send(ping("b", static_cast<std::uint64_t>(index)));
    }
    REQUIRE(inboxB.waitForBodies(count));
    CHECK(inboxB.envelopes().size() < count);
    CHECK(a->counts().dropped == 0);
}

// Guards against unbounded memory while a peer is unreachable.
TEST_CASE("nng transport drops and counts messages that exceed the queue or have no address")
{
    Inbox inbox;
    const auto a = open("a", inbox, 10);
    a->send(ping("unknown", 1));
    CHECK(a->counts().dropped == 1);

    std::string closedAddress;
    {
        const auto gone = open("gone", inbox);
        closedAddress = gone->address();
    }
    a->setAddress(InstanceId("gone"), closedAddress);
    for (int index = 0; index < 100; ++index) {
        a->send(ping("gone", 1));
    }
    // One message may be in the send operation and ten in the queue.
    CHECK(a->counts().dropped >= 1 + 100 - 11);
    a->removePeer(InstanceId("gone"));
    a->send(ping("gone", 1));
    CHECK(a->counts().dropped >= 1 + 100 - 11 + 1);
}

TEST_CASE("nng transport reports an address that cannot be listened on")
{
    Inbox inbox;
    const auto first = open("a", inbox);
    const std::string reason = boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(NngTransport::listen({.cluster = "riga", .self = InstanceId("b"), .listenAddress = first->address()},
                                                  inbox.receiver()));
            return std::string();
        },
        [](const Failure &failure) {
            return describe(failure);
        },
        [] {
            return std::string();
        });
    CHECK(reason.find("peer-receive: " + first->address()) == 0);
}
