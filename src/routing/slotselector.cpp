#include <filbertmount/routing/slotselector.h>

#include "routing/tournamenttree.h"

#include <algorithm>
#include <string>

namespace Filbertmount {

struct SlotSelector::Zone {
    std::string name;
    TournamentTree free;
    TournamentTree overcommit;
    std::vector<UpstreamIndex> upstreams;
    int slots = 0;
    int usable = 0;
    double averageSlots = 0;
};

SlotSelector::SlotSelector() = default;
SlotSelector::~SlotSelector() = default;

SlotSelector::Zone &SlotSelector::zoneOf(std::string_view name)
{
    const auto found = std::find_if(m_zones.begin(), m_zones.end(), [name](const auto &zone) {
        return zone->name == name;
    });
    if (found != m_zones.end()) {
        return **found;
    }
    m_zones.push_back(std::make_unique<Zone>());
    m_zones.back()->name = name;
    return *m_zones.back();
}

void SlotSelector::ensureTreePosition(const UpstreamTable &table, UpstreamIndex index)
{
    if (index >= m_treePositions.size()) {
        m_treePositions.resize(table.size());
    }
    TreePosition &treePosition = m_treePositions[index];
    const std::string &zoneName = table.upstream(index).zone.value();
    if (treePosition.isAssigned && m_zones[treePosition.zone]->name == zoneName) {
        return;
    }
    if (treePosition.isAssigned) {
        setKeys(treePosition, TournamentTree::Absent, TournamentTree::Absent);
        setSlots(treePosition, 0, 1);
    }
    Zone &zone = zoneOf(zoneName);
    treePosition.zone = static_cast<std::size_t>(std::find_if(m_zones.begin(),
                                                              m_zones.end(),
                                                              [&zone](const auto &candidate) {
                                                                  return candidate.get() == &zone;
                                                              })
                                                 - m_zones.begin());
    treePosition.leaf = zone.upstreams.size();
    treePosition.isAssigned = true;
    zone.upstreams.push_back(index);
    zone.free.resize(zone.upstreams.size());
    zone.overcommit.resize(zone.upstreams.size());
}

void SlotSelector::setSlots(TreePosition &treePosition, int limit, double slowness)
{
    Zone &zone = *m_zones[treePosition.zone];
    const double averageSlots = limit / slowness;
    zone.slots += limit - treePosition.limit;
    zone.usable += (limit > 0 ? 1 : 0) - (treePosition.limit > 0 ? 1 : 0);
    zone.averageSlots += averageSlots - treePosition.averageSlots;
    treePosition.limit = limit;
    treePosition.averageSlots = averageSlots;
}

void SlotSelector::setKeys(const TreePosition &treePosition, double freeSlotKey, double overcommitKey)
{
    ++m_keyChanges;
    m_zones[treePosition.zone]->free.set(treePosition.leaf, freeSlotKey);
    m_zones[treePosition.zone]->overcommit.set(treePosition.leaf, overcommitKey);
}

double SlotSelector::freeSlotKey(const UpstreamTable &table, UpstreamIndex index, int inFlight)
{
    const int limit = table.limit(index);
    return inFlight >= limit ? TournamentTree::Absent : table.slowness(index) * (1 + SlownessPerLoad * inFlight / limit);
}

void SlotSelector::refresh(const UpstreamTable &table, UpstreamIndex index, int inFlight)
{
    ensureTreePosition(table, index);
    const int limit = table.limit(index);
    const double slowness = table.slowness(index);
    // An upstream with a reduced limit is cold or shedding load, so it is not overcommitted.
    const bool isCold = table.warmup().isCold(index);
    const bool mayOvercommit = limit > 0 && inFlight == limit && limit == table.upstream(index).slots && !isCold;
    TreePosition &treePosition = m_treePositions[index];
    const bool isBlocked = table.warmup().isBlocked(index);
    treePosition.freeSlotKey = isBlocked ? TournamentTree::Absent : freeSlotKey(table, index, inFlight);
    treePosition.overcommitKey = TournamentTree::Absent;
    if (mayOvercommit) {
        treePosition.overcommitKey = slowness;
    }
    setKeys(treePosition, treePosition.freeSlotKey, treePosition.overcommitKey);
    setSlots(treePosition, limit, slowness);
}

void SlotSelector::removeFromTrees(std::span<const UpstreamIndex> indices)
{
    for (const UpstreamIndex index : indices) {
        if (index < m_treePositions.size() && m_treePositions[index].isAssigned) {
            setKeys(m_treePositions[index], TournamentTree::Absent, TournamentTree::Absent);
        }
    }
}

void SlotSelector::restoreToTrees(std::span<const UpstreamIndex> indices)
{
    for (const UpstreamIndex index : indices) {
        if (index < m_treePositions.size() && m_treePositions[index].isAssigned) {
            setKeys(m_treePositions[index], m_treePositions[index].freeSlotKey, m_treePositions[index].overcommitKey);
        }
    }
}

UpstreamIndex
SlotSelector::choose(Slots slots, std::string_view zoneName, std::span<const UpstreamIndex> excluded, double maxSlowness)
{
    removeFromTrees(excluded);
    UpstreamIndex chosen = None;
    double lowest = maxSlowness * (1 + SlownessPerLoad);
    for (const auto &zone : m_zones) {
        const TournamentTree &tree = slots == Slots::Free ? zone->free : zone->overcommit;
        const std::size_t leaf = tree.best();
        const double key = tree.key(leaf) / (zone->name == zoneName ? m_ownZoneAdvantage : 1.0);
        if (key < lowest) {
            lowest = key;
            chosen = zone->upstreams[leaf];
        }
    }
    restoreToTrees(excluded);
    return chosen;
}

std::span<const ZoneOffer> SlotSelector::zoneOffers(std::span<const UpstreamIndex> excluded, double maxSlowness)
{
    removeFromTrees(excluded);
    m_offers.clear();
    for (const auto &zone : m_zones) {
        const std::size_t leaf = zone->free.best();
        const double key = zone->free.key(leaf);
        ZoneOffer &offer = m_offers.emplace_back();
        offer.slots = zone->slots;
        offer.usable = zone->usable;
        offer.averageSlots = zone->averageSlots;
        offer.bestKey = TournamentTree::Absent;
        offer.upstream = None;
        if (key < maxSlowness * (1 + SlownessPerLoad)) {
            offer.bestKey = key;
            offer.upstream = zone->upstreams[leaf];
        }
    }
    restoreToTrees(excluded);
    return m_offers;
}

std::size_t SlotSelector::zoneIndex(std::string_view name) const
{
    for (std::size_t index = 0; index < m_zones.size(); ++index) {
        if (m_zones[index]->name == name) {
            return index;
        }
    }
    return ZoneExitQuery::UnknownZone;
}

void SlotSelector::setOwnZoneAdvantage(double advantage)
{
    m_ownZoneAdvantage = advantage;
}

std::string_view SlotSelector::internedZone(std::string_view name) const
{
    for (const auto &zone : m_zones) {
        if (zone->name == name) {
            return zone->name;
        }
    }
    return {};
}

std::uint64_t SlotSelector::keyChanges() const
{
    return m_keyChanges;
}

} // namespace Filbertmount
