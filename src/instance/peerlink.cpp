#include "instance/peerlink.h"

#include "instance/upstreammonitor.h"

#include <filbertmount/quarantine/crashhistorysync.h>

#include <algorithm>
#include <utility>

namespace Filbertmount {

PeerLink::PeerLink(Options options)
    : m_options(std::move(options))
    , m_dispatcher(std::make_unique<PeerDispatcher>(PeerDispatcher::Options{.cluster = m_options.cluster, .onDrop = {}}))
{
}

Result<std::unique_ptr<PeerLink>> PeerLink::listen(Options options)
{
    std::unique_ptr<PeerLink> link(new PeerLink(std::move(options)));
    PeerLink *self = link.get();
    BOOST_LEAF_ASSIGN(link->m_transport,
                      NngTransport::listen({.cluster = link->m_options.cluster,
                                            .self = link->m_options.self.id,
                                            .listenAddress = link->m_options.self.peerAddress},
                                           [self](std::string_view bytes) {
                                               if (self->m_connected) {
                                                   self->m_dispatcher->receive(bytes);
                                               }
                                           }));
    return link;
}

PeerSender PeerLink::sender()
{
    return m_transport->sender();
}

void PeerLink::connect(const Receivers &receivers)
{
    m_receivers.emplace(receivers);
    Member self = m_options.self;
    self.peerAddress = m_transport->address();
    m_membership = std::make_unique<MembershipTable>(
        MembershipTable::Options{.self = std::move(self), .staticPeers = m_options.staticPeers, .seed = m_options.seed},
        ProcessClock::now());
    registerHandlers();
    m_connected = true;
}

void PeerLink::registerHandlers()
{
    using Wire::Body;
    const auto membership = [this](const InstanceId &from, const Body &body) {
        send(m_membership->receive(from, body, ProcessClock::now()));
    };
    const auto gossip = [this](const InstanceId &from, const Body &body) {
        send(m_receivers->gossip.receive(from, body, ProcessClock::now()));
    };
    const auto routing = [this](const InstanceId &from, const Body &body) {
        m_receivers->router.handleMessage(from, body);
    };
    m_dispatcher->setMemberHandler([this](const InstanceId & /*from*/, const Wire::Envelope &envelope) {
        m_membership->receiveMembers(envelope, ProcessClock::now());
    });
    for (const Body::KindCase kind : {Body::kPing, Body::kAck, Body::kIndirectPing, Body::kJoinRequest}) {
        m_dispatcher->setHandler(kind, membership);
    }
    for (const Body::KindCase kind :
         {Body::kDocumentDigest, Body::kDocumentRevisions, Body::kDocumentPull, Body::kDocumentPush}) {
        m_dispatcher->setHandler(kind, gossip);
    }
    for (const Body::KindCase kind : {Body::kSlotRequest,
                                      Body::kSlotGrant,
                                      Body::kSlotQueued,
                                      Body::kSlotRefusal,
                                      Body::kSlotRelease,
                                      Body::kInFlightReport}) {
        m_dispatcher->setHandler(kind, routing);
    }
    const auto upstreamMonitor = [this](const InstanceId &from, const Body &body) {
        m_receivers->upstreamMonitor.receive(from, body);
    };
    m_dispatcher->setHandler(Body::kUpstreamNotice, upstreamMonitor);
    m_dispatcher->setHandler(Body::kBudgetTransfer, upstreamMonitor);
    m_dispatcher->setHandler(Body::kCrashStrike, [this](const InstanceId &from, const Body &body) {
        m_receivers->crashGuard.receive(from, body.crash_strike());
    });
    m_dispatcher->setHandler(Body::kCrashHistoryPull, [this](const InstanceId &from, const Body &body) {
        send(m_receivers->crashHistory.onPull(from, body.crash_history_pull()));
    });
    m_dispatcher->setHandler(Body::kCrashHistory, [this](const InstanceId &from, const Body &body) {
        m_receivers->crashHistory.onHistory(from, body.crash_history());
    });
    if (m_receivers->claims == nullptr) {
        return;
    }
    m_dispatcher->setHandler(Body::kClaimRequest, [this](const InstanceId &from, const Body &body) {
        m_receivers->claims->receive(from, body.claim_request());
    });
    m_dispatcher->setHandler(Body::kClaimReply, [this](const InstanceId &from, const Body &body) {
        m_receivers->claims->receive(from, body.claim_reply());
    });
}

void PeerLink::tick(Instant now)
{
    send(m_membership->tick(now));
    publishMembers();
    send(m_receivers->gossip.tick(now));
}

void PeerLink::send(PeerOutbox outbox)
{
    if (!outbox.empty()) {
        m_transport->send(std::move(outbox));
    }
}

void PeerLink::sendToAll(const Wire::Body &body)
{
    PeerOutbox outbox;
    for (const Member &member : members()) {
        if (member.id != m_options.self.id) {
            appendBody(outbox, member.id) = body;
        }
    }
    send(std::move(outbox));
}

void PeerLink::publishMembers()
{
    if (m_membership->version() == m_memberVersion) {
        return;
    }
    m_memberVersion = m_membership->version();
    MemberList current = members();
    std::vector<InstanceId> all;
    std::vector<InstanceId> others;
    for (const Member &member : current) {
        all.push_back(member.id);
        if (member.id != m_options.self.id) {
            others.push_back(member.id);
            m_transport->setAddress(member.id, member.peerAddress);
        }
    }
    for (const Member &member : m_lastMembers) {
        if (std::find(all.begin(), all.end(), member.id) == all.end()) {
            m_transport->removePeer(member.id);
        }
    }
    m_lastMembers = std::move(current);
    const std::vector<InstanceId> region = regionMembers();
    std::vector<InstanceId> regionOthers = region;
    std::erase(regionOthers, m_options.self.id);
    m_receivers->upstreamMonitor.setMembers(std::move(regionOthers), static_cast<int>(all.size()));
    m_receivers->router.setMembers(region);
    m_receivers->gossip.setMembers(std::move(others));
    if (m_receivers->claims != nullptr) {
        m_receivers->claims->setMembers(std::move(all));
    }
}

void PeerLink::setListedPeers(std::vector<std::string> addresses)
{
    m_membership->setListedPeers(std::move(addresses));
}

MemberList PeerLink::members() const
{
    return *m_membership->live();
}

std::vector<InstanceId> PeerLink::regionMembers() const
{
    std::vector<InstanceId> ids;
    for (const Member &member : *m_membership->live()) {
        if (member.region == m_options.self.region) {
            ids.push_back(member.id);
        }
    }
    return ids;
}

void PeerLink::stop()
{
    send(m_membership->leave());
    m_transport.reset();
}

} // namespace Filbertmount
