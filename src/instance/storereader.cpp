#include "instance/storereader.h"

#include <filbertmount/document/documentvalue.h>
#include <filbertmount/replication/storedocument.h>

#include <absl/time/time.h>

#include <map>
#include <string_view>
#include <utility>

namespace Filbertmount {

namespace {

// A longer wait saves calls, since the store counts a waiting watch as one. The destructor may wait this long for a watch.
constexpr Duration WatchTimeout = std::chrono::seconds(2);

// Time between two checks of the read schedule and the instance lists, and before a retry after a failed call.
constexpr absl::Duration PollInterval = absl::Milliseconds(200);

} // namespace

StoreReader::StoreReader(Options options, const Targets &targets)
    : m_options(std::move(options))
    , m_targets(targets)
    , m_instanceList(m_options.store)
    , m_schedule(m_options.schedule, ProcessClock::now())
{
    m_documentThread = std::thread([this] {
        watchDocuments();
    });
    m_listThread = std::thread([this] {
        readLists();
    });
}

StoreReader::~StoreReader()
{
    m_stopping.Notify();
    m_documentThread.join();
    m_listThread.join();
}

void StoreReader::watchDocuments()
{
    bool listingCurrent = false;
    while (!m_stopping.HasBeenNotified()) {
        const std::size_t members = m_targets.peers.members().size();
        const bool holdsWatch = m_schedule.holdsWatch(m_targets.peers.regionMembers());
        if (m_schedule.listingDue(ProcessClock::now(), members) || (holdsWatch && !listingCurrent)) {
            listingCurrent = listDocuments();
        }
        if (!holdsWatch || !listingCurrent) {
            listingCurrent = listingCurrent && holdsWatch; // A later watch would miss the changes made in the meantime.
            m_stopping.WaitForNotificationWithTimeout(PollInterval);
            continue;
        }
        const StoreListing changes = m_targets.store.watch(DocumentKeyPrefix, m_watchRevision, WatchTimeout);
        if (changes.outcome != StoreOutcome::Done) {
            listingCurrent = false;
            m_stopping.WaitForNotificationWithTimeout(PollInterval);
            continue;
        }
        m_watchRevision = std::max(m_watchRevision, changes.revision);
        applyObjects(changes.objects);
    }
}

bool StoreReader::listDocuments()
{
    const Instant startTime = ProcessClock::now();
    const StoreListing listing = m_targets.store.list(DocumentKeyPrefix);
    if (listing.outcome != StoreOutcome::Done) {
        return false;
    }
    m_watchRevision = listing.revision;
    applyObjects(listing.objects);
    m_targets.gate.confirm(startTime);
    return true;
}

void StoreReader::applyObjects(const std::vector<StoreObject> &objects)
{
    std::vector<ServiceName> changed;
    for (const StoreObject &object : objects) {
        const ServiceName service(object.key.substr(std::string_view(DocumentKeyPrefix).size()));
        // The value is passed on to peers; up to twenty earlier texts in it would exceed the bandwidth limit of control traffic.
        const std::string value = withoutHistory(object.value);
        if (m_targets.table.apply(service, object.revision, value) != DocumentApplyResult::Stale) {
            changed.push_back(service);
        }
    }
    if (!changed.empty()) {
        m_targets.documents.applyChanges();
        m_targets.peers.send(m_targets.gossip.announce(changed));
    }
}

void StoreReader::readLists()
{
    std::map<std::string, Instant> lastReads;
    while (!m_stopping.HasBeenNotified()) {
        for (const std::string &list : m_targets.documents.instanceLists()) {
            // A list that has not been read yet is read at once, since its services have no upstreams until then.
            const auto last = lastReads.find(list);
            const Instant now = ProcessClock::now();
            if (last != lastReads.end() && now - last->second < m_options.listInterval) {
                continue;
            }
            const InstanceListing listing = m_instanceList.read(list);
            if (listing.outcome == StoreOutcome::Done) {
                lastReads[list] = now;
                m_targets.documents.updateList(list, listing.instances);
            }
        }
        const Instant now = ProcessClock::now();
        if (!m_options.peerList.empty() && now - m_lastPeerListRead >= m_options.listInterval) {
            m_lastPeerListRead = now;
            readPeerList();
        }
        m_stopping.WaitForNotificationWithTimeout(PollInterval);
    }
}

void StoreReader::readPeerList()
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
