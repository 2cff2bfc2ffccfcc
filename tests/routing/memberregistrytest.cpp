#include <filbertmount/routing/memberregistry.h>

#include <doctest/doctest.h>

#include <set>

using namespace Filbertmount;

namespace {

std::vector<InstanceId> instances(int first, int count)
{
    std::vector<InstanceId> ids;
    for (int number = first; number < first + count; ++number) {
        ids.emplace_back("i" + std::to_string(number));
    }
    return ids;
}

} // namespace

// Guards against small machines becoming dispatchers: dispatching for 215 upstreams takes more than a tenth of a core.
TEST_CASE("member registry: dispatchers are selected from the given candidates, or from all members when none are given")
{
    struct Case {
        const char *name;
        int members;
        int dispatchers;
    };
    for (const Case &row : {Case{"all are alike", 14, 0}, Case{"eight large machines of 144", 144, 8}, Case{"one", 14, 1}}) {
        CAPTURE(row.name);
        MemberRegistry registry(InstanceId("i0"));
        const std::vector<InstanceId> members = instances(0, row.members);
        const std::vector<InstanceId> large = instances(5, row.dispatchers);
        registry.setMembers(members, large);
        std::set<InstanceId> chosen;
        for (int service = 0; service < 400; ++service) {
            chosen.insert(registry.id(registry.dispatcherOf(ServiceName("s" + std::to_string(service)))));
        }
        CHECK(chosen.size() == static_cast<std::size_t>(row.dispatchers > 0 ? row.dispatchers : row.members));
        for (const InstanceId &id : large) {
            CHECK(chosen.contains(id));
        }
    }
}
