#pragma once

#include "instance/documentapplier.h"
#include "instance/peerlink.h"

#include <filbertmount/replication/freshnessgate.h>
#include <filbertmount/replication/storereadschedule.h>

#include <absl/synchronization/notification.h>

#include <thread>

namespace Filbertmount {

/** Reads instance lists, and documents as far as the read schedule assigns them to this instance, on its own threads. */
class StoreReader
{
public:
    struct Options {
        HttpStoreOptions store;
        StoreReadSchedule::Options schedule;
        /** Service name of the entry instances in the platform's instance list; empty if peers are not read from the list. */
        std::string peerList;
        /** Time between two reads of the same instance list. */
        Duration listInterval = std::chrono::seconds(1);
    };
    /** The modules that receive what is read. All must outlive the reader. */
    struct Targets {
        HttpObjectStore &store;
        DocumentTable &table;
        DocumentApplier &documents;
        FreshnessGate &gate;
        DocumentGossip &gossip;
        PeerLink &peers;
    };

    StoreReader(Options options, const Targets &targets);
    StoreReader(const StoreReader &) = delete;
    StoreReader &operator=(const StoreReader &) = delete;
    /** Waits for the store calls in progress. */
    ~StoreReader();

private:
    void watchDocuments();
    void readLists();
    void readPeerList();
    bool listDocuments();
    void applyObjects(const std::vector<StoreObject> &objects);

    const Options m_options;
    Targets m_targets;
    InstanceList m_instanceList;
    StoreReadSchedule m_schedule;
    /** Store revision from which the next watch continues. */
    Revision m_watchRevision;
    absl::Notification m_stopping;
    std::thread m_documentThread;
    Instant m_lastPeerListRead;
    std::thread m_listThread;
};

} // namespace Filbertmount
