#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <random>
#include <span>

namespace Filbertmount {

/**
 * Decides which store reads for documents are this instance's task. The fleet's total is constant: two watches per
 * region and FleetListingsPerSecond full listings, however many instances there are. Not thread-safe.
 */
class StoreReadSchedule
{
public:
    /** Members of a region that hold a watch; a second one covers the time until the death of the first is noticed. */
    static constexpr std::size_t WatchersPerRegion = 2;
    static constexpr double FleetListingsPerSecond = 2;

    struct Options {
        InstanceId self;
        Region region;
        /** Limit on entry instances from the settings: paces listings while few members are known, as after a mass start. */
        std::size_t expectedMembers = 1;
        std::uint64_t seed = 1;
    };

    StoreReadSchedule(Options options, Instant now);

    /** @param regionMembers live members of the own region, with or without this instance */
    [[nodiscard]] bool holdsWatch(std::span<const InstanceId> regionMembers) const;

    /** True when a full listing is due now; the next one is then planned. @param members live members, this one included */
    bool listingDue(Instant now, std::size_t members);

private:
    Duration listingInterval(std::size_t members);

    Options m_options;
    std::mt19937_64 m_random;
    Instant m_nextListing;
};

} // namespace Filbertmount
