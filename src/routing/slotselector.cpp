#include <filbertmount/routing/slotselector.h>

#include "routing/tournamenttree.h"

#include <algorithm>
#include <string>

namespace Filbertmount {

namespace {

// Between upstreams of like speed, the one with more free slots is taken.
constexpr double KeyPerLoad = 0.25;
// The own zone saves two crossings of under 1 ms; a quarter of a service time is more than that for our services.
constexpr double OwnZoneAdvantage = 1.25;

} // namespace

struct SlotSelector::Zone {
    std::string name;
    TournamentTree tree;
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
        setKey(place, TournamentTree::Absent);
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
    zone.tree.resize(zone.upstreams.size());
}

void SlotSelector::setKey(const Place &place, double key)
{
    ++m_keyChanges;
    m_zones[place.zone]->tree.set(place.leaf, key);
}

void SlotSelector::refresh(const UpstreamTable &table, UpstreamIndex index, int inFlight)
{
    ensurePlace(table, index);
    const int limit = table.limit(index);
    Place &place = m_places[index];
    place.key = inFlight >= limit ? TournamentTree::Absent : table.slowness(index) + KeyPerLoad * inFlight / limit;
    setKey(place, place.key);
}

UpstreamIndex SlotSelector::choose(std::string_view zoneName, std::span<const UpstreamIndex> excluded, double largestSlowness)
{
    for (const UpstreamIndex index : excluded) {
        if (index < m_places.size() && m_places[index].isKnown) {
            setKey(m_places[index], TournamentTree::Absent);
        }
    }
    UpstreamIndex chosen = None;
    double lowest = std::min(largestSlowness + KeyPerLoad, std::numeric_limits<double>::max());
    for (const auto &zone : m_zones) {
        const std::size_t leaf = zone->tree.best();
        const double key = zone->tree.key(leaf) / (zone->name == zoneName ? OwnZoneAdvantage : 1.0);
        if (key < lowest) {
            lowest = key;
            chosen = zone->upstreams[leaf];
        }
    }
    for (const UpstreamIndex index : excluded) {
        if (index < m_places.size() && m_places[index].isKnown) {
            setKey(m_places[index], m_places[index].key);
        }
    }
    return chosen;
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
