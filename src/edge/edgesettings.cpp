#include <filbertmount/edge/edgesettings.h>

#include "document/documentchecks.h"
#include "document/tomltable.h"
#include "settings/settingschecks.h"

namespace Filbertmount {

namespace {

constexpr int MaxPort = 65535;
constexpr int MinDescriptors = 64;
constexpr int MaxDescriptors = 1 << 20;
constexpr double MaxSeconds = 3600;
constexpr double MaxExtraRetries = 1e6;
constexpr int MinMemoryMegabytes = 32;
constexpr int MaxMemoryMegabytes = 1 << 20;
constexpr double MinProcessors = 0.001;
constexpr double MaxProcessors = 1024;
constexpr double MaxOwnZoneAdvantage = 100;
constexpr double MaxOvershoot = 100;
constexpr double MaxExtraRequests = 1e6;
constexpr double MaxCrossingMs = 10'000;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void requireText(TomlTable &table,
                 std::string_view key,
                 const std::string &expected,
                 std::string &target,
                 const StringCheck &check)
{
    if (!table.has(key)) {
        table.requireKey(key, expected);
        return;
    }
    table.readString(key, target, check);
}

void requireNumber(TomlTable &table, std::string_view key, const std::string &expected, double &target, Range<double> range)
{
    if (!table.has(key)) {
        table.requireKey(key, expected);
        return;
    }
    table.readNumber(key, target, range);
}

void requirePort(TomlTable &table, std::string_view key, int &target)
{
    if (!table.has(key)) {
        table.requireKey(key, "a port from 1 to 65535");
        return;
    }
    table.readInteger(key, target, {.lowest = 1, .highest = MaxPort});
}

Endpoint requireAddress(TomlTable &table, std::string_view key, const StringCheck &check)
{
    std::string text;
    requireText(table, key, "\"IP:port\"", text, check);
    return parseEndpoint(text).value_or(Endpoint());
}

std::string checkIp(const std::string &text)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(text + ":1");
    return endpoint && !endpoint->wildcard() ? std::string() : "the IP address at which other instances reach this one";
}

void readInstance(TomlTable &table, EdgeSettings &settings)
{
    std::string zone;
    std::string region;
    requireText(table, "name", "the name of the machine", settings.name, checkName);
    requireText(table, "zone", "the name of the availability zone", zone, checkName);
    requireText(table, "region", "the name of the region", region, checkName);
    requireText(table, "ip", "the IP address of this instance", settings.ip, checkIp);
    settings.zone = AvailabilityZone(zone);
    settings.region = Region(region);
    table.readChoice<LogLevel>(
        "log_level",
        settings.logLevel,
        {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}});
}

void readListen(TomlTable &table, EdgeSettings &settings)
{
    settings.callers = requireAddress(table, "callers", checkEndpoint);
    settings.readiness = requireAddress(table, "readiness", checkEndpoint);
    requirePort(table, "peer_port", settings.peerPort);
    requirePort(table, "metrics_port", settings.metricsPort);
}

void readRetries(TomlTable &table, FleetRetryBudget &retries)
{
    double window = std::chrono::duration<double>(retries.window).count();
    requireNumber(table, "share", "retries per request, from 0 to 1", retries.share, {.lowest = 0, .highest = 1});
    requireNumber(table, "extra", "retries beyond the share", retries.extra, {.lowest = 0, .highest = MaxExtraRetries});
    requireNumber(table, "window_s", "a time in seconds from 1 to 3600", window, {.lowest = 1, .highest = MaxSeconds});
    retries.window = toDuration(window);
}

void readQuotas(TomlTable &table, QuotaSettings &quotas)
{
    double window = std::chrono::duration<double>(quotas.window).count();
    table.readNumber("window_s", window, {.lowest = 1, .highest = MaxSeconds});
    table.readNumber("overshoot", quotas.overshoot, {.lowest = 0, .highest = MaxOvershoot});
    table.readNumber("slack", quotas.slack, {.lowest = 0, .highest = MaxExtraRequests});
    quotas.window = toDuration(window);
}

