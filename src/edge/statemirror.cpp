#include <filbertmount/edge/statemirror.h>

#include <algorithm>

namespace Filbertmount {

StateMirror::StateMirror(StateMirrorOptions options)
    : m_options(options)
{
}

void StateMirror::noteContact(bool isAnswered, Instant now)
{
    if (isAnswered) {
        if (m_isAway) {
            m_returnedAt = now;
        }
        m_isAway = false;
        m_silentSince.reset();
        return;
    }
    if (!m_silentSince) {
        m_silentSince = now;
    }
    m_isAway = m_isAway || now - *m_silentSince >= m_options.outageAfter;
}

bool StateMirror::isAway() const
{
    return m_isAway;
}

bool StateMirror::isAfterOutage(Instant now) const
{
    return m_isAway || (m_returnedAt && now - *m_returnedAt < m_options.lapsedEntryGrace);
}

MirrorChanges StateMirror::takeListing(StateKind kind, std::vector<StateObject> objects, Revision storeRevision, Instant now)
{
    MirrorChanges changes;
    const std::optional<Revision> known = revision(kind);
    if (known && storeRevision < *known) {
        return changes;
    }
    absl::flat_hash_set<std::string> listed;
    for (const StateObject &object : objects) {
        listed.insert(object.name);
    }
    std::vector<std::string> missing;
    for (const auto &[name, entry] : m_upstreams) {
        if (kind == StateKind::Upstreams && !listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const auto &[name, object] : m_instances) {
        if (kind == StateKind::Instances && !listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const std::string &name : missing) {
        remove(kind, name, storeRevision, now, changes);
    }
    for (StateObject &object : objects) {
        apply(kind, std::move(object), changes);
    }
    m_revisions[kind] = storeRevision;
    return changes;
}

MirrorChanges StateMirror::takeChanges(StateKind kind, const StateChanges &received, Instant now)
{
    MirrorChanges changes;
    for (const StateChange &change : received.changes) {
        if (change.isDeleted) {
            remove(kind, change.object.name, change.object.revision, now, changes);
        } else {
            apply(kind, change.object, changes);
        }
    }
    Revision &known = m_revisions[kind];
    known = std::max(known, received.storeRevision);
    return changes;
}

void StateMirror::apply(StateKind kind, StateObject object, MirrorChanges &changes)
{
    if (const auto *malformed = std::get_if<MalformedObject>(&object.value)) {
        changes.rejected.emplace_back(object.name, malformed->reason);
        return;
    }
    switch (kind) {
    case StateKind::Routes:
        applyRoutes(std::move(object), changes);
        break;
    case StateKind::Upstreams:
        applyUpstream(std::move(object), changes);
        break;
    case StateKind::Instances:
        m_instances[object.name] = std::move(object);
        changes.instances = true;
        break;
    }
}

void StateMirror::applyRoutes(StateObject object, MirrorChanges &changes)
{
    auto &routes = std::get<RouteSet>(object.value);
    if (m_routes && routes.version <= m_routes->version()) {
        return;
    }
    m_routes = std::make_shared<const RouteIndex>(std::move(routes));
    changes.routes = true;
}

void StateMirror::applyUpstream(StateObject object, MirrorChanges &changes)
{
    UpstreamEntry &entry = m_upstreams[object.name];
    if (object.revision < entry.revision) {
        return;
    }
    auto &record = std::get<UpstreamRecord>(object.value);
    // Times that only count down change nothing.
    const bool isSame = entry.record.isDraining == record.isDraining && entry.record.incarnation == record.incarnation
        && entry.record.address == record.address && entry.record.service == record.service && entry.record.slots == record.slots
        && !entry.dropAt && entry.revision != Revision();
    entry = {.record = std::move(record), .revision = object.revision, .dropAt = {}};
    changes.upstreams = changes.upstreams || !isSame;
}

void StateMirror::remove(StateKind kind, const std::string &name, Revision revision, Instant now, MirrorChanges &changes)
{
    switch (kind) {
    case StateKind::Routes:
        // The operator replaces the route set and never removes it; the one in force stays.
        changes.rejected.emplace_back(name, "the route set was deleted");
        break;
    case StateKind::Upstreams:
        removeUpstream(name, revision, now, changes);
        break;
    case StateKind::Instances:
        changes.instances = m_instances.erase(name) > 0 || changes.instances;
        break;
    }
}

void StateMirror::removeUpstream(const std::string &name, Revision revision, Instant now, MirrorChanges &changes)
{
    const auto entry = m_upstreams.find(name);
    if (entry == m_upstreams.end() || revision < entry->second.revision) {
        return;
    }
    // An upstream that said that it drains is gone for good.
    if (isAfterOutage(now) && !entry->second.record.isDraining) {
        const Instant returned = m_isAway || !m_returnedAt ? now : *m_returnedAt;
        entry->second.dropAt = entry->second.dropAt.value_or(returned + m_options.lapsedEntryGrace);
        return;
    }
    m_upstreams.erase(entry);
    changes.upstreams = true;
}

MirrorChanges StateMirror::tick(Instant now)
{
    MirrorChanges changes;
    if (m_isAway) {
        return changes;
    }
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const bool isOver = entry->second.dropAt && now >= *entry->second.dropAt;
        entry = isOver ? m_upstreams.erase(entry) : std::next(entry);
        changes.upstreams = changes.upstreams || isOver;
    }
    return changes;
}

std::shared_ptr<const RouteIndex> StateMirror::routes() const
{
    return m_routes;
}

std::vector<UpstreamRecord> StateMirror::upstreams() const
{
    std::vector<UpstreamRecord> records;
    records.reserve(m_upstreams.size());
    for (const auto &[name, entry] : m_upstreams) {
        records.push_back(entry.record);
    }
    return records;
}

const std::map<std::string, StateObject> &StateMirror::instances() const
{
    return m_instances;
}

std::optional<Revision> StateMirror::revision(StateKind kind) const
{
    const auto known = m_revisions.find(kind);
    return known == m_revisions.end() ? std::nullopt : std::optional(known->second);
}

} // namespace Filbertmount
