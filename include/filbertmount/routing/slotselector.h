#pragma once

#include <filbertmount/routing/upstreamtable.h>

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

class TournamentTree;

/**
 * Finds the free slot with the fastest recent service time, in the requester's zone while that is nearly as fast.
 *
 * Keeps one tournament tree per availability zone, so that a choice costs O(zones + log upstreams). Not thread-safe.
 */
class SlotSelector
{
public:
    static constexpr UpstreamIndex None = ~UpstreamIndex{0};

    SlotSelector();
    ~SlotSelector();
    SlotSelector(const SlotSelector &) = delete;
    SlotSelector &operator=(const SlotSelector &) = delete;

    /** Brings one upstream's place in the order up to date. */
    void refresh(const UpstreamTable &table, UpstreamIndex index, int inFlight);

    /** Order of an upstream among those with a free slot, the lowest first; above all others when it has none. */
    [[nodiscard]] static double freeSlotKey(const UpstreamTable &table, UpstreamIndex index, int inFlight);

    /** Which upstreams are considered. */
    enum class Slots : std::uint8_t {
        Free,
        /** All slots are taken, and none of them in advance. */
        Overcommit,
    };

    /**
     * Returns the best of the considered upstreams that is not in @p excluded, or None.
     *
     * @param maxSlowness upstreams that are slower than this multiple of the service's mean are left out
     */
    UpstreamIndex choose(Slots slots, std::string_view zone, std::span<const UpstreamIndex> excluded, double maxSlowness);

    /** Sets how many times as fast an upstream in another zone must be to be preferred to one in the own zone. */
    void setOwnZoneAdvantage(double advantage);

    /** Returns a view of @p name that lives as long as this object; empty when no upstream is in that zone. */
    [[nodiscard]] std::string_view internedZone(std::string_view name) const;

    /** Key changes in all trees so far; a measure of work that does not depend on the machine. */
    [[nodiscard]] std::uint64_t keyChanges() const;

private:
    struct Zone;
    struct TreePosition {
        std::size_t zone = 0;
        std::size_t leaf = 0;
        bool isAssigned = false;
        double freeSlotKey = 0;
        double overcommitKey = 0;
    };

    Zone &zoneOf(std::string_view name);
    void ensureTreePosition(const UpstreamTable &table, UpstreamIndex index);
    void setKeys(const TreePosition &treePosition, double freeSlotKey, double overcommitKey);
    void removeFromTrees(std::span<const UpstreamIndex> indices);
    void restoreToTrees(std::span<const UpstreamIndex> indices);

    std::vector<std::unique_ptr<Zone>> m_zones;
    std::vector<TreePosition> m_treePositions;
    std::uint64_t m_keyChanges = 0;
    double m_ownZoneAdvantage = 1;
};

} // namespace Filbertmount
