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
class CrashHistorySync;
class UpstreamMonitor;

using StoreClaims = ClaimService<HttpObjectStore>;

/** Dispatches received peer messages to the modules, sends their messages and passes them the live members. */
class PeerLink
{
public:
    struct Options {
        std::string cluster;
        Member self;
        std::vector<std::string> staticPeers;
        std::uint64_t seed = 1;
    };
    /** The modules that handle peer messages. All must stay alive until stop() returns. */
    struct Receivers {
        Router &router;
        DocumentGossip &gossip;
        /** Null if no store is configured. */
        StoreClaims *claims = nullptr;
        UpstreamMonitor &upstreamMonitor;
        CrashGuard &crashGuard;
        CrashHistorySync &crashHistory;
    };

    /** Opens the peer port. Messages received before connect() are dropped. */
    static Result<std::unique_ptr<PeerLink>> listen(Options options);

    /** Returns a function that sends messages to members; usable before connect(). */
    [[nodiscard]] PeerSender sender();
    /** Joins the membership and dispatches messages to @p receivers from now on. */
    void connect(const Receivers &receivers);
    void tick(Instant now);
    void send(PeerOutbox outbox);
    /** Sends @p body to every other live member. */
    void sendToAll(const Wire::Body &body);
    /** Replaces the peer addresses that were read from the platform's instance list. */
    void setListedPeers(std::vector<std::string> addresses);
    [[nodiscard]] MemberList members() const;
    /** Live members of this instance's region, this instance included. */
    [[nodiscard]] std::vector<InstanceId> regionMembers() const;
    /** Announces to the other members that this instance leaves, then closes the transport. */
    void stop();

private:
    PeerLink(Options options);
    void registerHandlers();
    /** Passes the live members to the transport and the receivers if they changed. */
    void publishMembers();

    const Options m_options;
    std::unique_ptr<PeerDispatcher> m_dispatcher;
    std::unique_ptr<NngTransport> m_transport;
    std::unique_ptr<MembershipTable> m_membership;
    std::optional<Receivers> m_receivers;
    /** Set after m_receivers; until then, the transport threads drop messages. */
    std::atomic<bool> m_connected = false;
    std::uint64_t m_memberVersion = 0;
    MemberList m_lastMembers;
};

} // namespace Filbertmount
