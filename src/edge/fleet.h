#pragma once

#include "edge/messagefragments.h"
#include "edge/peersocket.h"

#include <filbertmount/membership/membershiptable.h>
#include <filbertmount/peer/peerdispatcher.h>
#include <filbertmount/routing/router.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Filbertmount {

/** Tracks the live entry instances and exchanges messages with them. Runs on the IoLoop. */
class Fleet
{
public:
    struct Options {
        std::string cluster;
        Member self;
        /** "IP:port" of instances through which this one joins the fleet. */
        std::vector<std::string> seeds;
        /** Seed of the random number generator. */
        std::uint64_t seed = 1;
    };

    Fleet(IoLoop &loop, Options options, Metrics &metrics);

    /**
     * Sets a function that is called before each received message; the message is dropped if it returns true.
     */
    void setReceiveFilter(std::function<bool()> filter);
    /** Discards the messages that have arrived and were not handled yet. */
    void discardPending();
    /** Passes routing messages and changes of the members to @p router, which must outlive this object. */
    void setRouter(Router &router);
    /** Returns a function that sends a message to an instance. */
    [[nodiscard]] PeerSender sender();
    /** Replaces the addresses, beside the seeds, at which other instances may be reached. */
    void setKnownAddresses(std::vector<std::string> addresses);
    void tick(Instant now);
    /** Announces to the other instances that this one leaves the fleet. */
    void leave();
    /** Sets the handler for messages of @p kind. */
    void setHandler(Wire::Body::KindCase kind, PeerDispatcher::BodyHandler handler);
    /** Whether the address of @p instance is known; messages to other instances are dropped. */
    [[nodiscard]] bool canReach(const InstanceId &instance) const;
    void send(const InstanceId &to, Wire::Envelope envelope);
    /**
     * Sends to every other live member. In another availability zone, one member receives the message and passes it on, because
     * bytes between zones are expensive and the sender's link would fill up in a large fleet.
     */
    void sendToAll(const Wire::Envelope &envelope);
    /** Selects other members to pass messages on, so that one that does not respond delays only some messages. */
    void rotateRelays();
    [[nodiscard]] const InstanceId &self() const;
    /** Live members, this instance included. */
    [[nodiscard]] const MemberList &liveMembers() const;
    /** Members that announced their shutdown a few minutes ago at most. */
    [[nodiscard]] MemberList leftMembers() const;
    /** Ids of the live members, this instance included. */
    [[nodiscard]] std::vector<InstanceId> memberIds() const;
    /** Number of live members, this instance included. */
    [[nodiscard]] std::size_t memberCount() const;
    /** Ids of the coordinators: the live members with the largest machines, which do work on behalf of the whole fleet. */
    [[nodiscard]] std::vector<InstanceId> coordinatorIds() const;
    /** Increases with each change of the live members. */
    [[nodiscard]] std::uint64_t memberVersion() const;

private:
    void setHandlers();
    void followMembers();
    /** Updates m_remoteZones and m_directMembers. */
    void groupMembersByZone();
    /** Handles a message that another instance relays, and passes it on to this zone if it asks for that. */
    void onRelay(const Wire::Relay &relay);

    Options m_options;
    Metrics &m_metrics;
    MembershipTable m_membership;
    PeerDispatcher m_dispatcher;
    FragmentJoiner m_fragments;
    PeerSocket m_socket;
    std::function<bool()> m_receiveFilter;
    Router *m_router = nullptr;
    std::uint64_t m_memberVersion = 0;
    MemberList m_liveMembers;
    /** Members that sendToAll() sends to directly. */
    std::vector<InstanceId> m_directMembers;
    /** For each other zone, the members that may pass messages on. */
    std::vector<std::vector<InstanceId>> m_remoteZones;
    /** Other members of this instance's zone. */
    std::vector<InstanceId> m_ownZone;
    std::size_t m_relayRotation = 0;
};

} // namespace Filbertmount
