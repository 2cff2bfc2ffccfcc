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
    known = std::max(known, revision);
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
        m_lostEvacuations.erase(object.name);
        if (m_evacuations.start(object.name, object.revision)) {
            changes.evacuations.push_back({.object = std::move(object), .isDeleted = false});
        }
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

void StateMirror::applyUpstream(StateObject object, MirrorChanges &changes)
{
    const auto known = m_upstreams.find(object.name);
    const bool isKnown = known != m_upstreams.end();
    if (isKnown && object.revision < known->second.revision) {
        return;
    }
    const auto &record = std::get<UpstreamRecord>(object.value);
    const std::uint64_t hash = hashOf(record);
    const bool isListed = isKnown && !known->second.expiry;
    const bool isSame = isListed && known->second.hash == hash;
    m_upstreamsHash += hash - (isListed ? known->second.hash : 0);
    m_upstreams[object.name] = {.record = record,
                                .revision = object.revision,
                                .changedAt = isSame ? known->second.changedAt : object.revision,
                                .expiry = {},
                                .hash = hash};
    if (!isSame) {
        changes.upstreams.push_back({.object = std::move(object), .isDeleted = false});
    }
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

bool StateMirror::mayBeLost(const Deletion &deletion, Revision known)
{
    return deletion.revision.era() > known.era() && (deletion.isAbsence || deletion.expiry);
}

void StateMirror::removeEvacuation(const Deletion &deletion, Instant now, MirrorChanges &changes)
{
    const std::optional<Revision> known = m_evacuations.revision(deletion.name);
    if (known && mayBeLost(deletion, *known)) {
        m_lostEvacuations.try_emplace(deletion.name, now + m_options.lostEntryGrace);
        return;
    }
    m_lostEvacuations.erase(deletion.name);
    if (m_evacuations.end(deletion.name, deletion.revision)) {
        changes.evacuations.push_back(removalOf(deletion.name, deletion.revision));
    }
}

void StateMirror::removeUpstream(const Deletion &deletion, Instant now, MirrorChanges &changes)
{
    const auto entry = m_upstreams.find(deletion.name);
    if (entry == m_upstreams.end()) {
        return;
    }
    const bool isKept = entry->second.expiry.has_value();
    const bool isOlder = deletion.revision < (isKept ? entry->second.changedAt : entry->second.revision);
    // Only an instance that had contact with the store meanwhile reports a deletion without a possible expiry.
    const bool isNews = !isKept || (deletion.source == StateSource::Instance && !deletion.expiry);
    if (isOlder || !isNews) {
        return;
    }
    if (!isKept) {
        m_upstreamsHash -= entry->second.hash;
        rememberRemoval(deletion.name, deletion.revision);
    }
    entry->second.expiry = expiryOf(entry->second, deletion, now);
    entry->second.revision = std::max(entry->second.revision, deletion.revision);
    DeletionDecision decision{.upstream = deletion.name, .revision = deletion.revision, .source = deletion.source};
    if (entry->second.expiry) {
        changes.upstreams.push_back(keptDeletion(deletion.name, entry->second, now));
        decision.outcome = DeletionOutcome::Kept;
        decision.expiry = toPossibleExpiry(*entry->second.expiry, now);
    } else {
        changes.upstreams.push_back(removalOf(deletion.name, deletion.revision));
        m_upstreams.erase(entry);
    }
    changes.deletions.push_back(std::move(decision));
}

std::optional<StateMirror::Expiry> StateMirror::expiryOf(const UpstreamEntry &entry, const Deletion &deletion, Instant now) const
{
    // An upstream that was draining has left and will not renew its entry.
    if (entry.record.isDraining) {
        return std::nullopt;
    }
    Expiry expiry{.removeAt = now + m_options.expiredEntryGrace,
                  .lastContact = m_contact.lastOutageStart(),
                  .learnedAt = now,
                  .source = deletion.source,
                  .mayBeLost = mayBeLost(deletion, entry.revision)};
    if (expiry.mayBeLost) {
        const Duration left = deletion.expiry ? deletion.expiry->keepFor : m_options.lostEntryGrace;
        expiry.removeAt = now + std::min(left, m_options.lostEntryGrace);
        return expiry;
    }
    if (deletion.source == StateSource::Instance) {
        if (!deletion.expiry || m_contact.covers(now - deletion.expiry->outageAge, now)) {
            return std::nullopt;
        }
        expiry.removeAt = now + std::min(deletion.expiry->keepFor, m_options.expiredEntryGrace);
        expiry.lastContact = now - deletion.expiry->outageAge;
        return expiry;
    }
    if (m_contact.isOutage()) {
        return expiry;
    }
    const std::optional<Instant> outageEndedAt = m_contact.outageEndedAt();
    if (!outageEndedAt || now - *outageEndedAt >= m_options.expiredEntryGrace) {
        return std::nullopt;
    }
    expiry.removeAt = *outageEndedAt + m_options.expiredEntryGrace;
    return expiry;
}

void StateMirror::addKeptUpstreams(std::vector<StateChange> kept, Instant now, MirrorChanges &changes)
{
    for (StateChange &change : kept) {
        const auto *record = std::get_if<UpstreamRecord>(&change.object.value);
        if (record == nullptr || !change.expiry || m_upstreams.contains(change.object.name)) {
            continue;
        }
        UpstreamEntry entry{.record = *record,
                            .revision = change.object.revision,
                            .changedAt = change.object.revision,
                            .expiry = {},
                            .hash = hashOf(*record)};
        const Deletion deletion{.name = change.object.name,
                                .revision = change.object.revision,
                                .source = StateSource::Instance,
                                .expiry = change.expiry};
        entry.expiry = expiryOf(entry, deletion, now);
        if (entry.expiry) {
            changes.upstreams.push_back(keptDeletion(deletion.name, entry, now));
            m_upstreams.emplace(deletion.name, std::move(entry));
        }
    }
}

void StateMirror::rememberRemoval(const std::string &name, Revision revision)
{
    m_removals.emplace_back(name, revision);
    if (m_removals.size() > MaxRememberedRemovals) {
        m_removalsSince = std::max(m_removalsSince.value_or(Revision()), m_removals.front().second);
        m_removals.pop_front();
    }
}

PossibleExpiry StateMirror::toPossibleExpiry(const Expiry &expiry, Instant now)
{
    return {.keepFor = std::max(Duration::zero(), expiry.removeAt - now), .outageAge = now - expiry.lastContact};
}

StateChange StateMirror::listedObject(const std::string &name, const UpstreamEntry &entry)
{
    return {.object = {.name = name, .revision = entry.revision, .value = entry.record}, .isDeleted = false};
}

StateChange StateMirror::keptDeletion(const std::string &name, const UpstreamEntry &entry, Instant now)
{
    return {.object = {.name = name, .revision = entry.revision, .value = entry.record},
            .isDeleted = true,
            .expiry = toPossibleExpiry(*entry.expiry, now)};
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
    std::erase_if(m_lostEvacuations, [&](const auto &lost) {
        const bool isGraceOver = now >= lost.second;
        const Revision end = revision(StateKind::Evacuations).value_or(Revision());
        if (isGraceOver && m_evacuations.end(lost.first, end)) {
            changes.evacuations.push_back(removalOf(lost.first, end));
        }
        return isGraceOver;
    });
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
        return m_evacuations.objects();
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
