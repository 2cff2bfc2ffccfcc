#include "edge/statewire.h"

#include "peer/wiretime.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Filbertmount {

namespace {

void write(const UpstreamRecord &record, Wire::SharedUpstream &wire)
{
    wire.set_id(record.id.value());
    wire.set_service(record.service.value());
    wire.set_address(record.address);
    wire.set_zone(record.zone.value());
    wire.set_slots(static_cast<std::uint32_t>(record.slots));
    wire.set_draining(record.isDraining);
    wire.set_incarnation(record.incarnation.value());
    wire.set_warmup_us(toMicroseconds(record.warmupLeft));
}

UpstreamRecord read(const Wire::SharedUpstream &wire)
{
    return {.id = UpstreamId(wire.id()),
            .service = ServiceName(wire.service()),
            .address = wire.address(),
            .zone = AvailabilityZone(wire.zone()),
            .slots = static_cast<int>(std::max(1U, wire.slots())),
            .isDraining = wire.draining(),
            .warmupLeft = fromMicroseconds(wire.warmup_us()),
            .incarnation = Incarnation(wire.incarnation())};
}

std::uint32_t wholeWeight(double weight)
{
    // The largest that earlier versions of this program accept.
    constexpr double highest = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(weight), 1.0, highest));
}

void write(const ForwardRoute &route, Wire::SharedRoute &wire)
{
    wire.set_name(route.name);
    wire.set_host(route.host);
    wire.set_path_prefix(route.pathPrefix);
    wire.set_repeatable(route.isRepeatable);
    wire.set_timeout_us(toMicroseconds(route.timeout));
    wire.set_latency_objective_us(toMicroseconds(route.latencyObjective));
    wire.set_rank(static_cast<std::uint32_t>(route.rank));
    wire.set_max_attempts(static_cast<std::uint32_t>(route.maxAttempts));
    for (const ForwardTarget &target : route.targets) {
        Wire::SharedTarget &item = *wire.add_targets();
        item.set_service(target.service.value());
        item.set_weight(wholeWeight(target.weight));
        item.set_exact_weight(target.weight);
    }
    wire.set_key_exempt(route.isKeyExempt);
    for (const Region &region : route.allowedRegions) {
        wire.add_allowed_regions(region.value());
    }
}

template<class Id>
std::vector<Id> readNames(const google::protobuf::RepeatedPtrField<std::string> &wire)
{
    return std::vector<Id>(wire.begin(), wire.end());
}

double weightOf(const Wire::SharedTarget &target)
{
    const double weight = target.has_exact_weight() ? target.exact_weight() : target.weight();
    return std::isfinite(weight) && weight > 0 ? weight : 1;
}

ForwardRoute read(const Wire::SharedRoute &wire)
{
    ForwardRoute route{.name = wire.name(),
                       .host = wire.host(),
                       .pathPrefix = wire.path_prefix(),
                       .isRepeatable = wire.repeatable(),
                       .timeout = fromMicroseconds(wire.timeout_us()),
                       .latencyObjective = fromMicroseconds(wire.latency_objective_us()),
                       .rank = static_cast<int>(wire.rank()),
                       .maxAttempts = static_cast<int>(wire.max_attempts())};
    for (const Wire::SharedTarget &target : wire.targets()) {
        route.targets.push_back({.service = ServiceName(target.service()), .weight = weightOf(target)});
    }
    route.isKeyExempt = wire.key_exempt();
    route.allowedRegions = readNames<Region>(wire.allowed_regions());
    return route;
}

void write(const ClientAccount &account, Wire::SharedAccount &wire)
{
    wire.set_name(account.name.value());
    for (const Sha256Digest &digest : account.keyDigests) {
        wire.add_key_digests(digest.data(), digest.size());
    }
    if (account.rank) {
        wire.set_rank(static_cast<std::uint32_t>(*account.rank));
    }
    wire.set_rate(account.rate);
    wire.set_burst(account.burst);
    for (const Region &region : account.allowedRegions) {
        wire.add_allowed_regions(region.value());
    }
}

