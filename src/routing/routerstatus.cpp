#include <filbertmount/routing/routerstatus.h>

#include <filbertmount/routing/servicerouter.h>

namespace Filbertmount {

std::vector<UpstreamStatus> upstreamStatus(const ServiceRouter &router)
{
    const UpstreamTable &table = router.table();
    std::vector<UpstreamStatus> result;
    for (UpstreamIndex index = 0; index < table.size(); ++index) {
        if (!table.isListed(index)) {
            continue;
        }
        result.push_back({.upstream = table.upstream(index),
                          .state = table.state(index),
                          .isEjected = table.isEjected(index),
                          .isCold = table.warmup().isCold(index),
                          .limit = table.limit(index),
                          .inFlight = router.client().inFlight(index),
                          .dispatchedInFlight = router.dispatcher().inFlight(index),
                          .slowness = table.slowness(index)});
    }
    return result;
}

} // namespace Filbertmount
