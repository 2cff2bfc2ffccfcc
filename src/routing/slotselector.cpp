#include <filbertmount/routing/slotselector.h>

#include "routing/tournamenttree.h"

#include <algorithm>
#include <string>

namespace Filbertmount {

namespace {

// Requests beside each other slow each other down: a machine of the services measured takes 1.7 times as long when it is
// nearly full, and so does the request that runs there already.
constexpr double SlownessPerLoad = 1.5;

} // namespace

struct SlotSelector::Zone {
    std::string name;
    TournamentTree free;
    TournamentTree inAdvance;
    std::vector<UpstreamIndex> upstreams;
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

void SlotSelector::ensurePlace(const UpstreamTable &table, UpstreamIndex index)
{
    if (index >= m_places.size()) {
        m_places.resize(table.size());
    }
    Place &place = m_places[index];
    const std::string &zoneName = table.upstream(index).zone.value();
    if (place.isKnown && m_zones[place.zone]->name == zoneName) {
        return;
    }
    if (place.isKnown) {
        setKeys(place, TournamentTree::Absent, TournamentTree::Absent);
    }
    Zone &zone = zoneOf(zoneName);
    place.zone = static_cast<std::size_t>(std::find_if(m_zones.begin(),
                                                       m_zones.end(),
                                                       [&zone](const auto &known) {
                                                           return known.get() == &zone;
                                                       })
                                          - m_zones.begin());
    place.leaf = zone.upstreams.size();
    place.isKnown = true;
    zone.upstreams.push_back(index);
    zone.free.resize(zone.upstreams.size());
    zone.inAdvance.resize(zone.upstreams.size());
}

void SlotSelector::setKeys(const Place &place, double freeKey, double advanceKey)
{
    ++m_keyChanges;
    m_zones[place.zone]->free.set(place.leaf, freeKey);
    m_zones[place.zone]->inAdvance.set(place.leaf, advanceKey);
}

double SlotSelector::freeKey(const UpstreamTable &table, UpstreamIndex index, int inFlight)
{
    const int limit = table.limit(index);
    return inFlight >= limit ? TournamentTree::Absent : table.slowness(index) * (1 + SlownessPerLoad * inFlight / limit);
}

void SlotSelector::refresh(const UpstreamTable &table, UpstreamIndex index, int inFlight)
{
    ensurePlace(table, index);
    const int limit = table.limit(index);
    const double slowness = table.slowness(index);
    // An upstream whose limit is reduced is to be spared, so it gets nothing in advance.
    const bool mayTakeInAdvance = limit > 0 && inFlight == limit && limit == table.upstream(index).slots;
    Place &place = m_places[index];
    place.freeKey = freeKey(table, index, inFlight);
    place.advanceKey = TournamentTree::Absent;
    if (mayTakeInAdvance) {
        place.advanceKey = slowness;
    }
    setKeys(place, place.freeKey, place.advanceKey);
}

void SlotSelector::hide(std::span<const UpstreamIndex> indices)
{
    for (const UpstreamIndex index : indices) {
        if (index < m_places.size() && m_places[index].isKnown) {
            setKeys(m_places[index], TournamentTree::Absent, TournamentTree::Absent);
        }
    }
}

void SlotSelector::show(std::span<const UpstreamIndex> indices)
{
    for (const UpstreamIndex index : indices) {
        if (index < m_places.size() && m_places[index].isKnown) {
            setKeys(m_places[index], m_places[index].freeKey, m_places[index].advanceKey);
        }
    }
}

UpstreamIndex
SlotSelector::choose(Slots slots, std::string_view zoneName, std::span<const UpstreamIndex> excluded, double largestSlowness)
{
    hide(excluded);
    UpstreamIndex chosen = None;
    double lowest = largestSlowness * (1 + SlownessPerLoad);
    for (const auto &zone : m_zones) {
        const TournamentTree &tree = slots == Slots::Free ? zone->free : zone->inAdvance;
        const std::size_t leaf = tree.best();
        const double key = tree.key(leaf) / (zone->name == zoneName ? m_ownZoneAdvantage : 1.0);
        if (key < lowest) {
            lowest = key;
            chosen = zone->upstreams[leaf];
        }
    }
    show(excluded);
    return chosen;
}

void SlotSelector::setOwnZoneAdvantage(double advantage)
{
    m_ownZoneAdvantage = advantage;
}

std::string_view SlotSelector::knownZone(std::string_view name) const
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
