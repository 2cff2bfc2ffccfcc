#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <random>
#include <span>

namespace Filbertmount {

/**
 * Decides which store reads for documents this instance makes. The load of the whole fleet on the store does not depend on
 * the number of instances: WatchersPerRegion watches in each region and FleetListingsPerSecond full listings. Not
 * thread-safe.
 */
class StoreReadSchedule
{
public:
    /** Members of a region that hold a watch. The second one covers the time until the death of the first is detected. */
    static constexpr std::size_t WatchersPerRegion = 2;
    static constexpr double FleetListingsPerSecond = 2;

    struct Options {
        InstanceId self;
        Region region;
        /**
         * Expected size of the fleet, from the settings. It limits the rate of listings while few members are known, as
         * after a simultaneous start.
         */
        std::size_t expectedMembers = 1;
        std::uint64_t seed = 1;
    };

    StoreReadSchedule(Options options, Instant now);

    /**
     * True when this instance is one of the region's watchers.
     *
     * @param regionMembers live members of this instance's region, with or without this instance
     */
    [[nodiscard]] bool holdsWatch(std::span<const InstanceId> regionMembers) const;

    /**
     * True when a full listing is due; then also schedules the next one.
     *
     * @param members number of live members, this instance included
     */
    bool listingDue(Instant now, std::size_t members);

private:
    /** Random time until the next listing of this instance. */
    Duration listingInterval(std::size_t members);

    Options m_options;
    std::mt19937_64 m_random;
    Instant m_nextListing;
};

} // namespace Filbertmount
