#include <filbertmount/membership/membershiptable.h>

#include "membership/memberregister.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Filbertmount {

namespace {

// Six updates of about 85 bytes keep a ping with its headers in one small packet.
constexpr std::size_t MaxChangesPerMessage = 6;
// Unchanged members that a message repeats while the views of sender and receiver differ.
constexpr std::size_t RefreshedMembersPerMessage = 8;
// Pings of a new instance carry its own update for this long. Members that have not received the update through gossip
// have no address to send the response to.
constexpr Duration SelfAnnouncementPeriod = std::chrono::seconds(10);
// When a whole fleet starts at once, the members that respond to joins hold few others yet. A new instance requests the full
// list again while its view differs; with the 8 refreshed members per message alone, 400 members took 40 s to agree.
constexpr Duration FullListRequestPeriod = std::chrono::seconds(30);
// The delays double from the initial one to the maximum. The initial delays are short because a starting fleet receives requests
// before its members have found each other.
constexpr Duration InitialJoinDelay = std::chrono::milliseconds(50);
constexpr Duration MaxJoinDelay = std::chrono::milliseconds(200);
constexpr Duration InitialFullListDelay = std::chrono::milliseconds(150);
constexpr Duration MaxFullListDelay = std::chrono::seconds(2);
// After this time, a request for the full list counts as lost.
constexpr Duration FullListTimeout = std::chrono::milliseconds(150);
// A longer time between ticks means that this process was suspended, so pings that went unanswered meanwhile do not count.
constexpr Duration MaxTickGap = std::chrono::seconds(1);
// Members that receive the announcement of a shutdown directly.
constexpr std::size_t LeaveMessages = 10;

} // namespace

