#include "edge/requestranks.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

TEST_CASE("request ranks: the rank of an account takes precedence over that of the route")
{
    struct Row {
        const char *name;
        /** Ranks of the accounts; none if there are no accounts. */
        std::vector<std::optional<int>> accounts;
        int routeRank;
        bool isExempt;
        /** Account of the request. */
        std::optional<std::size_t> account;
        bool isUrgent;
    };
    // The service has another route, with rank 1.
    const Row rows[] = {
        {"no accounts, urgent route", {}, 1, false, {}, true},
        {"no accounts, patient route", {}, 2, false, {}, false},
        {"urgent account on a patient route", {0, 3}, 2, false, 0, true},
        {"patient account on an urgent route", {0, 3}, 1, false, 1, false},
        {"account without a rank, urgent route, others not more urgent", {{}, 3}, 1, false, 0, true},
        {"account without a rank, others more urgent", {{}, 0}, 1, false, 0, false},
        {"all accounts patient, so the most urgent of them is first", {2, 3}, 1, false, 0, true},
        {"the other one", {2, 3}, 1, false, 1, false},
        {"exempt route", {2, 3}, 1, true, {}, true},
        {"account beside an exempt route that is more urgent", {2, 3}, 1, true, 0, false},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        const ServiceName service("s");
        RouteSet routes{.version = RouteSetVersion(1), .requiresKey = !row.accounts.empty()};
        routes.routes = {{.name = "own", .rank = row.routeRank, .targets = {{.service = service}}, .isKeyExempt = row.isExempt},
                         {.name = "other", .rank = 1, .targets = {{.service = service}}}};
        for (const std::optional<int> rank : row.accounts) {
            routes.accounts.push_back({.name = AccountName(std::to_string(routes.accounts.size())), .rank = rank});
        }
        const RequestRanks ranks(routes);
        const ClientAccount *account = row.account ? &routes.accounts[*row.account] : nullptr;
        CHECK((ranks.rankOf(routes.routes[0], account, service) == 0) == row.isUrgent);
        CHECK((ranks.priorityOf(routes.routes[0], account, service) == Priority::Interactive) == row.isUrgent);
    }
}
