#include <filbertmount/edge/statemirror.h>

#include <filbertmount/types/rendezvoushash.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// Bounds the memory for rejected objects; beyond it, their rejections are reported again.
constexpr std::size_t MaxRememberedRejections = 256;
// Covers several seconds in which all upstreams of a large fleet are replaced; an instance that missed more pulls all objects.
constexpr std::size_t MaxRememberedRemovals = 4096;

/** The hash leaves out warmupLeft, which changes with time although the upstream does not. */
std::uint64_t hashOf(const UpstreamRecord &record)
{
    std::string text = record.id.value();
    text.append("|").append(record.service.value()).append("|").append(record.address);
    text.append("|").append(std::to_string(record.slots)).append(record.isDraining ? "|d|" : "|r|");
    text.append(std::to_string(record.incarnation.value()));
    return stableHash(text);
}

StateChange removalOf(const std::string &name, Revision revision)
{
    return {.object = {.name = name, .revision = revision, .value = MalformedObject()}, .isDeleted = true};
}

} // namespace

const std::vector<StateChange> &MirrorChanges::of(StateKind kind) const
{
    return kind == StateKind::Routes ? routes : upstreams;
}

StateMirror::StateMirror(StateMirrorOptions options)
    : m_options(options)
{
}

void StateMirror::recordStoreCall(bool hasResponded, Instant now)
{
    if (hasResponded) {
        if (m_isOutage) {
            m_outageEndedAt = now;
        }
        m_isOutage = false;
        m_noResponseSince.reset();
        return;
    }
    m_noResponseSince = m_noResponseSince.value_or(now);
    m_isOutage = m_isOutage || now - *m_noResponseSince >= m_options.outageAfter;
}

bool StateMirror::isOutageOrGrace(Instant now) const
{
    return m_isOutage || (m_outageEndedAt && now - *m_outageEndedAt < m_options.expiredEntryGrace);
}

std::vector<std::string> StateMirror::namesOf(StateKind kind) const
{
    std::vector<std::string> names;
    if (kind == StateKind::Upstreams) {
        for (const auto &[name, entry] : m_upstreams) {
            names.push_back(name);
        }
    }
    if (kind == StateKind::Instances) {
        for (const auto &[name, object] : m_instances) {
            names.push_back(name);
        }
    }
    return names;
}

MirrorChanges StateMirror::applyListing(StateKind kind,
                                        std::vector<StateObject> objects,
                                        Revision storeRevision,
                                        Instant now,
                                        StateSource source)
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
    for (const std::string &name : namesOf(kind)) {
        if (!listed.contains(name)) {
            remove(kind, name, storeRevision, source == StateSource::Store, now, changes);
        }
    }
    for (StateObject &object : objects) {
        apply(kind, std::move(object), changes);
    }
    m_revisions[kind] = storeRevision;
    if (kind == StateKind::Upstreams) {
        m_removalsSince = m_removalsSince.value_or(storeRevision);
    }
    return changes;
}

MirrorChanges StateMirror::applyChanges(StateKind kind, const StateChanges &received, Instant now, StateSource source)
{
    MirrorChanges changes;
    for (const StateChange &change : received.changes) {
        if (change.isDeleted) {
            remove(kind, change.object.name, change.object.revision, source == StateSource::Store, now, changes);
        } else {
            apply(kind, change.object, changes);
        }
    }
    advanceRevision(kind, received.storeRevision);
    return changes;
}

void StateMirror::advanceRevision(StateKind kind, Revision revision)
{
    Revision &known = m_revisions[kind];
    known = std::max(known, revision);
}

void StateMirror::apply(StateKind kind, StateObject object, MirrorChanges &changes)
{
    if (const auto *malformed = std::get_if<MalformedObject>(&object.value)) {
        reject(object, malformed->reason, changes);
        return;
    }
    m_rejected.erase(object.name);
    switch (kind) {
    case StateKind::Routes:
        applyRoutes(std::move(object), changes);
        break;
    case StateKind::Upstreams:
        applyUpstream(std::move(object), changes);
        break;
    case StateKind::Instances:
        m_instances[object.name] = std::move(object);
        changes.haveInstancesChanged = true;
        break;
    }
}

void StateMirror::reject(const StateObject &object, const std::string &reason, MirrorChanges &changes)
{
    const auto known = m_rejected.find(object.name);
    if (known != m_rejected.end() && object.revision <= known->second) {
        return;
    }
    if (known == m_rejected.end() && m_rejected.size() >= MaxRememberedRejections) {
        m_rejected.clear();
    }
    m_rejected[object.name] = object.revision;
    changes.rejected.emplace_back(object.name, reason);
}

void StateMirror::applyRoutes(StateObject object, MirrorChanges &changes)
{
    const auto &routes = std::get<RouteSet>(object.value);
    if (m_routes && routes.version <= m_routes->version()) {
        return;
    }
    m_routes = std::make_shared<const RouteIndex>(routes);
    m_routesName = object.name;
    m_routesRevision = object.revision;
    changes.routes.push_back({.object = std::move(object), .isDeleted = false});
}

