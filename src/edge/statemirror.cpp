#include <filbertmount/edge/statemirror.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// Bounds the memory for rejected objects; beyond it, their rejections are reported again.
constexpr std::size_t MaxRememberedRejections = 256;

} // namespace

StateMirror::StateMirror(StateMirrorOptions options)
    : m_options(options)
    , m_contact(options.contact)
{
}

void StateMirror::recordStoreCall(bool hasResponded, Instant now)
{
    if (hasResponded) {
        m_contact.recordResponse(now);
    } else {
        m_contact.recordFailure(now);
    }
}

KnownEra &StateMirror::knownEra()
{
    return m_knownEra;
}

const KnownEra &StateMirror::knownEra() const
{
    return m_knownEra;
}

StoreContact &StateMirror::contact()
{
    return m_contact;
}

const StoreContact &StateMirror::contact() const
{
    return m_contact;
}

StartConfirmation &StateMirror::startConfirmation()
{
    return m_startConfirmation;
}

const StartConfirmation &StateMirror::startConfirmation() const
{
    return m_startConfirmation;
}

bool StateMirror::isKept(StateKind kind, const std::string &name) const
{
    const auto entry = m_upstreams.find(name);
    return kind == StateKind::Upstreams && entry != m_upstreams.end() && entry->second.expiry;
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
    if (kind == StateKind::Evacuations) {
        return m_evacuations.zones();
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
        // The listing contains nothing new on an upstream that is kept because its entry is gone.
        if (!listed.contains(name) && !isKept(kind, name)) {
            remove(
                kind, {.name = name, .revision = storeRevision, .source = source, .expiry = {}, .isAbsence = true}, now, changes);
        }
    }
    for (StateObject &object : objects) {
        apply(kind, std::move(object), source, changes);
    }
    m_revisions[kind] = storeRevision;
    if (kind == StateKind::Upstreams && (!m_removalsSince || m_removalsSince->era() != storeRevision.era())) {
        m_removalsSince = storeRevision;
    }
    return changes;
}

MirrorChanges StateMirror::applyFullState(StateKind kind, std::vector<StateChange> objects, Revision storeRevision, Instant now)
{
    const std::optional<Revision> known = revision(kind);
    if (known && storeRevision < *known) {
        return {};
    }
    std::vector<StateObject> listed;
    std::vector<StateChange> kept;
    for (StateChange &object : objects) {
        if (object.isDeleted) {
            kept.push_back(std::move(object));
        } else {
            listed.push_back(std::move(object.object));
        }
    }
    MirrorChanges changes;
    for (const StateChange &deletion : kept) {
        remove(kind,
               {.name = deletion.object.name,
                .revision = deletion.object.revision,
                .source = StateSource::Instance,
                .expiry = deletion.expiry},
               now,
               changes);
    }
    MirrorChanges listing = applyListing(kind, std::move(listed), storeRevision, now, StateSource::Instance);
    changes.append(std::move(listing));
    if (!known && kind == StateKind::Upstreams) {
        addKeptUpstreams(std::move(kept), now, changes);
    }
    return changes;
}

MirrorChanges StateMirror::applyChanges(StateKind kind, const StateChanges &received, Instant now, StateSource source)
{
    MirrorChanges changes;
    for (const StateChange &change : received.changes) {
        if (change.isDeleted) {
            remove(kind,
                   {.name = change.object.name, .revision = change.object.revision, .source = source, .expiry = change.expiry},
                   now,
                   changes);
        } else {
            apply(kind, change.object, source, changes);
        }
    }
    advanceRevision(kind, received.storeRevision);
    return changes;
}

void StateMirror::advanceRevision(StateKind kind, Revision revision)
{
    Revision &known = m_revisions[kind];
    const bool isNewEra = revision.era() > known.era();
    known = std::max(known, revision);
    if (isNewEra && kind == StateKind::Upstreams) {
        // Removals before a return have revisions of another history.
        m_removalsSince = revision;
    }
    if (kind == StateKind::Routes && revision.era() > m_routesRevision.era()) {
        m_routesRevision = revision;
    }
}