ClientAccount read(const Wire::SharedAccount &wire)
{
    ClientAccount account{.name = AccountName(wire.name()),
                          .keyDigests = {},
                          .rank = wire.has_rank() ? std::optional(static_cast<int>(wire.rank())) : std::nullopt,
                          .rate = wire.rate(),
                          .burst = wire.burst(),
                          .allowedRegions = readNames<Region>(wire.allowed_regions())};
    account.keyDigests.reserve(static_cast<std::size_t>(wire.key_digests_size()));
    for (const std::string &bytes : wire.key_digests()) {
        Sha256Digest digest{};
        // No key has a digest of another length, so such bytes admit no request.
        if (bytes.size() == digest.size()) {
            std::copy(bytes.begin(), bytes.end(), digest.begin());
            account.keyDigests.push_back(digest);
        }
    }
    return account;
}

void write(const ServiceAccess &service, Wire::SharedService &wire)
{
    wire.set_name(service.name.value());
    wire.set_health_path(service.healthPath);
    wire.set_max_connections(static_cast<std::uint32_t>(service.maxConnections));
    wire.set_warmup_us(toMicroseconds(service.warmup));
    wire.set_warmup_rate(service.warmupRate);
}

void write(const RouteSet &routes, Wire::SharedRouteSet &wire)
{
    wire.set_version(routes.version.value());
    for (const ForwardRoute &route : routes.routes) {
        write(route, *wire.add_routes());
    }
    for (const ServiceAccess &service : routes.services) {
        write(service, *wire.add_services());
    }
    wire.set_max_header_bytes(routes.limits.maxHeaderBytes);
    wire.set_max_body_bytes(routes.limits.maxBodyBytes);
    wire.set_header_timeout_us(toMicroseconds(routes.limits.headerTimeout));
    wire.set_idle_timeout_us(toMicroseconds(routes.limits.idleTimeout));
    wire.set_requires_key(routes.requiresKey);
    for (const ClientAccount &account : routes.accounts) {
        write(account, *wire.add_accounts());
    }
}

RouteSet read(const Wire::SharedRouteSet &wire)
{
    RouteSet routes{.version = RouteSetVersion(wire.version()),
                    .routes = {},
                    .services = {},
                    .limits = {.maxHeaderBytes = static_cast<std::uint32_t>(wire.max_header_bytes()),
                               .maxBodyBytes = wire.max_body_bytes(),
                               .headerTimeout = fromMicroseconds(wire.header_timeout_us()),
                               .idleTimeout = fromMicroseconds(wire.idle_timeout_us())},
                    .requiresKey = wire.requires_key()};
    for (const Wire::SharedAccount &account : wire.accounts()) {
        routes.accounts.push_back(read(account));
    }
    for (const Wire::SharedRoute &route : wire.routes()) {
        routes.routes.push_back(read(route));
    }
    for (const Wire::SharedService &service : wire.services()) {
        routes.services.push_back({.name = ServiceName(service.name()),
                                   .healthPath = service.health_path(),
                                   .maxConnections = static_cast<int>(service.max_connections()),
                                   .warmup = fromMicroseconds(service.warmup_us()),
                                   .warmupRate = service.warmup_rate()});
    }
    return routes;
}

} // namespace

namespace {

template<class WireItem, class Item>
std::size_t bytesAs(const Item &item)
{
    // Tag and length.
    constexpr std::size_t prefixBytes = 6;
    WireItem wire;
    write(item, wire);
    return wire.ByteSizeLong() + prefixBytes;
}

} // namespace

std::size_t wireBytes(const ForwardRoute &route)
{
    return bytesAs<Wire::SharedRoute>(route);
}

std::size_t wireBytes(const ServiceAccess &service)
{
    return bytesAs<Wire::SharedService>(service);
}

std::size_t wireBytes(const ClientAccount &account)
{
    return bytesAs<Wire::SharedAccount>(account);
}