void StateMirror::applyUpstream(StateObject object, MirrorChanges &changes)
{
    const auto known = m_upstreams.find(object.name);
    const bool isKnown = known != m_upstreams.end();
    if (isKnown && object.revision < known->second.revision) {
        return;
    }
    const auto &record = std::get<UpstreamRecord>(object.value);
    const std::uint64_t hash = hashOf(record);
    const bool isSame = isKnown && known->second.hash == hash;
    m_upstreamsHash += hash - (isKnown ? known->second.hash : 0);
    m_upstreams[object.name] = {.record = record,
                                .revision = object.revision,
                                .changedAt = isSame ? known->second.changedAt : object.revision,
                                .removeAt = {},
                                .hash = hash};
    if (!isSame) {
        changes.upstreams.push_back({.object = std::move(object), .isDeleted = false});
    }
}

void StateMirror::remove(StateKind kind,
                         const std::string &name,
                         Revision revision,
                         bool mayBeExpired,
                         Instant now,
                         MirrorChanges &changes)
{
    switch (kind) {
    case StateKind::Routes:
        // Route sets are only ever replaced, so a deletion is an error and the current routes stay in use.
        changes.rejected.emplace_back(name, "the route set was deleted");
        break;
    case StateKind::Upstreams:
        removeUpstream(name, revision, mayBeExpired, now, changes);
        break;
    case StateKind::Instances:
        changes.haveInstancesChanged = m_instances.erase(name) > 0 || changes.haveInstancesChanged;
        break;
    }
}

void StateMirror::removeUpstream(const std::string &name,
                                 Revision revision,
                                 bool mayBeExpired,
                                 Instant now,
                                 MirrorChanges &changes)
{
    const auto entry = m_upstreams.find(name);
    if (entry == m_upstreams.end() || revision < entry->second.revision) {
        return;
    }
    // An upstream that was draining has left and will not renew its entry.
    if (mayBeExpired && isOutageOrGrace(now) && !entry->second.record.isDraining) {
        const Instant endedAt = m_isOutage || !m_outageEndedAt ? now : *m_outageEndedAt;
        entry->second.removeAt = entry->second.removeAt.value_or(endedAt + m_options.expiredEntryGrace);
        entry->second.revision = revision;
        return;
    }
    eraseUpstream(entry, revision);
    changes.upstreams.push_back(removalOf(name, revision));
}

std::map<std::string, StateMirror::UpstreamEntry>::iterator
StateMirror::eraseUpstream(std::map<std::string, UpstreamEntry>::iterator entry, Revision revision)
{
    m_removals.emplace_back(entry->first, revision);
    if (m_removals.size() > MaxRememberedRemovals) {
        m_removalsSince = std::max(m_removalsSince.value_or(Revision()), m_removals.front().second);
        m_removals.pop_front();
    }
    m_upstreamsHash -= entry->second.hash;
    return m_upstreams.erase(entry);
}

MirrorChanges StateMirror::tick(Instant now)
{
    MirrorChanges changes;
    if (m_isOutage) {
        return changes;
    }
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const bool isGraceOver = entry->second.removeAt && now >= *entry->second.removeAt;
        if (isGraceOver) {
            changes.upstreams.push_back(removalOf(entry->first, entry->second.revision));
        }
        entry = isGraceOver ? eraseUpstream(entry, entry->second.revision) : std::next(entry);
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

std::vector<StateChange> StateMirror::objects(StateKind kind) const
{
    std::vector<StateChange> objects;
    if (kind == StateKind::Routes && m_routes) {
        objects.push_back(
            {.object = {.name = m_routesName, .revision = m_routesRevision, .value = m_routes->routes()}, .isDeleted = false});
    }
    if (kind == StateKind::Upstreams) {
        for (const auto &[name, entry] : m_upstreams) {
            objects.push_back({.object = {.name = name, .revision = entry.revision, .value = entry.record}, .isDeleted = false});
        }
    }
    return objects;
}

std::optional<std::vector<StateChange>> StateMirror::upstreamChangesSince(Revision from) const
{
    if (!m_removalsSince || from < *m_removalsSince) {
        return std::nullopt;
    }
    std::vector<StateChange> changes;
    for (const auto &[name, revision] : m_removals) {
        if (from < revision && !m_upstreams.contains(name)) {
            changes.push_back(removalOf(name, revision));
        }
    }
    for (const auto &[name, entry] : m_upstreams) {
        if (from < entry.changedAt) {
            changes.push_back({.object = {.name = name, .revision = entry.revision, .value = entry.record}, .isDeleted = false});
        }
    }
    std::stable_sort(changes.begin(), changes.end(), [](const StateChange &left, const StateChange &right) {
        return left.object.revision < right.object.revision;
    });
    return changes;
}

std::uint64_t StateMirror::hash(StateKind kind) const
{
    if (kind == StateKind::Routes) {
        return m_routes ? m_routes->version().value() : 0;
    }
    return m_upstreamsHash;
}

std::optional<Revision> StateMirror::revision(StateKind kind) const
{
    const auto known = m_revisions.find(kind);
    return known == m_revisions.end() ? std::nullopt : std::optional(known->second);
}

} // namespace Filbertmount
