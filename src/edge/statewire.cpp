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

/** Measures how many bytes items of one kind take in a message. */
template<class WireItem>
class WireSize
{
public:
    template<class Item>
    std::size_t operator()(const Item &item)
    {
        // Tag and length.
        constexpr std::size_t prefixBytes = 6;
        // Cleared instead of created anew, which would allocate for each item.
        m_wire.Clear();
        write(item, m_wire);
        return m_wire.ByteSizeLong() + prefixBytes;
    }

private:
    WireItem m_wire;
};

template<class WireItem, class Item>
std::size_t wireBytes(const std::vector<Item> &items)
{
    WireSize<WireItem> sizeOf;
    std::size_t bytes = 0;
    for (const Item &item : items) {
        bytes += sizeOf(item);
    }
    return bytes;
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

namespace {

/** Distributes the items of a route set to pieces of a limited size. */
class PieceWriter
{
public:
    explicit PieceWriter(const RouteSet &whole)
        : m_whole(whole)
    {
        startPiece();
    }

    /** Returns a piece that has room for @p bytes. */
    RouteSet &pieceFor(std::size_t bytes)
    {
        if (m_bytes > 0 && m_bytes + bytes > MaxPushBytes) {
            startPiece();
        }
        m_bytes += bytes;
        return m_pieces.back();
    }

    std::vector<RouteSet> take()
    {
        return std::move(m_pieces);
    }

private:
    void startPiece()
    {
        m_bytes = 0;
        m_pieces.push_back({.version = m_whole.version,
                            .routes = {},
                            .services = {},
                            .limits = m_whole.limits,
                            .requiresKey = m_whole.requiresKey});
    }

    const RouteSet &m_whole;
    std::vector<RouteSet> m_pieces;
    /** Of the last piece. */
    std::size_t m_bytes = 0;
};

/** Splits an account whose keys take too many bytes for one message; each part has some of them. */
std::vector<ClientAccount> splitKeys(const ClientAccount &account)
{
    constexpr std::size_t bytesPerDigest = sizeof(Sha256Digest) + 2;
    constexpr std::size_t digestsPerPart = MaxPushBytes / 2 / bytesPerDigest;
    const std::size_t keys = account.keyDigests.size();
    std::vector<ClientAccount> parts;
    for (std::size_t first = 0; first == 0 || first < keys; first += digestsPerPart) {
        const auto begin = account.keyDigests.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = begin + static_cast<std::ptrdiff_t>(std::min(digestsPerPart, keys - first));
        parts.push_back({.name = account.name,
                         .keyDigests = {begin, end},
                         .rank = account.rank,
                         .rate = account.rate,
                         .burst = account.burst,
                         .allowedRegions = account.allowedRegions});
    }
    return parts;
}

/** Splits a route set into pieces of at most MaxPushBytes, unless a single item is longer. */
std::vector<StateChange> splitIntoPieces(const StateChange &change)
{
    const auto &routes = std::get<RouteSet>(change.object.value);
    PieceWriter writer(routes);
    WireSize<Wire::SharedService> serviceBytes;
    for (const ServiceAccess &service : routes.services) {
        writer.pieceFor(serviceBytes(service)).services.push_back(service);
    }
    WireSize<Wire::SharedRoute> routeBytes;
    for (const ForwardRoute &route : routes.routes) {
        writer.pieceFor(routeBytes(route)).routes.push_back(route);
    }
    WireSize<Wire::SharedAccount> accountBytes;
    for (const ClientAccount &account : routes.accounts) {
        for (ClientAccount &part : splitKeys(account)) {
            writer.pieceFor(accountBytes(part)).accounts.push_back(std::move(part));
        }
    }
    std::vector<StateChange> pieces;
    for (RouteSet &piece : writer.take()) {
        pieces.push_back({.object = {.name = change.object.name, .revision = change.object.revision, .value = std::move(piece)},
                          .isDeleted = false});
    }
    return pieces;
}

} // namespace

std::size_t wireBytes(const RouteSet &routes)
{
    return wireBytes<Wire::SharedService>(routes.services) + wireBytes<Wire::SharedRoute>(routes.routes)
        + wireBytes<Wire::SharedAccount>(routes.accounts);
}

std::vector<Wire::StatePush> toPushes(StateKind kind, std::span<const StateChange> objects)
{
    if (kind == StateKind::Routes && !objects.empty()) {
        std::vector<Wire::StatePush> pushes;
        // Each version of the routes is complete, so the newest one replaces all others.
        for (const StateChange &piece : splitIntoPieces(objects.back())) {
            Wire::StatePush &push = pushes.emplace_back();
            push.set_kind(*toWire(kind));
            *push.add_objects() = toWire(piece);
        }
        return pushes;
    }
    std::vector<Wire::StatePush> pushes(1);
    pushes.back().set_kind(*toWire(kind));
    std::size_t bytes = 0;
    for (const StateChange &change : objects) {
        Wire::SharedObject object = toWire(change);
        const std::size_t objectBytes = object.ByteSizeLong();
        const bool isFull = pushes.back().objects_size() == ObjectsPerPush || bytes + objectBytes > MaxPushBytes;
        if (isFull && pushes.back().objects_size() > 0) {
            pushes.emplace_back().set_kind(*toWire(kind));
            bytes = 0;
        }
        bytes += objectBytes;
        *pushes.back().add_objects() = std::move(object);
    }
    return pushes;
}

namespace {

/** Adds the accounts of the next piece, of which the first may continue the last account of @p whole. */
void appendAccounts(std::vector<ClientAccount> &whole, std::vector<ClientAccount> piece)
{
    for (ClientAccount &account : piece) {
        if (!whole.empty() && whole.back().name == account.name) {
            std::vector<Sha256Digest> &digests = whole.back().keyDigests;
            digests.insert(digests.end(), account.keyDigests.begin(), account.keyDigests.end());
        } else {
            whole.push_back(std::move(account));
        }
    }
}

} // namespace

std::vector<StateObject> joinPieces(std::vector<StateObject> pieces)
{
    std::vector<StateObject> whole;
    for (StateObject &piece : pieces) {
        auto *routes = std::get_if<RouteSet>(&piece.value);
        // Objects with the same name but different versions are separate route sets.
        const bool continues = routes != nullptr && !whole.empty() && whole.back().name == piece.name
            && std::get<RouteSet>(whole.back().value).version == routes->version;
        if (!continues) {
            whole.push_back(std::move(piece));
            if (auto *first = std::get_if<RouteSet>(&whole.back().value)) {
                appendAccounts(first->accounts, std::exchange(first->accounts, {}));
            }
            continue;
        }
        RouteSet &target = std::get<RouteSet>(whole.back().value);
        std::move(routes->services.begin(), routes->services.end(), std::back_inserter(target.services));
        std::move(routes->routes.begin(), routes->routes.end(), std::back_inserter(target.routes));
        appendAccounts(target.accounts, std::move(routes->accounts));
    }
    return whole;
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
