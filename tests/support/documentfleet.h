#pragma once

#include "fakenetwork.h"

#include <filbertmount/peer/peerdispatcher.h>
#include <filbertmount/replication/documentgossip.h>

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Filbertmount::Testing {

/** Decodes "deleted" as a deleted service, values that begin with "bad" as invalid, and all others as a document. */
inline Result<DecodedDocument> decodeTestDocument(const ServiceName &service, const std::string &value)
{
    if (value.rfind("bad", 0) == 0) {
        return boost::leaf::new_error(Failure{.step = Step::ReadDocument, .peer = service.value(), .reason = "bad value"});
    }
    DecodedDocument decoded;
    decoded.deleted = value == "deleted";
    decoded.document.service = service;
    decoded.document.hosts = {service.value() + ".example"};
    return decoded;
}

/** One instance of a DocumentFleet. */
struct DocumentNode {
    DocumentNode(const InstanceId &self, std::uint64_t seed, Instant now)
        : id(self)
        , table(decodeTestDocument)
        , gate({}, now)
        , gossip({.self = self, .seed = seed}, table, gate)
        , dispatcher({.cluster = "test"})
    {
    }

    InstanceId id;
    DocumentTable table;
    FreshnessGate gate;
    DocumentGossip gossip;
    PeerDispatcher dispatcher;
};

/** Instances that replicate documents over a FakeNetwork; all of them are members from the start. */
class DocumentFleet
{
public:
    DocumentFleet(int size, FakeNetworkOptions options)
        : network(options)
        , m_seed(options.seed)
    {
        for (int index = 0; index < size; ++index) {
            add(InstanceId("entry-" + std::to_string(index)));
        }
    }

    DocumentNode &add(const InstanceId &id)
    {
        nodes.push_back(std::make_unique<DocumentNode>(id, m_seed * 100003 + nodes.size(), network.now()));
        DocumentNode &node = *nodes.back();
        for (const Wire::Body::KindCase kind : {Wire::Body::kDocumentDigest,
                                                Wire::Body::kDocumentRevisions,
                                                Wire::Body::kDocumentPull,
                                                Wire::Body::kDocumentPush}) {
            node.dispatcher.setHandler(kind, [this, &node](const InstanceId &from, const Wire::Body &body) {
                network.send(node.id, node.gossip.receive(from, body, network.now()));
            });
        }
        network.attach(id, id.value(), [&node](std::string_view bytes) {
            node.dispatcher.receive(bytes);
        });
        network.every(id, std::chrono::milliseconds(20), [this, &node] {
            node.gate.tick(network.now());
            network.send(node.id, node.gossip.tick(network.now()));
        });
        updateMembers();
        return node;
    }

    /** Makes @p node receive a change from the store and announce it. */
    void change(std::size_t node, const ServiceName &service, std::uint64_t revision, const std::string &value)
    {
        nodes.at(node)->table.apply(service, Revision(revision), value);
        network.send(nodes.at(node)->id, nodes.at(node)->gossip.announce({service}));
    }

    /** Number of instances whose highest revision of @p service is @p revision. */
    [[nodiscard]] std::size_t countHolding(const ServiceName &service, std::uint64_t revision) const
    {
        std::size_t count = 0;
        for (const auto &node : nodes) {
            count += node->table.revision(service) == Revision(revision) ? 1 : 0;
        }
        return count;
    }

    FakeNetwork network;
    std::vector<std::unique_ptr<DocumentNode>> nodes;

private:
    void updateMembers()
    {
        for (const auto &node : nodes) {
            std::vector<InstanceId> others;
            for (const auto &other : nodes) {
                if (other->id != node->id) {
                    others.push_back(other->id);
                }
            }
            node->gossip.setMembers(std::move(others));
        }
    }

    std::uint64_t m_seed;
};

} // namespace Filbertmount::Testing
