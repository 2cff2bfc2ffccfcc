#include <filbertmount/edge/evacuationtable.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

bool EvacuationTable::start(const std::string &zone, Revision revision)
{
    const auto [known, isNew] = m_entries.try_emplace(zone, Entry{.revision = revision});
    if (isNew) {
        return true;
    }
    Entry &entry = known->second;
    const bool isFromBeforeLoss = entry.missing && revision <= entry.missing->since;
    if (revision <= entry.revision || isFromBeforeLoss) {
        return false;
    }
    entry.revision = revision;
    const bool wasMissing = std::exchange(entry.missing, std::nullopt).has_value();
    m_ends -= entry.hasEnded ? 1 : 0;
    return std::exchange(entry.hasEnded, false) || wasMissing;
}

bool EvacuationTable::end(const std::string &zone, Revision revision)
{
    const auto [known, isNew] = m_entries.try_emplace(zone, Entry{.revision = revision, .hasEnded = true});
    Entry &entry = known->second;
    if (!isNew && revision < entry.revision) {
        return false;
    }
    entry.revision = revision;
    entry.missing.reset();
    const bool wasInForce = !std::exchange(entry.hasEnded, true);
    if (isNew || wasInForce) {
        ++m_ends;
        boundEnds();
    }
    return wasInForce;
}

bool EvacuationTable::markMissing(const std::string &zone, Revision since, Instant endsAt)
{
    const auto known = m_entries.find(zone);
    if (known == m_entries.end() || known->second.hasEnded || known->second.missing) {
        return false;
    }
    known->second.missing = {.since = since, .endsAt = endsAt};
    return true;
}

bool EvacuationTable::isMissing(const std::string &zone) const
{
    const auto known = m_entries.find(zone);
    return known != m_entries.end() && known->second.missing;
}

std::vector<StateChange> EvacuationTable::endMissing(Instant now)
{
    std::vector<StateChange> ended;
    for (const auto &[zone, entry] : m_entries) {
        if (entry.missing && now >= entry.missing->endsAt) {
            ended.push_back(
                {.object = {.name = zone, .revision = entry.missing->since, .value = MalformedObject()}, .isDeleted = true});
        }
    }
    for (const StateChange &change : ended) {
        end(change.object.name, change.object.revision);
    }
    return ended;
}

void EvacuationTable::boundEnds()
{
    if (m_ends <= MaxRememberedEnds) {
        return;
    }
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
        return std::pair(!left.second.hasEnded, left.second.revision) < std::pair(!right.second.hasEnded, right.second.revision);
    });
    m_entries.erase(oldest);
    --m_ends;
}

std::optional<Revision> EvacuationTable::revision(const std::string &zone) const
{
    const auto known = m_entries.find(zone);
    return known == m_entries.end() ? std::nullopt : std::optional(known->second.revision);
}

std::vector<std::string> EvacuationTable::zones() const
{
    std::vector<std::string> zones;
    for (const auto &[zone, entry] : m_entries) {
        if (!entry.hasEnded) {
            zones.push_back(zone);
        }
    }
    return zones;
}

bool EvacuationTable::contains(const AvailabilityZone &zone) const
{
    const auto known = m_entries.find(zone.value());
    return known != m_entries.end() && !known->second.hasEnded;
}

std::vector<StateChange> EvacuationTable::objects(Instant now) const
{
    std::vector<StateChange> objects;
    for (const auto &[zone, entry] : m_entries) {
        if (entry.missing) {
            const PossibleExpiry loss{.keepFor = std::max(Duration::zero(), entry.missing->endsAt - now)};
            objects.push_back({.object = {.name = zone, .revision = entry.missing->since, .value = MalformedObject()},
                               .isDeleted = true,
                               .expiry = loss});
            continue;
        }
        const StateValue value = entry.hasEnded ? StateValue(MalformedObject()) : StateValue(ZoneEvacuation());
        objects.push_back({.object = {.name = zone, .revision = entry.revision, .value = value}, .isDeleted = entry.hasEnded});
    }
    return objects;
}

std::uint64_t EvacuationTable::hash() const
{
    std::uint64_t hash = 0;
    for (const auto &[zone, entry] : m_entries) {
        hash += entry.hasEnded || entry.missing ? 0 : stableHash(zone);
    }
    return hash;
}

} // namespace Filbertmount
