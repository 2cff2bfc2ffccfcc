#pragma once

#include <filbertmount/claims/claimservice.h>
#include <filbertmount/membership/membershiptable.h>
#include <filbertmount/peer/nngtransport.h>
#include <filbertmount/replication/documentgossip.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/store/httpobjectstore.h>

#include <memory>
#include <optional>
#include <string>

namespace Filbertmount {

class CrashGuard;
class UpstreamWatch;

using StoreClaims = ClaimService<HttpObjectStore>;

/** Passes messages between the transport and the modules that talk to other members. */
class PeerLink
{
public:
    struct Options {
        std::string cluster;
        Member self;
        std::vector<std::string> staticPeers;
        std::uint64_t seed = 1;
    };
    /** Who gets messages. All outlive the link's traffic, which stop() ends. */
    struct Receivers {
        Router &router;
        DocumentGossip &gossip;
        /** Null without a store. */
        StoreClaims *claims = nullptr;
        UpstreamWatch &watch;
        CrashGuard &crashes;
    };

    /** Opens the listener; messages are dropped until connect(). */
    static Result<std::unique_ptr<PeerLink>> listen(Options options);

    /** Sends to a member; may be used before connect(). */
    [[nodiscard]] PeerSender sender();
    /** Begins to take part in the membership. */
    void connect(const Receivers &receivers);
    void tick(Instant now);
    void send(PeerOutbox outbox);
    /** Sends to every live member. */
    void sendToAll(const Wire::Body &body);
    /** Replaces the peer addresses from the platform's instance list. */
    void setListedPeers(std::vector<std::string> addresses);
    [[nodiscard]] MemberList members() const;
    /** Live members of the own region, this one included. */
    [[nodiscard]] std::vector<InstanceId> regionMembers() const;
    /** Tells the members that this instance leaves, and closes the transport. */
    void stop();

private:
    PeerLink(Options options);
    void setHandlers();
    void followMembers();

    const Options m_options;
    std::unique_ptr<PeerDispatcher> m_dispatcher;
    std::unique_ptr<NngTransport> m_transport;
    std::unique_ptr<MembershipTable> m_membership;
    std::optional<Receivers> m_receivers;
    /** Set once the receivers are; threads of the transport wait for it. */
    std::atomic<bool> m_connected = false;
    std::uint64_t m_memberVersion = 0;
    MemberList m_lastMembers;
};

} // namespace Filbertmount
