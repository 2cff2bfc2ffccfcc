// Splits states into messages of a limited size, and joins what other instances have split.
#include "edge/statewire.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace Filbertmount {

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
    for (const ServiceAccess &service : routes.services) {
        writer.pieceFor(wireBytes(service)).services.push_back(service);
    }
    for (const ForwardRoute &route : routes.routes) {
        writer.pieceFor(wireBytes(route)).routes.push_back(route);
    }
    for (const ClientAccount &account : routes.accounts) {
        for (ClientAccount &part : splitKeys(account)) {
            writer.pieceFor(wireBytes(part)).accounts.push_back(std::move(part));
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
    const auto bytesOf = [](const auto &items) {
        return std::accumulate(items.begin(), items.end(), std::size_t{0}, [](std::size_t sum, const auto &item) {
            return sum + wireBytes(item);
        });
    };
    return bytesOf(routes.services) + bytesOf(routes.routes) + bytesOf(routes.accounts);
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

} // namespace Filbertmount
