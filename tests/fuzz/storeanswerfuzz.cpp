#include "fuzz/mutation.h"

#include "storeprotocol.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;

namespace {

const std::string Upstream =
    R"({"metadata":{"name":"i-1","revision":7},"spec":{"address":"10.0.0.9:8080","born":1700,"info":{"service":"s",)"
    R"("zone":"a","capacity_slots":2}},"status":{"state":"ready","sequence":4,"warmup_left_s":1.5}})";
const std::string Routes =
    R"({"metadata":{"name":"main","revision":9},"spec":{"version":"0000000c","routes":{"columns":["name","host",)"
    R"("path_prefix","kind","timeout_s","service","traffic_split"],"rows":[["r","h","/a/","safe",1.5,"s",null],)"
    R"(["q","h","/b/","unsafe",1,null,[{"service":"s","weight":3}]]]},"services":{"columns":["name"],"rows":[["s"]]}}})";

std::string page(const std::string &object)
{
    return R"({"items":[)" + object + R"(],"has_more":false,"store_revision":530})";
}

std::string events(const std::string &object)
{
    return R"({"events":[{"deleted":false,"object":)" + object + R"(}],"store_revision":531})";
}

} // namespace

// Guards against an object of a foreign writer that ends the process or takes the other objects with it.
TEST_CASE("fuzz: whatever the store answers, it is read or rejected with a reason")
{
    const Platform::StoreProtocol protocol;
    const int seeds = fuzzSeeds(3000);
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        Mutator mutator(static_cast<std::uint64_t>(seed));
        const bool isRoutes = mutator.below(2) == 0;
        const StateKind kind = isRoutes ? StateKind::Routes : StateKind::Upstreams;
        const std::string object = mutator.mutated(isRoutes ? Routes : Upstream);
        const StoreResult<StatePage> listed = protocol.parsePage(kind, 200, page(object));
        if (const auto *error = std::get_if<StoreError>(&listed)) {
            CHECK(error->problem == StoreProblem::Malformed);
            CHECK_FALSE(error->reason.empty());
        } else {
            for (const StateObject &item : std::get<StatePage>(listed).objects) {
                const auto *malformed = std::get_if<MalformedObject>(&item.value);
                CHECK((malformed == nullptr || !malformed->reason.empty()));
            }
        }
        const StoreResult<StateChanges> changed = protocol.parseChanges(kind, 200, events(object));
        const auto *error = std::get_if<StoreError>(&changed);
        CHECK((error == nullptr || !error->reason.empty()));
    }
}
