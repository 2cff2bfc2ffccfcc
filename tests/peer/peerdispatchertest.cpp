#include <filbertmount/peer/peerdispatcher.h>

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace Filbertmount;

namespace {

std::string encodedPing(const std::string &cluster, const std::string &from)
{
    Wire::Envelope envelope;
    envelope.set_cluster(cluster);
    envelope.set_from(from);
    envelope.add_bodies()->mutable_ping()->set_nonce(7);
    return envelope.SerializeAsString();
}

} // namespace

// Guards against a malformed message or one of another cluster reaching a handler.
TEST_CASE("peer dispatcher passes on only valid envelopes of its cluster")
{
    struct Case {
        const char *name;
        std::string bytes;
        PeerReceiveCounts expected;
    };
    const std::string valid = encodedPing("riga", "a");
    const std::vector<Case> cases = {
        {"valid", valid, {.accepted = 1}},
        {"other cluster", encodedPing("erciyes", "a"), {.wrongCluster = 1}},
        {"no sender", encodedPing("riga", ""), {.malformed = 1}},
        {"empty", "", {.malformed = 1}},
        {"truncated", valid.substr(0, valid.size() - 1), {.malformed = 1}},
        {"too large", std::string(1025, 'x'), {.oversized = 1}},
    };
    for (const Case &entry : cases) {
        CAPTURE(entry.name);
        int drops = 0;
        PeerDispatcher dispatcher({.cluster = "riga", .maxBytes = 1024, .onDrop = [&](const Failure &) {
                                       ++drops;
                                   }});
        int pings = 0;
        dispatcher.setHandler(Wire::Body::kPing, [&](const InstanceId &from, const Wire::Body &body) {
            CHECK(from == InstanceId("a"));
            pings += body.ping().nonce() == 7 ? 1 : 0;
        });
        dispatcher.receive(entry.bytes);
        const PeerReceiveCounts counts = dispatcher.counts();
        CHECK(counts.accepted == entry.expected.accepted);
        CHECK(counts.malformed == entry.expected.malformed);
        CHECK(counts.oversized == entry.expected.oversized);
        CHECK(counts.wrongCluster == entry.expected.wrongCluster);
        CHECK(pings == static_cast<int>(entry.expected.accepted));
        CHECK(drops == 1 - pings);
    }
}

// Guards against a crash and against uncounted messages when a peer sends malformed messages.
TEST_CASE("peer dispatcher survives random and truncated messages")
{
    PeerDispatcher dispatcher({.cluster = "riga"});
    int handled = 0;
    dispatcher.setHandler(Wire::Body::kPing, [&](const InstanceId &, const Wire::Body &) {
        ++handled;
    });
    std::mt19937_64 random(1);
    std::uint64_t received = 0;
    const std::string valid = encodedPing("riga", "a");
    for (int round = 0; round < 5000; ++round) {
        std::string bytes = valid;
        bytes.at(random() % bytes.size()) = static_cast<char>(random());
        dispatcher.receive(bytes.substr(0, random() % (bytes.size() + 1)));
        std::string noise(random() % 200, '\0');
        for (char &character : noise) {
            character = static_cast<char>(random());
        }
        dispatcher.receive(noise);
        received += 2;
    }
    const PeerReceiveCounts counts = dispatcher.counts();
    CHECK(counts.accepted + counts.malformed + counts.wrongCluster == received);
    CHECK(counts.malformed > received / 2);
}

// Bodies of kinds that a newer version added must be counted and ignored.
TEST_CASE("peer dispatcher counts bodies without a handler")
{
    PeerDispatcher dispatcher({.cluster = "riga"});
    dispatcher.receive(encodedPing("riga", "a"));
    CHECK(dispatcher.counts().accepted == 1);
    CHECK(dispatcher.counts().unhandledBodies == 1);
}
