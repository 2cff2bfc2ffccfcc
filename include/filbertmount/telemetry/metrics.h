#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace Filbertmount {

using MetricLabels = std::map<std::string, std::string>;

/** Name and help text of a metric family. */
struct MetricInfo {
    const char *name;
    const char *help;
};

/** All metrics of filbertmountd; docs/logs-and-metrics.md lists them with their labels. */
namespace MetricNames {
inline constexpr MetricInfo Requests{"filbertmount_requests_total", "Requests answered, by service and status class"};
inline constexpr MetricInfo Attempts{"filbertmount_attempts_total", "Attempts at upstreams, by service and outcome"};
inline constexpr MetricInfo Refusals{"filbertmount_refusals_total", "Requests refused by filbertmount, by service and reason"};
inline constexpr MetricInfo RequestSeconds{"filbertmount_request_seconds", "Time from the request's header to the answer's end"};
inline constexpr MetricInfo PlacementSeconds{"filbertmount_placement_seconds", "Time from asking for an upstream to getting one"};
inline constexpr MetricInfo InFlight{"filbertmount_requests_in_flight", "Requests in progress"};
inline constexpr MetricInfo PeerMessages{"filbertmount_peer_messages_total", "Messages between entry instances, by direction"};
inline constexpr MetricInfo PeerBytes{"filbertmount_peer_bytes_total", "Bytes between entry instances, by direction"};
inline constexpr MetricInfo PeerDropped{"filbertmount_peer_dropped_total", "Peer messages dropped, by reason"};
inline constexpr MetricInfo StoreCalls{"filbertmount_store_calls_total",
                                       "Calls of the platform's store, by operation and outcome"};
inline constexpr MetricInfo StoreEra{"filbertmount_store_era", "Era of the platform's store; 0 if it states none"};
inline constexpr MetricInfo StoreReturns{"filbertmount_store_returns_total",
                                         "Returns of the platform's store from an older copy"};
inline constexpr MetricInfo ConfigurationDefects{"filbertmount_configuration_defects_total",
                                                 "Parts of configurations that could not be used as written."};
inline constexpr MetricInfo RejectedObjects{"filbertmount_store_objects_rejected_total",
                                            "Revisions of objects of the store that could not be used"};
inline constexpr MetricInfo Claims{"filbertmount_claims_total", "Idempotency key claims, by service and decision"};
inline constexpr MetricInfo Probes{"filbertmount_probes_total", "Probes of upstreams, by service and result"};
inline constexpr MetricInfo ProbeSeconds{"filbertmount_probe_slot_seconds_total",
                                         "Upstream slot time spent on probes, by service"};
inline constexpr MetricInfo DocumentRevision{"filbertmount_document_revision", "Revision of the document in force, by service"};
inline constexpr MetricInfo Quarantined{"filbertmount_quarantined_total",
                                        "Requests refused because they crash upstreams, by service"};
inline constexpr MetricInfo AccountRequests{"filbertmount_account_requests_total",
                                            "Requests at the entry, by client account and outcome"};
inline constexpr MetricInfo ZoneEvacuated{"filbertmount_zone_evacuated",
                                          "1 while this instance sends no requests to the zone's upstreams, by zone"};
inline constexpr MetricInfo WarmupChanges{"filbertmount_warmup_changes_total",
                                          "Upstreams that turned cold or warm, by service, state and reason"};
inline constexpr MetricInfo ZoneExits{"filbertmount_zone_exits_total",
                                      "Attempts sent to another zone, by service, zones and reason"};
inline constexpr MetricInfo ZoneExitBytes{"filbertmount_zone_exit_bytes_total",
                                          "Bytes of requests and responses between zones, by service and zones"};
inline constexpr MetricInfo Members{"filbertmount_members", "Entry instances seen alive"};
inline constexpr MetricInfo KnownInstances{"filbertmount_known_instances", "Entry instances that may be running"};
inline constexpr MetricInfo QuotaDecisions{"filbertmount_quota_decisions_total",
                                           "Requests of accounts with a limit, by outcome of the quota"};
inline constexpr MetricInfo QuotaBuckets{"filbertmount_quota_buckets", "Accounts whose tokens this instance grants"};
inline constexpr MetricInfo QuotaWaiting{"filbertmount_quota_waiting", "Requests that wait for a token of their account"};
inline constexpr MetricInfo QuotaLeading{"filbertmount_quota_leading", "1 while this instance assigns accounts to owners"};
} // namespace MetricNames

/**
 * The metrics registry of one process. Thread-safe. Returned references are valid for the lifetime of this object; code that
 * runs for each request should store them, since a lookup allocates.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    prometheus::Counter &counter(const MetricInfo &info, const MetricLabels &labels = {});
    prometheus::Gauge &gauge(const MetricInfo &info, const MetricLabels &labels = {});
    /** The buckets range from 100 microseconds to 30 seconds. */
    prometheus::Histogram &histogram(const MetricInfo &info, const MetricLabels &labels = {});

    /** Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string exposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace Filbertmount
