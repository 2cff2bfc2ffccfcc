#pragma once

#include <filbertmount/routing/upstreamtable.h>
#include <filbertmount/routing/zoneexitpolicy.h>

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

class TournamentTree;

/**
 * Finds the upstream with a free slot that is expected to be the fastest; prefers the requester's zone while it is nearly as
 * fast.
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

    /** Updates the keys of one upstream after a change of its limit, slowness or attempts in flight. */
    void refresh(const UpstreamTable &table, UpstreamIndex index, int inFlight);

    /** Sort key of an upstream among those with a free slot, lowest first; infinite when no slot is free. */
    [[nodiscard]] static double freeSlotKey(const UpstreamTable &table, UpstreamIndex index, int inFlight);

    /** Selects the upstreams that are considered. */
    enum class Slots : std::uint8_t {
        /** Upstreams with a free slot. */
        Free,
        /** Upstreams whose slots are all taken and that are not overcommitted yet. */
        Overcommit,
    };

    /**
     * Returns the best of the considered upstreams that is not in @p excluded, or None.
     *
     * @param maxSlowness upstreams that are slower than this multiple of the service's mean are left out
     */
    UpstreamIndex choose(Slots slots, std::string_view zone, std::span<const UpstreamIndex> excluded, double maxSlowness);

    /**
     * Returns the state of each zone with its best free upstream, in the order of zoneIndex(). The view is valid until the next
     * call. @p excluded and @p maxSlowness are as for choose().
     */
    std::span<const ZoneOffer> zoneOffers(std::span<const UpstreamIndex> excluded, double maxSlowness);
    /** Index of a zone; ZoneExitQuery::UnknownZone when no upstream was ever there. Indices stay the same. */
    [[nodiscard]] std::size_t zoneIndex(std::string_view name) const;

    /** Sets how many times as fast an upstream in another zone must be to be preferred to one in the requester's zone. */
    void setOwnZoneAdvantage(double advantage);

    /** Returns a view of @p name that is valid as long as this object; empty when no upstream is in that zone. */
    [[nodiscard]] std::string_view internedZone(std::string_view name) const;

    /** Number of key changes in all trees; measures work independently of the machine. */
    [[nodiscard]] std::uint64_t keyChanges() const;

private:
    struct Zone;
    /** Position of an upstream in the trees of its zone, and its keys there. */
    struct TreePosition {
        std::size_t zone = 0;
        std::size_t leaf = 0;
        bool isAssigned = false;
        double freeSlotKey = 0;
        double overcommitKey = 0;
        int limit = 0;
        double averageSlots = 0;
    };

    Zone &zoneOf(std::string_view name);
    void ensureTreePosition(const UpstreamTable &table, UpstreamIndex index);
    /** Replaces the share of one upstream in the sums of its zone. */
    void setSlots(TreePosition &treePosition, int limit, double slowness);
    void setKeys(const TreePosition &treePosition, double freeSlotKey, double overcommitKey);
    /** Hides upstreams from choose() until restoreToTrees(). */
    void removeFromTrees(std::span<const UpstreamIndex> indices);
    void restoreToTrees(std::span<const UpstreamIndex> indices);

    std::vector<std::unique_ptr<Zone>> m_zones;
    std::vector<TreePosition> m_treePositions;
    std::vector<ZoneOffer> m_offers;
    std::uint64_t m_keyChanges = 0;
    double m_ownZoneAdvantage = 1;
};

} // namespace Filbertmount
