#include <filbertmount/settings/parseinstancesettings.h>

#include <filbertmount/document/parseservicedocument.h>

#include "document/byteunits.h"
#include "document/documentchecks.h"
#include "document/tomltable.h"
#include "settings/settingschecks.h"

#include <absl/random/random.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Filbertmount {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int MaxWorkers = 256;
constexpr int MaxConnections = 100'000;
constexpr int MaxEntryInstances = 10'000;
constexpr std::size_t MaxTokensPerTeam = 4;

InstanceId randomInstanceId()
{
    absl::BitGen random;
    std::array<char, 17> text{};
    const auto number = absl::Uniform<std::uint64_t>(random);
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return InstanceId("entry-" + std::string(text.data()));
}

std::string checkFileName(const std::string &text)
{
    return text.empty() ? "a file name" : std::string();
}

std::string checkTokenHash(const std::string &text)
{
    // The error must not contain the text, which may be a token that was pasted by mistake.
    return parseTokenHash(text) ? std::string() : "the SHA-256 of the token as 64 hexadecimal digits";
}

void readIdentity(TomlTable &table, IdentitySettings &identity)
{
    std::string id = identity.id.value();
    table.readString("id", id, checkName);
    identity.id = InstanceId(id);
    std::string region;
    table.requireKey("region", "the name of the region");
    table.readString("region", region, checkName);
    identity.region = Region(region);
    std::string zone;
    table.requireKey("zone", "the name of the availability zone");
    table.readString("zone", zone, checkName);
    identity.zone = AvailabilityZone(zone);
    table.readString("cluster", identity.cluster, checkName);
}

void readEndpoint(TomlTable &table, std::string_view key, Endpoint &endpoint, const StringCheck &check)
{
    std::string text;
    if (table.readString(key, text, check)) {
        endpoint = parseEndpoint(text).value_or(endpoint);
    }
}

void readAddresses(TomlTable &table, AddressSettings &addresses)
{
    readEndpoint(table, "callers", addresses.callers, checkEndpoint);
    table.requireKey("administration", "\"IP:port\" of the administration API");
    readEndpoint(table, "administration", addresses.administration, checkAdvertisedAddress);
    table.requireKey("peers", "\"IP:port\" of the peer port");
    readEndpoint(table, "peers", addresses.peers, checkAdvertisedAddress);
    const auto conflicts = [](const Endpoint &left, const Endpoint &right) {
        return left.port == right.port && left.port != 0 && (left.ip == right.ip || left.wildcard() || right.wildcard());
    };
    if (conflicts(addresses.callers, addresses.administration) || conflicts(addresses.peers, addresses.administration)) {
        table.report("administration", "expected a port of its own, found that of another address");
    } else if (conflicts(addresses.callers, addresses.peers)) {
        table.report("peers", "expected a port of its own, found that of the callers");
    }
}

void readPeers(TomlTable &table, PeerSettings &peers)
{
    std::vector<std::string> texts;
    table.readStringArray("addresses", texts, checkRemoteAddress);
    for (const std::string &text : texts) {
        peers.addresses.push_back(parseEndpoint(text).value_or(Endpoint{}));
    }
    table.readString("instance_list", peers.instanceList, checkName);
}

void readStore(TomlTable &table, StoreSettings &store)
{
    Endpoint endpoint;
    table.requireKey("address", "\"IP:port\" of the store");
    readEndpoint(table, "address", endpoint, checkRemoteAddress);
    store.address = endpoint;
    table.readDuration("timeout", store.timeout, {milliseconds(10), minutes(1)});
}

void readLimits(TomlTable &table, InstanceLimits &limits)
{
    table.readInteger("workers", limits.workers, {1, MaxWorkers});
    table.readInteger("connections", limits.connections, {1, MaxConnections});
    table.readInteger("max_header_bytes", limits.maxHeaderBytes, {KibiByte, MebiByte});
    table.readInteger("max_body_bytes", limits.maxBodyBytes, {0, GibiByte});
    table.readDuration("request_timeout", limits.requestTimeout, {milliseconds(100), hours(1)});
    table.readDuration("idle_timeout", limits.idleTimeout, {milliseconds(100), hours(1)});
    table.readDuration("connect_timeout", limits.connectTimeout, {milliseconds(10), minutes(1)});
    table.readInteger("entry_instances", limits.entryInstances, {1, MaxEntryInstances});
    if (limits.connections < limits.workers) {
        table.report("connections",
                     "expected at least one connection for each of the " + std::to_string(limits.workers) + " workers");
    }
}

