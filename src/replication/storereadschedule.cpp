#include <filbertmount/replication/storereadschedule.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Filbertmount {

StoreReadSchedule::StoreReadSchedule(Options options, Instant now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_nextListing(now + listingInterval(m_options.expectedMembers))
{
}

bool StoreReadSchedule::holdsWatch(std::span<const InstanceId> regionMembers) const
{
    std::vector<InstanceId> members(regionMembers.begin(), regionMembers.end());
    if (std::find(members.begin(), members.end(), m_options.self) == members.end()) {
        members.push_back(m_options.self);
    }
    const std::vector<InstanceId> watchers =
        rendezvousOrder("documents/watch/" + m_options.region.value(), members, WatchersPerRegion);
    return std::find(watchers.begin(), watchers.end(), m_options.self) != watchers.end();
}

bool StoreReadSchedule::listingDue(Instant now, std::size_t members)
{
    if (now < m_nextListing) {
        return false;
    }
    m_nextListing = now + listingInterval(members);
    return true;
}

Duration StoreReadSchedule::listingInterval(std::size_t members)
{
    const auto instances = static_cast<double>(std::max(members, m_options.expectedMembers));
    // Random between 0.5 and 1.5 intervals, so that instances that started together do not list at the same time.
    const double seconds = instances / FleetListingsPerSecond * std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Filbertmount
