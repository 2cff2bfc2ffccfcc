#pragma once

#include "instance/peerlink.h"
#include "instance/upstreamwatch.h"

#include <filbertmount/admin/adminsources.h>
#include <filbertmount/replication/documenttable.h>
#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/telemetry/metrics.h>

namespace Filbertmount {

/** The modules that the administration API reports on; all outlive the port. */
struct AdminModules {
    InstanceId instance;
    DocumentTable &table;
    Router &router;
    UpstreamWatch &watch;
    PeerLink &peers;
    EventRing &events;
    Metrics &metrics;
    /** Null without a store. */
    HttpObjectStore *store = nullptr;
    std::function<ReadinessReport()> readiness;
    /** Takes an accepted change over at once. */
    std::function<void(const ServiceName &, Revision, const std::string &)> accepted;
};

AdminSources adminSources(const AdminModules &modules);

} // namespace Filbertmount
