#pragma once

#include "instance/peerlink.h"
#include "instance/upstreammonitor.h"

#include <filbertmount/admin/adminsources.h>
#include <filbertmount/replication/documenttable.h>
#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/telemetry/metrics.h>

namespace Filbertmount {

/** The modules that the administration API reads. All must outlive the administration port. */
struct AdminModules {
    InstanceId instance;
    DocumentTable &table;
    Router &router;
    UpstreamMonitor &upstreamMonitor;
    PeerLink &peers;
    EventRing &events;
    Metrics &metrics;
    /** Null if no store is configured. */
    HttpObjectStore *store = nullptr;
    std::function<ReadinessReport()> readiness;
    /** Applies a change that the store accepted, without waiting for the store watch to report it. */
    std::function<void(const ServiceName &, Revision, const std::string &)> onAccepted;
};

AdminSources adminSources(const AdminModules &modules);

} // namespace Filbertmount
