#include "edge/fleet.h"

#include <filbertmount/telemetry/log.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// Instances on machines with at least 1/CoordinatorCapacityDivisor of the largest capacity are coordinators too, which spreads
// the work over more instances.
constexpr std::uint32_t CoordinatorCapacityDivisor = 2;

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
                   m_dispatcher.receive(bytes);
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

void Fleet::send(const InstanceId &to, Wire::Envelope envelope)
{
    m_socket.send(to, std::move(envelope));
}

void Fleet::sendToAll(const Wire::Envelope &envelope)
{
    for (const Member &member : m_liveMembers) {
        if (member.id != m_options.self.id) {
            m_socket.send(member.id, envelope);
        }
    }
}

const InstanceId &Fleet::self() const
{
    return m_options.self.id;
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
    m_metrics.gauge(MetricNames::Members).Set(static_cast<double>(ids.size()));
    logLine(LogLevel::Info, "the live instances changed", {{.name = "members", .value = static_cast<std::int64_t>(ids.size())}});
    m_router->setMembers(ids, coordinatorIds());
}

} // namespace Filbertmount