void StateMirror::apply(StateKind kind, StateObject object, StateSource source, MirrorChanges &changes)
{
    if (const auto *malformed = std::get_if<MalformedObject>(&object.value)) {
        reject(object, malformed->reason, changes);
        return;
    }
    m_rejected.erase(object.name);
    switch (kind) {
    case StateKind::Routes:
        applyRoutes(std::move(object), source, changes);
        break;
    case StateKind::Upstreams:
        applyUpstream(std::move(object), changes);
        break;
    case StateKind::Instances:
        m_instances[object.name] = std::move(object);
        changes.haveInstancesChanged = true;
        break;
    case StateKind::Evacuations:
        startEvacuation(std::move(object), source, changes);
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

void StateMirror::remove(StateKind kind, const Deletion &deletion, Instant now, MirrorChanges &changes)
{
    switch (kind) {
    case StateKind::Routes:
        // Route sets are only ever replaced, so a deletion is an error and the current routes stay in use.
        changes.rejected.emplace_back(deletion.name, "the route set was deleted");
        break;
    case StateKind::Upstreams:
        removeUpstream(deletion, now, changes);
        break;
    case StateKind::Instances:
        changes.haveInstancesChanged = m_instances.erase(deletion.name) > 0 || changes.haveInstancesChanged;
        break;
    case StateKind::Evacuations:
        removeEvacuation(deletion, now, changes);
        break;
    }
}

bool StateMirror::mayBeLost(StateKind kind, const Deletion &deletion, Revision known) const
{
    const StoreEra confirmed = std::max(known.era(), revision(kind).value_or(Revision()).era());
    return deletion.revision.era() > confirmed && (deletion.isAbsence || deletion.expiry);
}

void StateMirror::startEvacuation(StateObject object, StateSource source, MirrorChanges &changes)
{
    const bool wasMissing = m_evacuations.isMissing(object.name);
    if (!m_evacuations.start(object.name, object.revision)) {
        return;
    }
    if (wasMissing) {
        changes.lostEvacuations.push_back(
            {.zone = object.name, .step = LostEvacuationStep::WrittenAgain, .revision = object.revision, .source = source});
    }
    changes.evacuations.push_back({.object = std::move(object), .isDeleted = false});
}

void StateMirror::removeEvacuation(const Deletion &deletion, Instant now, MirrorChanges &changes)
{
    const std::optional<Revision> known = m_evacuations.revision(deletion.name);
    const bool isSuspected = deletion.isAbsence || deletion.expiry;
    if (isSuspected && m_evacuations.isMissing(deletion.name)) {
        return;
    }
    if (known && mayBeLost(StateKind::Evacuations, deletion, *known)) {
        markMissing(deletion, now, changes);
        return;
    }
    if (!known && deletion.expiry && !revision(StateKind::Evacuations)) {
        // The first state that this instance gets, from one for which the evacuation is in force.
        const StateObject entry{.name = deletion.name, .revision = Revision(), .value = ZoneEvacuation()};
        startEvacuation(entry, deletion.source, changes);
        markMissing(deletion, now, changes);
        return;
    }
    if (m_evacuations.end(deletion.name, deletion.revision)) {
        changes.evacuations.push_back(removalOf(deletion.name, deletion.revision));
    }
}

void StateMirror::markMissing(const Deletion &deletion, Instant now, MirrorChanges &changes)
{
    const Duration left = deletion.expiry ? deletion.expiry->keepFor : m_options.lostEntryGrace;
    if (m_evacuations.markMissing(deletion.name, deletion.revision, now + std::min(left, m_options.lostEntryGrace))) {
        changes.lostEvacuations.push_back({.zone = deletion.name,
                                           .step = LostEvacuationStep::Missing,
                                           .revision = deletion.revision,
                                           .source = deletion.source});
    }
}

StateChange StateMirror::removalOf(const std::string &name, Revision revision)
{
    return {.object = {.name = name, .revision = revision, .value = MalformedObject()}, .isDeleted = true};
}

MirrorChanges StateMirror::tick(Instant now)
{
    MirrorChanges changes;
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const std::optional<Expiry> &expiry = entry->second.expiry;
        const bool isNotExpired = expiry && !expiry->mayBeLost && m_contact.covers(expiry->lastContact, expiry->learnedAt);
        const bool isGraceOver = expiry && !m_contact.isOutage() && now >= expiry->removeAt;
        if (!isNotExpired && !isGraceOver) {
            ++entry;
            continue;
        }
        changes.upstreams.push_back(removalOf(entry->first, entry->second.revision));
        changes.deletions.push_back({.upstream = entry->first,
                                     .revision = entry->second.revision,
                                     .outcome = isNotExpired ? DeletionOutcome::NotExpired : DeletionOutcome::NotRenewed,
                                     .source = expiry->source,
                                     .expiry = toPossibleExpiry(*expiry, now)});
        entry = m_upstreams.erase(entry);
    }
    for (StateChange &ended : m_evacuations.endMissing(now)) {
        changes.lostEvacuations.push_back(
            {.zone = ended.object.name, .step = LostEvacuationStep::Ended, .revision = ended.object.revision});
        changes.evacuations.push_back(std::move(ended));
    }
    return changes;
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

const EvacuationTable &StateMirror::evacuations() const
{
    return m_evacuations;
}

std::vector<StateChange> StateMirror::objects(StateKind kind, Instant now) const
{
    if (kind == StateKind::Evacuations) {
        return m_evacuations.objects(now);
    }
    std::vector<StateChange> objects;
    if (kind == StateKind::Routes && m_routes) {
        objects.push_back(
            {.object = {.name = m_routesName, .revision = m_routesRevision, .value = m_routes->routes()}, .isDeleted = false});
    }
    if (kind == StateKind::Upstreams) {
        for (const auto &[name, entry] : m_upstreams) {
            objects.push_back(entry.expiry ? keptDeletion(name, entry, now) : listedObject(name, entry));
        }
    }
    return objects;
}

std::optional<std::vector<StateChange>> StateMirror::upstreamChangesSince(Revision from, Instant now) const
{
    if (!m_removalsSince || from < *m_removalsSince || from.era() != m_removalsSince->era()) {
        return std::nullopt;
    }
    std::vector<StateChange> changes;
    for (const auto &[name, revision] : m_removals) {
        if (from < revision && !m_upstreams.contains(name)) {
            changes.push_back(removalOf(name, revision));
        }
    }
    for (const auto &[name, entry] : m_upstreams) {
        if (entry.expiry && from < entry.revision) {
            changes.push_back(keptDeletion(name, entry, now));
        }
        if (!entry.expiry && from < entry.changedAt) {
            changes.push_back(listedObject(name, entry));
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
        return m_routes ? m_routes->version().value() + m_routes->accessHash() : 0;
    }
    return kind == StateKind::Evacuations ? m_evacuations.hash() : m_upstreamsHash;
}

std::optional<Revision> StateMirror::revision(StateKind kind) const
{
    const auto known = m_revisions.find(kind);
    return known == m_revisions.end() ? std::nullopt : std::optional(known->second);
}

} // namespace Filbertmount
