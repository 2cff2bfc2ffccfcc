#include "edge/requestranks.h"

#include <filbertmount/routing/placement.h>

#include <algorithm>
#include <optional>

namespace Filbertmount {

RequestRanks::RequestRanks(const RouteSet &routes)
{
    // Rank of the most urgent account that has one, and whether requests of other accounts have the rank of their route.
    std::optional<int> accountRank;
    bool isRouteRankUsed = routes.accounts.empty();
    for (const ClientAccount &account : routes.accounts) {
        isRouteRankUsed = isRouteRankUsed || !account.rank;
        if (account.rank) {
            accountRank = std::min(accountRank.value_or(*account.rank), *account.rank);
        }
    }
    for (const ForwardRoute &route : routes.routes) {
        int rank = route.rank;
        if (accountRank && !route.isKeyExempt) {
            rank = isRouteRankUsed ? std::min(rank, *accountRank) : *accountRank;
        }
        for (const ForwardTarget &target : route.targets) {
            const auto [mostUrgent, isNew] = m_mostUrgent.try_emplace(target.service, rank);
            mostUrgent->second = std::min(mostUrgent->second, rank);
        }
    }
}

Priority RequestRanks::priorityOf(const ForwardRoute &route, const ClientAccount *account, const ServiceName &service) const
{
    return rankOf(route, account, service) == 0 ? Priority::Interactive : Priority::Patient;
}

std::uint8_t RequestRanks::rankOf(const ForwardRoute &route, const ClientAccount *account, const ServiceName &service) const
{
    constexpr std::int64_t lastRank = QueueRanks - 1;
    const std::int64_t rank = account != nullptr ? account->rank.value_or(route.rank) : route.rank;
    return static_cast<std::uint8_t>(std::clamp<std::int64_t>(rank - m_mostUrgent.at(service), 0, lastRank));
}

} // namespace Filbertmount
