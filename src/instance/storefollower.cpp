#include "instance/storefollower.h"

#include <filbertmount/document/documentvalue.h>
#include <filbertmount/replication/storedocument.h>

#include <absl/time/time.h>

#include <map>
#include <string_view>
#include <utility>

namespace Filbertmount {

namespace {

// The store counts a waiting watch as one call, so a long wait costs little; it also bounds the time of a stop.
constexpr Duration WatchWait = std::chrono::seconds(2);

// Time between two looks at the schedule, and after a failed call.
constexpr absl::Duration Pause = absl::Milliseconds(200);

} // namespace

StoreFollower::StoreFollower(Options options, const Targets &targets)
    : m_options(std::move(options))
    , m_targets(targets)
    , m_instanceList(m_options.store)
    , m_schedule(m_options.schedule, ProcessClock::now())
{
    m_watcher = std::thread([this] {
        watchDocuments();
    });
    m_lister = std::thread([this] {
        readLists();
    });
}

StoreFollower::~StoreFollower()
{
    m_stopping.Notify();
    m_watcher.join();
    m_lister.join();
}

void StoreFollower::watchDocuments()
{
    bool listed = false;
    while (!m_stopping.HasBeenNotified()) {
        const std::size_t members = m_targets.peers.members().size();
        const bool holdsWatch = m_schedule.holdsWatch(m_targets.peers.regionMembers());
        if (m_schedule.listingDue(ProcessClock::now(), members) || (holdsWatch && !listed)) {
            listed = listDocuments();
        }
        if (!holdsWatch || !listed) {
            listed = listed && holdsWatch; // A later watch must not miss what changed in between.
            m_stopping.WaitForNotificationWithTimeout(Pause);
            continue;
        }
        const StoreListing changes = m_targets.store.watch(DocumentKeyPrefix, m_watchedUpTo, WatchWait);
        if (changes.outcome != StoreOutcome::Done) {
            listed = false;
            m_stopping.WaitForNotificationWithTimeout(Pause);
            continue;
        }
        m_watchedUpTo = std::max(m_watchedUpTo, changes.revision);
        take(changes.objects);
    }
}

bool StoreFollower::listDocuments()
{
    const Instant begun = ProcessClock::now();
    const StoreListing listing = m_targets.store.list(DocumentKeyPrefix);
    if (listing.outcome != StoreOutcome::Done) {
        return false;
    }
    m_watchedUpTo = listing.revision;
    take(listing.objects);
    m_targets.gate.confirm(begun);
    return true;
}

void StoreFollower::take(const std::vector<StoreObject> &objects)
{
    std::vector<ServiceName> changed;
    for (const StoreObject &object : objects) {
        const ServiceName service(object.key.substr(std::string_view(DocumentKeyPrefix).size()));
        // Peers pass the value on; twenty earlier texts in it would use up the bytes that control traffic may take.
        const std::string value = withoutHistory(object.value);
        if (m_targets.table.apply(service, object.revision, value) != DocumentApplyResult::Stale) {
            changed.push_back(service);
        }
    }
    if (!changed.empty()) {
        m_targets.documents.follow();
        m_targets.peers.send(m_targets.gossip.announce(changed));
    }
}

void StoreFollower::readLists()
{
    std::map<std::string, Instant> readAt;
    while (!m_stopping.HasBeenNotified()) {
        for (const std::string &list : m_targets.documents.lists()) {
            // A list that a new document names is read at once, since its service has no upstreams until then.
            const auto last = readAt.find(list);
            const Instant now = ProcessClock::now();
            if (last != readAt.end() && now - last->second < m_options.listInterval) {
                continue;
            }
            const InstanceListing listing = m_instanceList.read(list);
            if (listing.outcome == StoreOutcome::Done) {
                readAt[list] = now;
                m_targets.documents.updateList(list, listing.instances);
            }
        }
        const Instant now = ProcessClock::now();
        if (!m_options.peerList.empty() && now - m_peersReadAt >= m_options.listInterval) {
            m_peersReadAt = now;
            readPeerList();
        }
        m_stopping.WaitForNotificationWithTimeout(Pause);
    }
}

void StoreFollower::readPeerList()
{
    const InstanceListing listing = m_instanceList.read(m_options.peerList);
    if (listing.outcome != StoreOutcome::Done) {
        return;
    }
    std::vector<std::string> addresses;
    for (const ListedInstance &row : listing.instances) {
        addresses.push_back(row.address);
    }
    m_targets.peers.setListedPeers(std::move(addresses));
}

} // namespace Filbertmount