std::optional<Wire::StateKind> toWire(StateKind kind)
{
    switch (kind) {
    case StateKind::Routes:
        return Wire::ROUTES;
    case StateKind::Upstreams:
        return Wire::UPSTREAMS;
    case StateKind::Evacuations:
        return Wire::EVACUATIONS;
    case StateKind::Instances:
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<StateKind> fromWire(Wire::StateKind kind)
{
    switch (kind) {
    case Wire::ROUTES:
        return StateKind::Routes;
    case Wire::UPSTREAMS:
        return StateKind::Upstreams;
    case Wire::EVACUATIONS:
        return StateKind::Evacuations;
    default:
        return std::nullopt;
    }
}

void setBase(Wire::StatePush &push, Revision base)
{
    push.set_base(base.value());
    push.set_base_era(base.era().value());
}

Wire::SharedObject toWire(const StateChange &change)
{
    Wire::SharedObject object;
    object.set_name(change.object.name);
    setRevision(object, change.object.revision);
    object.set_deleted(change.isDeleted);
    if (const auto *upstream = std::get_if<UpstreamRecord>(&change.object.value)) {
        write(*upstream, *object.mutable_upstream());
    }
    if (const auto *routes = std::get_if<RouteSet>(&change.object.value)) {
        write(*routes, *object.mutable_routes());
    }
    if (std::holds_alternative<ZoneEvacuation>(change.object.value)) {
        object.mutable_evacuation();
    }
    if (change.expiry) {
        Wire::PossibleExpiry &expiry = *object.mutable_expiry();
        expiry.set_keep_us(toMicroseconds(change.expiry->keepFor));
        expiry.set_outage_age_us(toMicroseconds(change.expiry->outageAge));
    }
    return object;
}

Wire::SharedObject toWire(const StateChange &change, const RouteSetDelta &delta)
{
    Wire::SharedObject object;
    object.set_name(change.object.name);
    setRevision(object, change.object.revision);
    Wire::SharedRouteSet &routes = *object.mutable_routes();
    write(delta.changes, routes);
    routes.set_base_version(delta.base.value());
    for (const std::string &name : delta.removed) {
        routes.add_removed(name);
    }
    for (const AccountName &name : delta.removedAccounts) {
        routes.add_removed_accounts(name.value());
    }
    return object;
}

std::optional<RouteSetDelta> deltaFromWire(const Wire::SharedObject &object)
{
    if (!object.has_routes() || !object.routes().has_base_version()) {
        return std::nullopt;
    }
    const Wire::SharedRouteSet &wire = object.routes();
    return RouteSetDelta{.base = RouteSetVersion(wire.base_version()),
                         .changes = read(wire),
                         .removed = {wire.removed().begin(), wire.removed().end()},
                         .removedAccounts = readNames<AccountName>(wire.removed_accounts())};
}

std::optional<StateChange> fromWire(const Wire::SharedObject &object, StateKind kind, StoreEra defaultEra)
{
    StateChange change{.object = {.name = object.name(), .revision = revisionOf(object, defaultEra), .value = MalformedObject()},
                       .isDeleted = object.deleted()};
    if (object.deleted() && object.has_expiry()) {
        change.expiry = {.keepFor = fromMicroseconds(object.expiry().keep_us()),
                         .outageAge = fromMicroseconds(object.expiry().outage_age_us())};
    }
    if (object.deleted() && !object.has_upstream()) {
        return change;
    }
    if (kind == StateKind::Upstreams && object.has_upstream()) {
        change.object.value = read(object.upstream());
        return change;
    }
    if (kind == StateKind::Evacuations && object.has_evacuation()) {
        change.object.value = ZoneEvacuation();
        return change;
    }
    const bool hasRoutes = object.has_routes()
        && std::all_of(object.routes().routes().begin(), object.routes().routes().end(), [](const Wire::SharedRoute &route) {
                               return route.targets_size() > 0;
                           });
    if (kind == StateKind::Routes && hasRoutes) {
        change.object.value = read(object.routes());
        return change;
    }
    return std::nullopt;
}

} // namespace Filbertmount
