#include "fuzz/mutation.h"

#include "storeprotocol.h"

#include <absl/strings/str_join.h>
#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;

namespace {

const std::string UpstreamJson =
    R"({"metadata":{"name":"i-1","revision":7},"spec":{"address":"10.0.0.9:8080","born":1700,"info":{"service":"s",)"
    R"("zone":"a","capacity_slots":2}},"status":{"state":"ready","sequence":4,"warmup_left_s":1.5}})";
const std::string RoutesJson =
    R"({"metadata":{"name":"main","revision":9},"spec":{"version":"0000000c","routes":{"columns":["name","host",)"
    R"("path_prefix","kind","timeout_s","service","traffic_split"],"rows":[["r","h","/a/","safe",1.5,"s",null],)"
    R"(["q","h","/b/","unsafe",1,null,[{"service":"s","weight":3}]]]},"services":{"columns":["name"],"rows":[["s"]]}}})";

std::string listResponse(const std::string &object)
{
    return R"({"items":[)" + object + R"(],"has_more":false,"store_revision":530})";
}

std::string changesResponse(const std::string &object)
{
    return R"({"events":[{"deleted":false,"object":)" + object + R"(}],"store_revision":531})";
}

} // namespace

// Guards against a malformed object, written by another program, that crashes the process or makes the other objects unreadable.
TEST_CASE("fuzz: every response of the store is read or rejected with a reason")
{
    const Platform::StoreProtocol protocol;
    const int seedCount = fuzzSeedCount(3000);
    for (int seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        Mutator mutator(static_cast<std::uint64_t>(seed));
        const bool isRoutes = mutator.randomBelow(2) == 0;
        const StateKind kind = isRoutes ? StateKind::Routes : StateKind::Upstreams;
        const std::string object = mutator.mutated(isRoutes ? RoutesJson : UpstreamJson);
        const StoreResult<StatePage> listed = protocol.parsePage(kind, 200, listResponse(object));
        if (const auto *error = std::get_if<StoreError>(&listed)) {
            CHECK(error->problem == StoreProblem::Malformed);
            CHECK_FALSE(error->reason.empty());
        } else {
            for (const StateObject &item : std::get<StatePage>(listed).objects) {
                const auto *malformed = std::get_if<MalformedObject>(&item.value);
                CHECK((malformed == nullptr || !malformed->reason.empty()));
            }
        }
        const StoreResult<StateChanges> changed = protocol.parseChanges(kind, 200, changesResponse(object));
        const auto *error = std::get_if<StoreError>(&changed);
        CHECK((error == nullptr || !error->reason.empty()));
    }
}

// Guards against an entry that makes the entries beside it unreadable.
TEST_CASE("fuzz: an entry with any content leaves the entries beside it readable")
{
    const Platform::StoreProtocol protocol;
    const int seedCount = fuzzSeedCount(3000);
    int readable = 0;
    for (int seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        Mutator mutator(static_cast<std::uint64_t>(seed));
        const std::string odd = mutator.mutated(UpstreamJson);
        CAPTURE(odd);
        // No text, or text that ends the list early, is no entry.
        if (odd.empty() || std::holds_alternative<StoreError>(protocol.parsePage(StateKind::Upstreams, 200, listResponse(odd)))) {
            continue;
        }
        ++readable;
        const auto listed =
            protocol.parsePage(StateKind::Upstreams, 200, listResponse(absl::StrJoin({UpstreamJson, odd, UpstreamJson}, ",")));
        REQUIRE(std::holds_alternative<StatePage>(listed));
        const auto &objects = std::get<StatePage>(listed).objects;
        REQUIRE(objects.size() >= 2);
        CHECK(std::holds_alternative<UpstreamRecord>(objects.front().value));
        CHECK(std::holds_alternative<UpstreamRecord>(objects.back().value));
    }
    CHECK(readable > seedCount / 4);
}
