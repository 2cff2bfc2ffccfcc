#pragma once

#include "fakenetwork.h"

#include <filbertmount/membership/membershiptable.h>
#include <filbertmount/peer/peerdispatcher.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace Filbertmount::Testing {

/** One instance of a MemberFleet. */
struct MemberNode {
    MemberNode(MembershipTable::Options options, Instant now)
        : id(options.self.id)
        , table(std::move(options), now)
        , dispatcher({.cluster = "test"})
    {
    }

    /** Whether @p other is one of the live members of this instance. */
    [[nodiscard]] bool sees(const InstanceId &other) const
    {
        const auto live = table.live();
        return std::any_of(live->begin(), live->end(), [&](const Member &member) {
            return member.id == other;
        });
    }

    InstanceId id;
    MembershipTable table;
    PeerDispatcher dispatcher;
};

/** Instances that run the membership protocol over a FakeNetwork and join through the first two addresses. */
class MemberFleet
{
public:
    MemberFleet(int size, FakeNetworkOptions options)
        : network(options)
        , m_seed(options.seed)
    {
        for (int index = 0; index < size; ++index) {
            add("entry-" + std::to_string(index), address(index));
        }
    }

    static std::string address(int index)
    {
        return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7411";
    }

    MemberNode &add(const std::string &id, const std::string &peerAddress)
    {
        const Member self{.id = InstanceId(id),
                          .peerAddress = peerAddress,
                          .adminAddress = peerAddress,
                          .zone = AvailabilityZone("riga-1"),
                          .region = Region("riga")};
        MembershipTable::Options options{
            .self = self, .staticPeers = {address(0), address(1)}, .seed = m_seed * 100003 + nodes.size()};
        nodes.push_back(std::make_unique<MemberNode>(std::move(options), network.now()));
        MemberNode &node = *nodes.back();
        node.dispatcher.setMemberHandler([this, &node](const InstanceId &, const Wire::Envelope &envelope) {
            node.table.receiveMembers(envelope, network.now());
        });
        for (const Wire::Body::KindCase kind :
             {Wire::Body::kPing, Wire::Body::kAck, Wire::Body::kIndirectPing, Wire::Body::kJoinRequest}) {
            node.dispatcher.setHandler(kind, [this, &node](const InstanceId &from, const Wire::Body &body) {
                network.send(node.id, node.table.receive(from, body, network.now()));
            });
        }
        network.attach(node.id, peerAddress, [&node](std::string_view bytes) {
            node.dispatcher.receive(bytes);
        });
        network.every(node.id, std::chrono::milliseconds(20), [this, &node] {
            network.send(node.id, node.table.tick(network.now()));
        });
        return node;
    }

    /** Ends the process of @p index without a leave message. */
    void kill(std::size_t index)
    {
        network.detach(nodes.at(index)->id);
        m_ended.push_back(nodes.at(index)->id);
    }
    /** Sends the leave messages of @p index, then ends its process. */
    void leave(std::size_t index)
    {
        network.send(nodes.at(index)->id, nodes.at(index)->table.leave());
        kill(index);
    }

    /** Number of running instances whose live members are exactly the running instances. */
    [[nodiscard]] std::size_t countAgreeing() const
    {
        std::vector<InstanceId> running;
        for (const auto &node : nodes) {
            if (runs(node->id)) {
                running.push_back(node->id);
            }
        }
        std::sort(running.begin(), running.end());
        std::size_t count = 0;
        for (const auto &node : nodes) {
            const auto live = node->table.live();
            const bool same = std::equal(
                live->begin(), live->end(), running.begin(), running.end(), [](const Member &member, const InstanceId &id) {
                    return member.id == id;
                });
            count += runs(node->id) && same ? 1 : 0;
        }
        return count;
    }
    /** Number of other running instances whose live members include @p id. */
    [[nodiscard]] std::size_t countSeeing(const InstanceId &id) const
    {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) {
            return runs(node->id) && node->id != id && node->sees(id);
        }));
    }
    [[nodiscard]] bool runs(const InstanceId &id) const
    {
        return std::find(m_ended.begin(), m_ended.end(), id) == m_ended.end();
    }

    FakeNetwork network;
    std::vector<std::unique_ptr<MemberNode>> nodes;

private:
    std::uint64_t m_seed;
    std::vector<InstanceId> m_ended;
};

} // namespace Filbertmount::Testing
