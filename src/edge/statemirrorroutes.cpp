// The part of StateMirror that decides which route set is in force.
#include <filbertmount/edge/statemirror.h>

namespace Filbertmount {

void StateMirror::applyRoutes(StateObject object, StateSource source, MirrorChanges &changes)
{
    const auto &routes = std::get<RouteSet>(object.value);
    if (m_routes && !isNewer(routes, object.revision) && !isCorrection(routes, object.revision, source)) {
        if (object.revision.era() > m_routesRevision.era()) {
            // The version in force is kept; what the store changes under it from now on is newer.
            m_routesRevision = object.revision;
        }
        return;
    }
    m_areRoutesContradicted = false;
    m_routes = std::make_shared<const RouteIndex>(routes);
    m_routesName = object.name;
    m_routesRevision = object.revision;
    changes.routes.push_back({.object = std::move(object), .isDeleted = false});
}

bool StateMirror::isNewer(const RouteSet &received, Revision revision) const
{
    const bool isSame = received.version == m_routes->version();
    const bool addsAccounts = revision == m_routesRevision && received.requiresKey && !m_routes->routes().requiresKey;
    // The accounts of the same version in an older copy may be those of before a change.
    const bool isLater = revision.era() == m_routesRevision.era() && revision > m_routesRevision;
    const bool changesAccounts = isSame && isLater && accessHash(received) != m_routes->accessHash();
    return received.version > m_routes->version() || (isSame && addsAccounts) || changesAccounts;
}

bool StateMirror::isCorrection(const RouteSet &received, Revision revision, StateSource source) const
{
    const bool mayCorrect = source == StateSource::Store || m_areRoutesContradicted;
    return mayCorrect && received.version == m_routes->version() && revision >= m_routesRevision
        && Filbertmount::routesHash(received) != m_routes->routesHash();
}

void StateMirror::recordContradiction()
{
    m_areRoutesContradicted = true;
}

std::shared_ptr<const RouteIndex> StateMirror::routes() const
{
    return m_routes;
}

std::uint64_t StateMirror::routesHash() const
{
    return m_routes ? m_routes->routesHash() : 0;
}

} // namespace Filbertmount
