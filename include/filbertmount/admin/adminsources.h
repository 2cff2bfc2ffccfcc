#pragma once

#include <filbertmount/admin/documentedit.h>
#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/types/ids.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** A document in force at this instance. */
struct DocumentReport {
    ServiceName service;
    TeamName team;
    Revision revision;
    /** TOML text. */
    std::string text;
};

/** State of an upstream from the view of this instance. */
struct UpstreamReport {
    std::string id;
    std::string address;
    std::string zone;
    /** Such as "live", "draining", "down" or "starting". */
    std::string state;
    int slots = 0;
    int inFlight = 0;
};

/** How often a limit was hit since the start of the process. */
struct LimitReport {
    /** Such as "queue-full" or "retry-budget". */
    std::string name;
    std::uint64_t hits = 0;
};

/** Slot time that the probes of this instance used, and their budget. */
struct MeasuringReport {
    /** Budget in the document, for all instances together, in percent of the upstreams' slot time. */
    double budgetPercent = 0;
    /** Slot time that this instance was allowed to use since the start of the process, in milliseconds. */
    double allowedMs = 0;
    /** Slot time that this instance used since the start of the process, in milliseconds. */
    double spentMs = 0;
    std::uint64_t probes = 0;
};

/** State of one service at this instance. */
struct ServiceReport {
    ServiceName service;
    Revision revision;
    std::vector<UpstreamReport> upstreams;
    std::vector<LimitReport> limits;
    MeasuringReport measuring;
    /** Conditions that need the attention of an operator, one sentence each. */
    std::vector<std::string> remarks;
};

/** State of a member of the cluster from the view of this instance. The list of members includes this instance. */
struct MemberReport {
    InstanceId instance;
    /** "IP:port". */
    std::string adminAddress;
    std::string zone;
    std::string region;
    /** Such as "alive" or "suspect". */
    std::string state;
};

struct ReadinessReport {
    bool ready = false;
    /** Why the instance is not ready. */
    std::string reason;
};

/**
 * Data sources of the administration port, set by EntryInstance. The functions are called concurrently from the threads of the
 * port.
 */
struct AdminSources {
    InstanceId instance;
    std::function<ReadinessReport()> readiness;
    std::function<std::vector<DocumentReport>()> documents;
    std::function<std::optional<ServiceReport>(const ServiceName &)> service;
    std::function<std::vector<MemberReport>()> members;
    /** Returns the events with a sequence number above @p after. */
    std::function<std::vector<Event>(std::uint64_t after)> events;
    /** Returns all metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
    /** Reads the store object of a document; empty if no store is configured. */
    std::function<StoreReply(const ServiceName &)> readStoredDocument;
    /** Applies an edit; empty if no store is configured. */
    std::function<EditReply(const DocumentEdit &)> edit;
    /** Called with the store value of each accepted change, to apply it here and send it to the members; may be empty. */
    std::function<void(const ServiceName &, Revision, const std::string &value)> onAccepted;
};

} // namespace Filbertmount