void readWarmup(TomlTable &table, WarmupSettings &warmup)
{
    table.readNumber("overshoot", warmup.overshoot, {.lowest = 1, .highest = MaxOvershoot});
    table.readNumber("slack", warmup.slack, {.lowest = 0, .highest = MaxExtraRequests});
}

void readOptionalNumber(TomlTable &table, std::string_view key, std::optional<double> &target, Range<double> range)
{
    double value = 0;
    if (table.readNumber(key, value, range)) {
        target = value;
    }
}

void readZones(TomlTable &table, ZoneSettings &zones)
{
    table.readBool("evacuations", zones.evacuations);
    readOptionalNumber(table, "crossing_ms_per_kb", zones.crossingMsPerKilobyte, {.lowest = 0, .highest = MaxCrossingMs});
    readOptionalNumber(table, "crossing_ms", zones.crossingMs, {.lowest = 0, .highest = MaxCrossingMs});
    table.readTableArray("zone", [&zones](TomlTable &entry) {
        std::string name;
        std::string region;
        requireText(entry, "name", "the name of an availability zone", name, checkName);
        requireText(entry, "region", "the name of its region", region, checkName);
        zones.regions[AvailabilityZone(name)] = Region(region);
    });
}

void readSections(TomlTable &root, EdgeSettings &settings)
{
    for (const std::string_view section : {"instance", "listen", "store", "shutdown", "retries"}) {
        if (!root.has(section)) {
            root.requireKey(section, "a table");
        }
    }
    root.readTable("instance", [&](TomlTable &table) {
        readInstance(table, settings);
    });
    root.readTable("listen", [&](TomlTable &table) {
        readListen(table, settings);
    });
    root.readTable("store", [&](TomlTable &table) {
        settings.store = requireAddress(table, "address", checkRemoteAddress);
    });
    root.readTable("shutdown", [&](TomlTable &table) {
        double seconds = 0;
        requireNumber(table, "grace_s", "a time in seconds from 0.1 to 3600", seconds, {.lowest = 0.1, .highest = MaxSeconds});
        settings.shutdownGrace = toDuration(seconds);
    });
    root.readTable("retries", [&](TomlTable &table) {
        readRetries(table, settings.retries);
    });
    root.readTable("fleet", [&](TomlTable &table) {
        std::vector<std::string> addresses;
        table.readStringArray("seeds", addresses, checkEndpoint);
        for (const std::string &address : addresses) {
            settings.seeds.push_back(parseEndpoint(address).value_or(Endpoint()).ip);
        }
    });
    root.readTable("limits", [&](TomlTable &table) {
        table.readInteger("descriptors", settings.descriptors, {.lowest = MinDescriptors, .highest = MaxDescriptors});
        table.readInteger("memory_mb", settings.memoryMegabytes, {.lowest = MinMemoryMegabytes, .highest = MaxMemoryMegabytes});
        table.readNumber("processors", settings.processors, {.lowest = MinProcessors, .highest = MaxProcessors});
    });
    root.readTable("routing", [&](TomlTable &table) {
        table.readNumber("own_zone_advantage", settings.ownZoneAdvantage, {.lowest = 1, .highest = MaxOwnZoneAdvantage});
    });
    root.readTable("quotas", [&](TomlTable &table) {
        readQuotas(table, settings.quotas.emplace());
    });
    root.readTable("warmup", [&](TomlTable &table) {
        readWarmup(table, settings.warmup.emplace());
    });
    root.readTable("zones", [&](TomlTable &table) {
        readZones(table, settings.zones);
    });
    root.reportUnknownKeys();
}

} // namespace

Result<EdgeSettings> parseEdgeSettings(const std::string &text, const std::string &file)
{
    IssueCollector issues(file);
    const toml::table table = parseToml(text, issues);
    EdgeSettings settings;
    if (issues.empty()) {
        TomlTable root(table, "", issues);
        readSections(root, settings);
    }
    if (!issues.empty()) {
        return issues.failure(Step::ReadSettings);
    }
    return settings;
}

Result<EdgeSettings> readEdgeSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(file));
    return parseEdgeSettings(text, file);
}

} // namespace Filbertmount
