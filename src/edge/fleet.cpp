#include "edge/fleet.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>
#include <map>

namespace Filbertmount {

namespace {

// Instances on machines with at least 1/CoordinatorCapacityDivisor of the largest capacity are coordinators too, which spreads
// the work over more instances.
constexpr std::uint32_t CoordinatorCapacityDivisor = 2;
// In a zone with fewer members, a relay would save too little to be worth the delay.
constexpr std::size_t MinMembersForRelay = 4;

Asio::ip::udp::endpoint udpEndpoint(const std::string &address)
{
    const std::optional<Tcp::endpoint> parsed = toTcpEndpoint(address);
    return parsed ? Asio::ip::udp::endpoint(parsed->address(), parsed->port()) : Asio::ip::udp::endpoint();
}

} // namespace

Fleet::Fleet(IoLoop &loop, Options options, Metrics &metrics)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_membership({.self = m_options.self, .staticPeers = m_options.seeds, .seed = m_options.seed}, ProcessClock::now())
    , m_dispatcher(PeerDispatcher::Options{.cluster = m_options.cluster, .onDrop = {}})
    , m_socket(loop,
               {.cluster = m_options.cluster, .self = m_options.self.id, .listen = udpEndpoint(m_options.self.peerAddress)},
               metrics,
               [this](std::string_view bytes) {
                   if (!m_receiveFilter || !m_receiveFilter()) {
                       m_dispatcher.receive(bytes);
                   }
               })
{
    setHandlers();
}

void Fleet::setHandlers()
{
    using Wire::Body;
    m_dispatcher.setMemberHandler([this](const InstanceId & /*from*/, const Wire::Envelope &envelope) {
        m_membership.receiveMembers(envelope, ProcessClock::now());
        followMembers();
    });
    for (const Body::KindCase kind : {Body::kPing, Body::kAck, Body::kIndirectPing, Body::kJoinRequest}) {
        m_dispatcher.setHandler(kind, [this](const InstanceId &from, const Body &body) {
            m_socket.send(m_membership.receive(from, body, ProcessClock::now()));
        });
    }
    m_dispatcher.setSenderHandler([this](const InstanceId &from) {
        m_socket.rememberSender(from);
    });
    m_dispatcher.setHandler(Body::kFragment, [this](const InstanceId &from, const Body &body) {
        if (const std::optional<std::string> envelope = m_fragments.add(from, body.fragment(), ProcessClock::now())) {
            m_dispatcher.receive(*envelope);
        }
    });
    m_dispatcher.setHandler(Body::kRelay, [this](const InstanceId & /*from*/, const Body &body) {
        onRelay(body.relay());
    });
    for (const Body::KindCase kind : {Body::kSlotRequest,
                                      Body::kSlotGrant,
                                      Body::kSlotQueued,
                                      Body::kSlotRefusal,
                                      Body::kSlotRelease,
                                      Body::kInFlightReport}) {
        m_dispatcher.setHandler(kind, [this](const InstanceId &from, const Body &body) {
            if (m_router != nullptr) {
                m_router->handleMessage(from, body);
            }
        });
    }
}

void Fleet::setReceiveFilter(std::function<bool()> filter)
{
    m_receiveFilter = std::move(filter);
}

void Fleet::discardPending()
{
    m_socket.discardPending();
}

void Fleet::setRouter(Router &router)
{
    m_router = &router;
    followMembers();
}

PeerSender Fleet::sender()
{
    return [this](const InstanceId &to, Wire::Envelope envelope) {
        m_socket.send(to, std::move(envelope));
    };
}

void Fleet::setKnownAddresses(std::vector<std::string> addresses)
{
    std::erase(addresses, m_options.self.peerAddress);
    m_membership.setListedPeers(std::move(addresses));
}

void Fleet::tick(Instant now)
{
    m_socket.send(m_membership.tick(now));
    followMembers();
}

void Fleet::leave()
{
    m_socket.send(m_membership.leave());
}

void Fleet::setHandler(Wire::Body::KindCase kind, PeerDispatcher::BodyHandler handler)
{
    m_dispatcher.setHandler(kind, std::move(handler));
}

bool Fleet::canReach(const InstanceId &instance) const
{
    return m_socket.canReach(instance);
}

void Fleet::send(const InstanceId &to, Wire::Envelope envelope)
{
    m_socket.send(to, std::move(envelope));
}

void Fleet::sendToAll(const Wire::Envelope &envelope)
{
    for (const InstanceId &member : m_directMembers) {
        m_socket.send(member, envelope);
    }
    Wire::Envelope relayed;
    Wire::Relay &relay = *relayed.add_bodies()->mutable_relay();
    relay.set_origin(m_options.self.id.value());
    *relay.mutable_bodies() = envelope.bodies();
    relay.set_forward(true);
    for (const std::vector<InstanceId> &zone : m_remoteZones) {
        m_socket.send(zone[m_relayRotation % zone.size()], relayed);
    }
}

void Fleet::rotateRelays()
{
    ++m_relayRotation;
}

void Fleet::onRelay(const Wire::Relay &relay)
{
    const InstanceId origin(relay.origin());
    if (relay.forward()) {
        Wire::Envelope envelope;
        *envelope.add_bodies()->mutable_relay() = relay;
        envelope.mutable_bodies(0)->mutable_relay()->set_forward(false);
        for (const InstanceId &member : m_ownZone) {
            if (member != origin) {
                m_socket.send(member, envelope);
            }
        }
    }
    for (const Wire::Body &body : relay.bodies()) {
        // A relayed relay would let one message go around without end.
        if (body.kind_case() != Wire::Body::kRelay && origin != m_options.self.id) {
            m_dispatcher.dispatch(origin, body);
        }
    }
}

void Fleet::groupMembersByZone()
{
    m_directMembers.clear();
    m_remoteZones.clear();
    m_ownZone.clear();
    std::map<AvailabilityZone, std::vector<const Member *>> zones;
    for (const Member &member : m_liveMembers) {
        if (member.id != m_options.self.id) {
            zones[member.zone].push_back(&member);
        }
    }
    for (const auto &[zone, members] : zones) {
        std::uint32_t largest = 0;
        for (const Member *member : members) {
            largest = std::max(largest, member->capacity);
        }
        const bool isOwn = zone == m_options.self.zone;
        // A build that does not know relays states no zone.
        const bool isDirect = isOwn || zone == AvailabilityZone() || members.size() < MinMembersForRelay;
        std::vector<InstanceId> relays;
        for (const Member *member : members) {
            if (isDirect) {
                m_directMembers.push_back(member->id);
            } else if (member->capacity * CoordinatorCapacityDivisor >= largest) {
                relays.push_back(member->id);
            }
            if (isOwn) {
                m_ownZone.push_back(member->id);
            }
        }
        if (!isDirect) {
            m_remoteZones.push_back(std::move(relays));
        }
    }
}

const InstanceId &Fleet::self() const
{
    return m_options.self.id;
}

const MemberList &Fleet::liveMembers() const
{
    return m_liveMembers;
}

MemberList Fleet::leftMembers() const
{
    return m_membership.left();
}

std::vector<InstanceId> Fleet::memberIds() const
{
    std::vector<InstanceId> ids;
    for (const Member &member : m_liveMembers) {
        ids.push_back(member.id);
    }
    return ids;
}

std::size_t Fleet::memberCount() const
{
    return m_liveMembers.size();
}

std::vector<InstanceId> Fleet::coordinatorIds() const
{
    std::uint32_t largest = 0;
    for (const Member &member : m_liveMembers) {
        largest = std::max(largest, member.capacity);
    }
    std::vector<InstanceId> ids;
    for (const Member &member : m_liveMembers) {
        if (member.capacity * CoordinatorCapacityDivisor >= largest) {
            ids.push_back(member.id);
        }
    }
    return ids;
}

std::uint64_t Fleet::memberVersion() const
{
    return m_memberVersion;
}

void Fleet::followMembers()
{
    if (m_router == nullptr || m_membership.version() == m_memberVersion) {
        return;
    }
    m_memberVersion = m_membership.version();
    MemberList current = *m_membership.live();
    std::vector<InstanceId> ids;
    for (const Member &member : current) {
        ids.push_back(member.id);
        m_socket.setAddress(member.id, member.peerAddress);
    }
    for (const Member &member : m_liveMembers) {
        if (std::find(ids.begin(), ids.end(), member.id) == ids.end()) {
            m_socket.removeAddress(member.id);
        }
    }
    m_liveMembers = std::move(current);
    groupMembersByZone();
    m_metrics.gauge(MetricNames::Members).Set(static_cast<double>(ids.size()));
    logLine(LogLevel::Info, "the live instances changed", {{.name = "members", .value = static_cast<std::int64_t>(ids.size())}});
    m_router->setMembers(ids, coordinatorIds());
}

} // namespace Filbertmount
