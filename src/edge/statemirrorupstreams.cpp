// The part of StateMirror that decides which upstreams are in use.
#include <filbertmount/edge/statemirror.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

namespace {

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

} // namespace

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
                  .mayBeLost = mayBeLost(StateKind::Upstreams, deletion, entry.revision)};
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

} // namespace Filbertmount