void readTokens(TomlTable &table, TeamSettings &team)
{
    const bool present = table.readArray("tokens_sha256", [&](const toml::node &node, const std::string &path) {
        const std::string text = node.value_exact<std::string>().value_or("");
        const std::string expected = checkTokenHash(text);
        if (!expected.empty()) {
            table.issues().add(node.source().begin.line, path, "expected " + expected);
            return;
        }
        team.tokens.push_back(parseTokenHash(text).value_or(TokenHash{}));
    });
    const std::size_t count = present ? team.tokens.size() : 1;
    if (count == 0 || count > MaxTokensPerTeam) {
        table.report("tokens_sha256", "expected 1 to " + std::to_string(MaxTokensPerTeam) + " valid hashes");
    }
}

void checkTeamUnique(TomlTable &table, const TeamSettings &team, const std::vector<TeamSettings> &others)
{
    for (const TeamSettings &other : others) {
        if (other.name == team.name) {
            table.report("name", "expected each team once, found \"" + team.name.value() + "\" twice");
        }
        const bool shared = std::any_of(team.tokens.begin(), team.tokens.end(), [&](const TokenHash &token) {
            return std::find(other.tokens.begin(), other.tokens.end(), token) != other.tokens.end();
        });
        if (shared) {
            table.report("tokens_sha256", "expected a token of its own, found that of team \"" + other.name.value() + "\"");
        }
    }
}

void readTeam(TomlTable &table, std::vector<TeamSettings> &teams)
{
    TeamSettings team;
    std::string name;
    table.requireKey("name", "the name of the team");
    table.readString("name", name, checkName);
    team.name = TeamName(name);
    table.requireKey("tokens_sha256", "an array of SHA-256 hashes of the team's tokens");
    readTokens(table, team);
    checkTeamUnique(table, team, teams);
    teams.push_back(std::move(team));
}

void checkDocumentSources(TomlTable &root, const InstanceSettings &settings)
{
    const bool store = settings.store.address.has_value();
    if (store && !settings.documentFiles.empty()) {
        root.report("documents", "expected no files, because the documents come from the store");
    }
    if (!store && !settings.peers.instanceList.empty()) {
        root.report("peers", "expected no instance_list, because there is no store to read it from");
    }
    if (!store && settings.documentFiles.empty() && settings.peers.addresses.empty()) {
        root.report("store", "missing, expected a store, documents or peers.addresses to get documents from");
    }
}

void readSettings(TomlTable &root, InstanceSettings &settings)
{
    root.requireKey("instance", "a table with region and zone");
    root.readTable("instance", [&](TomlTable &table) {
        readIdentity(table, settings.identity);
    });
    root.requireKey("addresses", "a table with administration and peers");
    root.readTable("addresses", [&](TomlTable &table) {
        readAddresses(table, settings.addresses);
    });
    root.readTable("peers", [&](TomlTable &table) {
        readPeers(table, settings.peers);
    });
    root.readTable("store", [&](TomlTable &table) {
        readStore(table, settings.store);
    });
    root.readTable("limits", [&](TomlTable &table) {
        readLimits(table, settings.limits);
    });
    root.readStringArray("documents", settings.documentFiles, checkFileName);
    root.readTableArray("teams", [&](TomlTable &table) {
        readTeam(table, settings.reloadable.teams);
    });
    root.readDuration("drain_grace", settings.reloadable.drainGrace, {seconds(0), hours(1)});
    root.readChoice(
        "log_level",
        settings.reloadable.logLevel,
        {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}});
    checkDocumentSources(root, settings);
    root.reportUnknownKeys();
}

int hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const char lower = static_cast<char>(character | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::optional<TokenHash> parseTokenHash(std::string_view text)
{
    TokenHash hash{};
    if (text.size() != hash.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < hash.size(); ++index) {
        const int high = hexDigit(text[index * 2]);
        const int low = hexDigit(text[index * 2 + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        hash[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return hash;
}

Result<InstanceSettings> parseInstanceSettings(std::string_view text, const std::string &fileName)
{
    IssueCollector issues(fileName);
    const toml::table table = parseToml(text, issues);
    if (!issues.empty()) {
        return issues.failure(Step::ReadSettings);
    }
    InstanceSettings settings;
    settings.identity.id = randomInstanceId();
    TomlTable root(table, "", issues);
    readSettings(root, settings);
    if (!issues.empty()) {
        return issues.failure(Step::ReadSettings);
    }
    return settings;
}

Result<InstanceSettings> readInstanceSettings(const std::string &fileName)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(fileName));
    return parseInstanceSettings(text, fileName);
}

} // namespace Filbertmount
