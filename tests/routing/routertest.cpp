#include <filbertmount/routing/router.h>

#include <doctest/doctest.h>

#include <set>

using namespace Filbertmount;

namespace {

PlacementResult placeNow(Router &router, const PlacementQuery &query)
{
    PlacementResult result;
    router.place(query, [&](PlacementResult given) {
        result = std::move(given);
    });
    return result;
}

} // namespace

TEST_CASE("router: places attempts only at listed upstreams that are not excluded")
{
    Router router;
    const ServiceName service("shopfront");
    router.updateUpstreams(service,
                           {{.id = UpstreamId("u1"), .address = "127.0.0.1:1", .zone = {}, .slots = 2},
                            {.id = UpstreamId("u2"), .address = "127.0.0.1:2", .zone = {}, .slots = 2}});

    for (int round = 0; round < 20; ++round) {
        const PlacementResult result = placeNow(router, {.service = service, .deadline = {}, .excluded = {UpstreamId("u1")}});
        REQUIRE(std::holds_alternative<Placement>(result));
        CHECK(std::get<Placement>(result).upstream == UpstreamId("u2"));
        router.release(std::get<Placement>(result), {});
    }
    const PlacementResult none =
        placeNow(router, {.service = service, .deadline = {}, .excluded = {UpstreamId("u1"), UpstreamId("u2")}});
    CHECK(std::get<PlacementRefusal>(none).reason == RefusalReason::NoUpstream);
    const PlacementResult unknown = placeNow(router, {.service = ServiceName("other"), .deadline = {}});
    CHECK(std::get<PlacementRefusal>(unknown).reason == RefusalReason::UnknownService);
}
