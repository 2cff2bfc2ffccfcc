#pragma once

#include "edge/peersocket.h"

#include <filbertmount/membership/membershiptable.h>
#include <filbertmount/peer/peerdispatcher.h>
#include <filbertmount/routing/router.h>

#include <memory>
#include <string>
#include <vector>

namespace Filbertmount {

/** The other entry instances: who is alive, and messages between them and the router. Lives on the IoLoop. */
class Fleet
{
public:
    struct Options {
        std::string cluster;
        Member self;
        /** "IP:port" of instances through which the others are found. */
        std::vector<std::string> seeds;
        std::uint64_t seed = 1;
    };

    Fleet(IoLoop &loop, Options options, Metrics &metrics);

    /** Passes routing messages to @p router, which outlives the fleet, and tells it of the members. */
    void connect(Router &router);
    [[nodiscard]] PeerSender sender();
    /** Replaces the addresses at which instances may be found. */
    void setKnownAddresses(std::vector<std::string> addresses);
    void tick(Instant now);
    /** Tells the others that this instance leaves. */
    void leave();
    /** Passes messages of @p kind to @p handler. */
    void setHandler(Wire::Body::KindCase kind, PeerDispatcher::BodyHandler handler);
    void send(const InstanceId &to, Wire::Envelope envelope);
    /** Sends to every other live member. */
    void sendToAll(const Wire::Envelope &envelope);
    [[nodiscard]] const InstanceId &self() const;
    /** Ids of the live members, this instance included. */
    [[nodiscard]] std::vector<InstanceId> memberIds() const;
    /** Live instances, this one included. */
    [[nodiscard]] std::size_t memberCount() const;
    /** The live members with the largest machines: they do the work that one instance does for all. */
    [[nodiscard]] std::vector<InstanceId> coordinatorIds() const;
    /** Rises with each change of the live members. */
    [[nodiscard]] std::uint64_t memberVersion() const;

private:
    void setHandlers();
    void followMembers();

    Options m_options;
    Metrics &m_metrics;
    MembershipTable m_membership;
    PeerDispatcher m_dispatcher;
    PeerSocket m_socket;
    Router *m_router = nullptr;
    std::uint64_t m_memberVersion = 0;
    MemberList m_lastMembers;
};

} // namespace Filbertmount