MembershipTable::MembershipTable(Options options, Instant now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_self(m_options.self)
    , m_members(std::make_unique<MemberRegister>())
    , m_startedAt(now)
    , m_lastTick(now)
    , m_nextPing(now)
    , m_nextReconnect(now)
    , m_joinDelay(InitialJoinDelay)
    , m_fullListDelay(InitialFullListDelay)
    , m_live(std::make_shared<MemberList>(MemberList{m_options.self}))
{
}

MembershipTable::~MembershipTable() = default;

void MembershipTable::setListedPeers(std::vector<std::string> addresses)
{
    const absl::MutexLock lock(&m_mutex);
    m_listedPeers = std::move(addresses);
}

PeerOutbox MembershipTable::tick(Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    if (m_self.state == MemberState::Left) {
        return outbox;
    }
    handleTickGap(now);
    checkProbes(now, outbox);
    if (const std::size_t deaths = m_members->expire(now); deaths > 0) {
        m_counts.deaths += deaths;
        publish();
    }
    if (now >= m_nextPing) {
        m_nextPing = now + m_options.pingInterval;
        pingLocalSuspects(outbox);
        pingNext(now, outbox);
    }
    joinOrReconnect(now, outbox);
    requestFullList(now, outbox);
    return outbox;
}

void MembershipTable::handleTickGap(Instant now)
{
    const Duration gap = now - m_lastTick;
    m_lastTick = now;
    if (gap <= MaxTickGap) {
        return;
    }
    m_probes.clear();
    m_relayed.clear();
    m_members->extendSuspicions(gap);
    m_nextReconnect = now;
    // The other instances have dropped members that departed meanwhile, so the entries here would bring those back.
    if (gap >= MemberRegister::DepartedRetention) {
        m_members->clear();
        m_startedAt = now;
        publish();
    }
}

void MembershipTable::checkProbes(Instant now, PeerOutbox &outbox)
{
    std::vector<InstanceId> unresponsive;
    for (Probe &probe : m_probes) {
        if (!probe.indirect && now - probe.sentAt >= m_options.pingTimeout) {
            probe.indirect = true;
            std::vector<InstanceId> relays = m_members->liveIds();
            relays.erase(std::remove(relays.begin(), relays.end(), probe.target), relays.end());
            std::vector<InstanceId> chosen;
            std::sample(relays.begin(), relays.end(), std::back_inserter(chosen), m_options.indirectPings, m_random);
            for (const InstanceId &relay : chosen) {
                Wire::IndirectPing &request = *addMessage(relay, outbox)->add_bodies()->mutable_indirect_ping();
                request.set_nonce(probe.nonce);
                request.set_target(probe.target.value());
            }
        }
        if (now - probe.sentAt >= 2 * m_options.pingTimeout) {
            unresponsive.push_back(probe.target);
        }
    }
    m_probes.erase(std::remove_if(m_probes.begin(),
                                  m_probes.end(),
                                  [&](const Probe &probe) {
                                      return now - probe.sentAt >= 2 * m_options.pingTimeout;
                                  }),
                   m_probes.end());
    for (const InstanceId &id : unresponsive) {
        const MemberRegister::Entry *entry = m_members->find(id);
        if (entry == nullptr || entry->member.state != MemberState::Alive) {
            continue;
        }
        Member suspicion = entry->member;
        suspicion.state = MemberState::Suspect;
        m_counts.suspicions += m_members->apply(suspicion, now, true) ? 1 : 0;
    }
}

void MembershipTable::pingNext(Instant now, PeerOutbox &outbox)
{
    if (m_pingOrder.empty()) {
        // Each member is pinged once per shuffled round, which bounds the time until its death is detected.
        m_pingOrder = m_members->liveIds();
        std::shuffle(m_pingOrder.begin(), m_pingOrder.end(), m_random);
    }
    while (!m_pingOrder.empty()) {
        const InstanceId target = m_pingOrder.back();
        m_pingOrder.pop_back();
        const MemberRegister::Entry *entry = m_members->find(target);
        if (entry == nullptr || entry->member.state != MemberState::Alive) {
            continue;
        }
        m_probes.push_back(Probe{.nonce = ++m_lastNonce, .target = target, .sentAt = now});
        sendPing(target, m_lastNonce, outbox);
        return;
    }
}

void MembershipTable::pingLocalSuspects(PeerOutbox &outbox)
{
    std::vector<InstanceId> suspects;
    for (const auto &[id, entry] : m_members->entries()) {
        if (entry.suspectedLocally && entry.member.state == MemberState::Suspect) {
            suspects.push_back(id);
        }
    }
    std::sort(suspects.begin(), suspects.end());
    // These pings carry the suspicion to the member directly. With gossip alone, message loss made false deaths likely.
    for (const InstanceId &id : suspects) {
        sendPing(id, ++m_lastNonce, outbox);
    }
}

void MembershipTable::sendPing(const InstanceId &to, std::uint64_t nonce, PeerOutbox &outbox)
{
    const MemberRegister::Entry *entry = m_members->find(to);
    const bool announceSelf = m_lastTick - m_startedAt < SelfAnnouncementPeriod || entry->member.state != MemberState::Alive;
    Wire::Envelope &envelope = *addMessage(to, outbox);
    if (announceSelf && m_selfTransmissions == 0) {
        addMember(envelope, m_self);
    }
    if (entry->member.state != MemberState::Alive) {
        addMember(envelope, entry->member);
    }
    Wire::Ping &ping = *envelope.add_bodies()->mutable_ping();
    ping.set_nonce(nonce);
    ping.set_members_hash(viewHash());
}

Wire::Envelope *MembershipTable::addMessage(const InstanceId &to, PeerOutbox &outbox)
{
    const MemberRegister::Entry *entry = m_members->find(to);
    PeerMessage &message =
        outbox.emplace_back(PeerMessage{.to = to, .address = entry == nullptr ? "" : entry->member.peerAddress, .envelope = {}});
    if (m_selfTransmissions > 0) {
        --m_selfTransmissions;
        addMember(message.envelope, m_self);
    }
    m_members->addChanges(message.envelope, MaxChangesPerMessage);
    if (m_refreshNext) {
        m_refreshNext = false;
        m_members->addRefresh(message.envelope, RefreshedMembersPerMessage);
    }
    return &message.envelope;
}

std::vector<std::string> MembershipTable::unreachedAddresses() const
{
    absl::flat_hash_set<std::string> reached = {m_self.peerAddress};
    for (const auto &[id, entry] : m_members->entries()) {
        if (entry.member.live()) {
            reached.insert(entry.member.peerAddress);
        }
    }
    std::vector<std::string> addresses = m_options.staticPeers;
    addresses.insert(addresses.end(), m_listedPeers.begin(), m_listedPeers.end());
    for (const auto &[id, entry] : m_members->entries()) {
        if (entry.member.state == MemberState::Dead && !entry.member.peerAddress.empty()) {
            addresses.push_back(entry.member.peerAddress);
        }
    }
    addresses.erase(std::remove_if(addresses.begin(),
                                   addresses.end(),
                                   [&](const std::string &address) {
                                       return reached.contains(address);
                                   }),
                    addresses.end());
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return addresses;
}

void MembershipTable::joinOrReconnect(Instant now, PeerOutbox &outbox)
{
    if (now < m_nextReconnect) {
        return;
    }
    const bool noLiveMembers = m_members->liveIds().empty();
    m_nextReconnect = now + (noLiveMembers ? m_joinDelay : m_options.reconnectInterval);
    m_joinDelay = std::min(2 * m_joinDelay, MaxJoinDelay);
    const std::vector<std::string> addresses = unreachedAddresses();
    std::vector<std::string> chosen;
    std::sample(addresses.begin(), addresses.end(), std::back_inserter(chosen), noLiveMembers ? 3 : 1, m_random);
    for (const std::string &address : chosen) {
        PeerMessage &message = outbox.emplace_back(PeerMessage{.to = {}, .address = address, .envelope = {}});
        addMember(message.envelope, m_self);
        for (const auto &[id, entry] : m_members->entries()) {
            if (entry.member.state == MemberState::Dead && entry.member.peerAddress == address) {
                addMember(message.envelope, entry.member);
            }
        }
        Wire::Body &body = *message.envelope.add_bodies();
        if (noLiveMembers) {
            body.mutable_join_request()->set_nonce(++m_lastNonce);
        } else {
            body.mutable_ping()->set_nonce(++m_lastNonce);
            body.mutable_ping()->set_members_hash(viewHash());
        }
    }
}

void MembershipTable::requestFullList(Instant now, PeerOutbox &outbox)
{
    if (!m_viewDiffers || now < m_nextFullListRequest || now - m_startedAt >= FullListRequestPeriod) {
        return;
    }
    // The seed members hold the most complete lists. One of the others is asked after a request that got no response, so that
    // repeated requests do not add to the load of the seed members.
    const std::vector<InstanceId> candidates = m_fullListNonce ? m_members->liveIds() : seedMembers();
    if (candidates.empty()) {
        return;
    }
    m_fullListNonce = ++m_lastNonce;
    m_nextFullListRequest = now + FullListTimeout;
    const InstanceId &peer = candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    Wire::Envelope &envelope = *addMessage(peer, outbox);
    addMember(envelope, m_self);
    envelope.add_bodies()->mutable_join_request()->set_nonce(*m_fullListNonce);
}

void MembershipTable::recordFullList(std::uint64_t nonce)
{
    if (m_fullListNonce != nonce) {
        return;
    }
    m_fullListNonce.reset();
    m_nextFullListRequest = m_lastTick + m_fullListDelay;
    m_fullListDelay = std::min(2 * m_fullListDelay, MaxFullListDelay);
}

std::vector<InstanceId> MembershipTable::seedMembers() const
{
    std::vector<InstanceId> seeds;
    for (const auto &[id, entry] : m_members->entries()) {
        const std::vector<std::string> &peers = m_options.staticPeers;
        if (entry.member.live() && std::find(peers.begin(), peers.end(), entry.member.peerAddress) != peers.end()) {
            seeds.push_back(id);
        }
    }
    // Sorted, so that a run depends only on its seed.
    std::sort(seeds.begin(), seeds.end());
    return seeds.empty() ? m_members->liveIds() : seeds;
}

PeerOutbox MembershipTable::leave()
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    m_self.state = MemberState::Left;
    const std::vector<InstanceId> live = m_members->liveIds();
    std::vector<InstanceId> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), LeaveMessages, m_random);
    m_selfTransmissions = static_cast<int>(chosen.size());
    for (const InstanceId &id : chosen) {
        addMessage(id, outbox);
    }
    publish();
    return outbox;
}

std::uint64_t MembershipTable::viewHash() const
{
    return m_members->liveHash() ^ memberHash(m_self);
}

void MembershipTable::publish()
{
    auto live = std::make_shared<MemberList>();
    if (m_self.live()) {
        live->push_back(m_self);
    }
    for (const auto &[id, entry] : m_members->entries()) {
        if (entry.member.live()) {
            live->push_back(entry.member);
        }
    }
    std::sort(live->begin(), live->end(), [](const Member &left, const Member &right) {
        return left.id < right.id;
    });
    m_live = std::move(live);
    ++m_version;
}

std::shared_ptr<const MemberList> MembershipTable::live() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_live;
}

MemberList MembershipTable::left() const
{
    const absl::MutexLock lock(&m_mutex);
    MemberList members;
    for (const auto &[id, entry] : m_members->entries()) {
        if (entry.member.state == MemberState::Left) {
            members.push_back(entry.member);
        }
    }
    return members;
}

std::uint64_t MembershipTable::version() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_version;
}

MembershipCounts MembershipTable::counts() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_counts;
}

} // namespace Filbertmount
