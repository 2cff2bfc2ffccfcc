#include "edge/statewire.h"

#include "peer/wiretime.h"

#include <algorithm>

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
        item.set_weight(static_cast<std::uint32_t>(target.weight));
    }
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
        route.targets.push_back({.service = ServiceName(target.service()), .weight = static_cast<int>(target.weight())});
    }
    return route;
}

void write(const RouteSet &routes, Wire::SharedRouteSet &wire)
{
    wire.set_version(routes.version.value());
    for (const ForwardRoute &route : routes.routes) {
        write(route, *wire.add_routes());
    }
    for (const ServiceAccess &service : routes.services) {
        Wire::SharedService &item = *wire.add_services();
        item.set_name(service.name.value());
        item.set_health_path(service.healthPath);
        item.set_max_connections(static_cast<std::uint32_t>(service.maxConnections));
    }
    wire.set_max_header_bytes(routes.limits.maxHeaderBytes);
    wire.set_max_body_bytes(routes.limits.maxBodyBytes);
    wire.set_header_timeout_us(toMicroseconds(routes.limits.headerTimeout));
    wire.set_idle_timeout_us(toMicroseconds(routes.limits.idleTimeout));
}

RouteSet read(const Wire::SharedRouteSet &wire)
{
    RouteSet routes{.version = RouteSetVersion(wire.version()),
                    .routes = {},
                    .services = {},
                    .limits = {.maxHeaderBytes = static_cast<std::uint32_t>(wire.max_header_bytes()),
                               .maxBodyBytes = wire.max_body_bytes(),
                               .headerTimeout = fromMicroseconds(wire.header_timeout_us()),
                               .idleTimeout = fromMicroseconds(wire.idle_timeout_us())}};
    for (const Wire::SharedRoute &route : wire.routes()) {
        routes.routes.push_back(read(route));
    }
    for (const Wire::SharedService &service : wire.services()) {
        routes.services.push_back({.name = ServiceName(service.name()),
                                   .healthPath = service.health_path(),
                                   .maxConnections = static_cast<int>(service.max_connections())});
    }
    return routes;
}

} // namespace

std::optional<Wire::StateKind> toWire(StateKind kind)
{
    switch (kind) {
    case StateKind::Routes:
        return Wire::ROUTES;
    case StateKind::Upstreams:
        return Wire::UPSTREAMS;
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
    default:
        return std::nullopt;
    }
}

Wire::SharedObject toWire(const StateChange &change)
{
    Wire::SharedObject object;
    object.set_name(change.object.name);
    object.set_revision(change.object.revision.value());
    object.set_deleted(change.isDeleted);
    if (const auto *upstream = std::get_if<UpstreamRecord>(&change.object.value)) {
        write(*upstream, *object.mutable_upstream());
    }
    if (const auto *routes = std::get_if<RouteSet>(&change.object.value)) {
        write(*routes, *object.mutable_routes());
    }
    return object;
}

std::optional<StateChange> fromWire(const Wire::SharedObject &object, StateKind kind)
{
    StateChange change{.object = {.name = object.name(), .revision = Revision(object.revision()), .value = MalformedObject()},
                       .isDeleted = object.deleted()};
    if (object.deleted()) {
        return change;
    }
    if (kind == StateKind::Upstreams && object.has_upstream()) {
        change.object.value = read(object.upstream());
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
