#pragma once

#include "instance/documentfollower.h"
#include "instance/peerlink.h"

#include <filbertmount/replication/freshnessgate.h>
#include <filbertmount/replication/storereadschedule.h>

#include <absl/synchronization/notification.h>

#include <thread>

namespace Filbertmount {

/** Reads documents and instance lists from the store, on threads of its own, as far as this is the instance's task. */
class StoreFollower
{
public:
    struct Options {
        HttpStoreOptions store;
        StoreReadSchedule::Options schedule;
        /** Service name of the entry instances in the instance list; empty to leave the list alone. */
        std::string peerList;
        /** Time between two reads of the instance lists. */
        Duration listInterval = std::chrono::seconds(1);
    };
    /** All outlive the follower. */
    struct Targets {
        HttpObjectStore &store;
        DocumentTable &table;
        DocumentFollower &documents;
        FreshnessGate &gate;
        DocumentGossip &gossip;
        PeerLink &peers;
    };

    StoreFollower(Options options, const Targets &targets);
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;
    /** Waits for the calls under way. */
    ~StoreFollower();

private:
    void watchDocuments();
    void readLists();
    void readPeerList();
    bool listDocuments();
    void take(const std::vector<StoreObject> &objects);

    const Options m_options;
    Targets m_targets;
    InstanceList m_instanceList;
    StoreReadSchedule m_schedule;
    Revision m_watchedUpTo;
    absl::Notification m_stopping;
    std::thread m_watcher;
    Instant m_peersReadAt;
    std::thread m_lister;
};

} // namespace Filbertmount
