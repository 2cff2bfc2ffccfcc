#include <filbertmount/document/parseservicedocument.h>

#include "document/byteunits.h"
#include "document/documentchecks.h"
#include "document/tomltable.h"

#include <algorithm>

namespace Filbertmount {

namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int MaxSlots = 1000;
constexpr int MaxConnections = 100'000;
constexpr int MaxAttempts = 3; // Filbertmount-Retries-Left starts at 2, so a fourth attempt is never made.
constexpr int MaxQueue = 100'000;
constexpr std::size_t MaxRoutes = 200;
constexpr std::size_t MaxHosts = 50;
constexpr std::size_t MaxAddresses = 1000;

// Name of the list of entry instances; a service of this name would collide with it.
constexpr std::string_view ReservedName = "filbertmount";

void readHosts(TomlTable &root, std::vector<std::string> &hosts)
{
    if (!root.readStringArray("hosts", hosts, checkHost)) {
        return;
    }
    std::vector<std::string> sorted = hosts;
    std::sort(sorted.begin(), sorted.end());
    const auto duplicate = std::adjacent_find(sorted.begin(), sorted.end());
    if (duplicate != sorted.end()) {
        root.report("hosts", "expected each host once, found \"" + *duplicate + "\" twice");
    }
    if (hosts.size() > MaxHosts) {
        root.report("hosts", "expected at most " + std::to_string(MaxHosts) + " hosts");
    }
}

void readIdentity(TomlTable &root, ServiceDocument &document)
{
    std::string service;
    root.requireKey("service", "the name of the service");
    if (root.readString("service", service, checkName) && service == ReservedName) {
        root.report("service", "expected another name: \"filbertmount\" is reserved for the entry instances");
    }
    document.service = ServiceName(service);
    std::string team;
    root.requireKey("team", "the name of the team that owns the service");
    root.readString("team", team, checkName);
    document.team = TeamName(team);
    readHosts(root, document.hosts);
    if (document.hosts.empty() && !root.has("hosts")) {
        document.hosts.push_back(service);
    }
    if (document.hosts.empty()) {
        root.report("hosts", "expected at least one host name, or no \"hosts\" key to use the service name");
    }
}

StaticUpstream readStaticUpstream(TomlTable &table)
{
    StaticUpstream upstream;
    table.requireKey("address", "\"IP:port\" of one upstream");
    table.readString("address", upstream.address, checkUpstreamAddress);
    std::string zone;
    table.readString("zone", zone, checkName);
    upstream.zone = AvailabilityZone(zone);
    return upstream;
}

void readAddressEntry(const toml::node &node, const std::string &path, IssueCollector &issues, UpstreamSource &source)
{
    if (node.is_table()) {
        TomlTable table(*node.as_table(), path + ".", issues);
        source.addresses.push_back(readStaticUpstream(table));
        table.reportUnknownKeys();
        return;
    }
    const std::string address = node.value_exact<std::string>().value_or("");
    const std::string expected = checkUpstreamAddress(address);
    if (!expected.empty()) {
        issues.add(node.source().begin.line, path, "expected " + expected + ", found \"" + address + "\"");
        return;
    }
    source.addresses.push_back({.address = address});
}

void checkAddresses(TomlTable &table, const std::vector<StaticUpstream> &addresses)
{
    std::vector<std::string> sorted;
    sorted.reserve(addresses.size());
    for (const StaticUpstream &upstream : addresses) {
        sorted.push_back(upstream.address);
    }
    std::sort(sorted.begin(), sorted.end());
    const auto duplicate = std::adjacent_find(sorted.begin(), sorted.end());
    if (duplicate != sorted.end()) {
        table.report("addresses", "expected each address once, found \"" + *duplicate + "\" twice");
    }
    if (sorted.empty() || sorted.size() > MaxAddresses) {
        table.report("addresses", "expected 1 to " + std::to_string(MaxAddresses) + " valid addresses");
    }
}

void readUpstreams(TomlTable &table, UpstreamSource &source)
{
    table.readString("list", source.list, checkName);
    const bool hasAddresses = table.readArray("addresses", [&](const toml::node &node, const std::string &path) {
        readAddressEntry(node, path, table.issues(), source);
    });
    if (hasAddresses) {
        checkAddresses(table, source.addresses);
    }
    if (table.has("list") == table.has("addresses")) {
        table.report("list", "expected exactly one of upstreams.list and upstreams.addresses");
    }
    table.readInteger("slots", source.slots, {1, MaxSlots});
    table.readInteger("connections", source.connections, {1, MaxConnections});
    table.readDuration("cold_start", source.coldStart, {seconds(0), minutes(10)});
    if (source.slots > source.connections) {
        table.report(table.has("slots") ? "slots" : "connections",
                     "expected at most as many slots as connections, found " + std::to_string(source.slots) + " slots and "
                         + std::to_string(source.connections) + " connections");
    }
}

void readRoute(TomlTable &table, std::vector<Route> &routes)
{
    Route route;
    table.requireKey("path", "a path pattern such as \"/orders/*\"");
    table.readString("method", route.method, checkMethod);
    table.readString("path", route.path, checkPathPattern);
    table.readDuration("deadline", route.deadline, {milliseconds(1), hours(1)});
    table.readBool("repeatable", route.repeatable);
    table.readChoice("priority", route.priority, {{"interactive", Priority::Interactive}, {"patient", Priority::Patient}});
    for (std::size_t index = 0; index < routes.size(); ++index) {
        if (covers(routes[index], route)) {
            table.report("path", "unreachable: routes[" + std::to_string(index + 1) + "] matches the same requests first");
            break;
        }
    }
    routes.push_back(std::move(route));
}

void readRoutes(TomlTable &root, std::vector<Route> &routes)
{
    const bool present = root.readTableArray("routes", [&](TomlTable &table) {
        readRoute(table, routes);
    });
    if (!present) {
        routes = {Route{}};
    }
    if (routes.empty() || routes.size() > MaxRoutes) {
        root.report("routes",
                    "expected 1 to " + std::to_string(MaxRoutes) + " routes, or no \"routes\" key to use one default route");
    }
}

void readMeasuring(TomlTable &table, MeasuringSettings &measuring)
{
    table.readNumber("budget_percent", measuring.budgetPercent, {0, 25});
    table.readString("probe_path", measuring.probePath, checkProbePath);
    table.readDuration("probe_cost", measuring.probeCost, {microseconds(100), seconds(10)});
}

void readRetries(TomlTable &table, RetrySettings &retries)
{
    table.readNumber("budget_percent", retries.budgetPercent, {0, 100});
    table.readInteger("attempts", retries.attempts, {1, MaxAttempts});
    if (table.has("attempts") && retries.attempts > 1 && retries.budgetPercent == 0) {
        table.report("attempts", "expected 1 attempt, because retries.budget_percent is 0");
    }
}

void readLimits(TomlTable &table, LimitSettings &limits)
{
    table.readInteger("queue", limits.queue, {0, MaxQueue});
    table.readInteger("max_header_bytes", limits.maxHeaderBytes, {KibiByte, MebiByte});
    table.readInteger("max_body_bytes", limits.maxBodyBytes, {0, GibiByte});
}

void checkHedging(TomlTable &table, const ServiceDocument &document)
{
    if (!table.has("budget_percent") || document.hedging.budgetPercent == 0) {
        return;
    }
    const bool repeatable = std::any_of(document.routes.begin(), document.routes.end(), [](const Route &route) {
        return route.repeatable;
    });
    if (!repeatable) {
        table.report("budget_percent", "expected 0, because no route is repeatable and only repeatable routes are hedged");
    }
    if (document.retries.attempts == 1) {
        table.report("budget_percent", "expected 0, because retries.attempts is 1 and a hedge is a second attempt");
    }
}

// If the claim of an idempotency key expired while its request may still run, a retry could claim the key and run it again.
void checkRetention(TomlTable &table, const ServiceDocument &document)
{
    for (const Route &route : document.routes) {
        if (!route.repeatable && route.deadline > document.claims.retention) {
            table.report("retention",
                         "expected at least the deadline " + durationText(route.deadline) + " of the route \"" + route.path
                             + "\"");
            return;
        }
    }
}

void readDocument(TomlTable &root, ServiceDocument &document)
{
    readIdentity(root, document);
    root.requireKey("upstreams", "a table with the keys list or addresses");
    root.readTable("upstreams", [&](TomlTable &table) {
        readUpstreams(table, document.upstreams);
    });
    readRoutes(root, document.routes);
    root.readTable("measuring", [&](TomlTable &table) {
        readMeasuring(table, document.measuring);
    });
    root.readTable("retries", [&](TomlTable &table) {
        readRetries(table, document.retries);
    });
    root.readTable("hedging", [&](TomlTable &table) {
        table.readNumber("budget_percent", document.hedging.budgetPercent, {0, 50});
        checkHedging(table, document);
    });
    root.readTable("limits", [&](TomlTable &table) {
        readLimits(table, document.limits);
    });
    root.readTable("weights", [&](TomlTable &table) {
        table.readNumber("tail_latency", document.weights.tailLatency, {0, 1});
    });
    root.readTable("claims", [&](TomlTable &table) {
        table.readDuration("retention", document.claims.retention, {minutes(1), hours(24 * 30)});
        checkRetention(table, document);
    });
    root.reportUnknownKeys();
}

} // namespace

Result<ServiceDocument> parseServiceDocument(std::string_view text, const std::string &fileName)
{
    IssueCollector issues(fileName);
    if (text.size() > MaxDocumentBytes) {
        issues.add(0, "", "expected at most " + std::to_string(MaxDocumentBytes) + " bytes");
        return issues.failure(Step::ReadDocument);
    }
    const toml::table table = parseToml(text, issues);
    if (!issues.empty()) {
        return issues.failure(Step::ReadDocument);
    }
    ServiceDocument document;
    TomlTable root(table, "", issues);
    readDocument(root, document);
    if (!issues.empty()) {
        return issues.failure(Step::ReadDocument);
    }
    return document;
}

} // namespace Filbertmount
