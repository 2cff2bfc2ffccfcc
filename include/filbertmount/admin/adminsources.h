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

/** An upstream as this instance sees it. */
struct UpstreamReport {
    std::string id;
    std::string address;
    std::string zone;
    /** Such as "live", "draining", "down" or "starting". */
    std::string state;
    int slots = 0;
    int inFlight = 0;
};

/** How often a limit took effect since the start of the process. */
struct LimitReport {
    /** Such as "queue-full" or "retry-budget". */
    std::string name;
    std::uint64_t hits = 0;
};

/** Cost of measuring against the budget, for this instance. */
struct MeasuringReport {
    /** Of the document, for all instances together, in percent of the upstreams' slot time. */
    double budgetPercent = 0;
    /** Slot time that this instance may spend, and did spend, since the start of the process, in milliseconds. */
    double allowedMs = 0;
    double spentMs = 0;
    std::uint64_t probes = 0;
};

/** What this instance knows of one service. */
struct ServiceReport {
    ServiceName service;
    Revision revision;
    std::vector<UpstreamReport> upstreams;
    std::vector<LimitReport> limits;
    MeasuringReport measuring;
    /** Conditions that an operator should know of, one sentence each. */
    std::vector<std::string> remarks;
};

/** A member as this instance sees it; this instance is in the list as well. */
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
 * Where the administration port gets its data. EntryInstance fills all of it. The functions run on the port's threads,
 * several at once.
 */
struct AdminSources {
    InstanceId instance;
    std::function<ReadinessReport()> readiness;
    std::function<std::vector<DocumentReport>()> documents;
    std::function<std::optional<ServiceReport>(const ServiceName &)> service;
    std::function<std::vector<MemberReport>()> members;
    /** Events whose sequence is above the given one. */
    std::function<std::vector<Event>(std::uint64_t after)> events;
    /** All metrics in Prometheus' text format. */
    std::function<std::string()> metrics;
    /** Reads the object of a document; empty when there is no store. */
    std::function<StoreReply(const ServiceName &)> readStoredDocument;
    /** Applies an edit; empty when there is no store. */
    std::function<EditReply(const DocumentEdit &)> edit;
    /** Told of each accepted change with its store value, so that it can be pushed to the members; may be empty. */
    std::function<void(const ServiceName &, Revision, const std::string &value)> onAccepted;
};

} // namespace Filbertmount
