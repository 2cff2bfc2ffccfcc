#include <filbertmount/types/rendezvoushash.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace Filbertmount;

namespace {

std::vector<InstanceId> members(int count)
{
    std::vector<InstanceId> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        result.emplace_back("entry-" + std::to_string(index));
    }
    return result;
}

} // namespace

// Guards against a hash that differs between builds: members of different versions would elect two dispatchers.
TEST_CASE("stable hash keeps its published values")
{
    CHECK(stableHash("") == 0xefd01f60ba992926ULL);
    CHECK(stableHash("shopfront") != stableHash("shopfronT"));
}

TEST_CASE("rendezvous order")
{
    SUBCASE("a removed member moves only its own keys")
    {
        const std::vector<InstanceId> all = members(14);
        std::vector<InstanceId> fewer = all;
        fewer.erase(fewer.begin() + 3);
        for (int key = 0; key < 200; ++key) {
            const std::string name = "service-" + std::to_string(key);
            const InstanceId before = rendezvousOrder(name, all, 1).front();
            const InstanceId after = rendezvousOrder(name, fewer, 1).front();
            if (before != all[3]) {
                CHECK(before == after);
            }
        }
    }
    SUBCASE("keys spread over the members")
    {
        std::map<InstanceId, int> owned;
        for (int key = 0; key < 1400; ++key) {
            ++owned[rendezvousOrder("service-" + std::to_string(key), members(14), 1).front()];
        }
        CHECK(owned.size() == 14);
        for (const auto &entry : owned) {
            CAPTURE(entry.first);
            CHECK(entry.second > 50);
            CHECK(entry.second < 170);
        }
    }
    SUBCASE("the order does not depend on how the members are listed")
    {
        std::vector<InstanceId> reversed = members(5);
        std::reverse(reversed.begin(), reversed.end());
        CHECK(rendezvousOrder("k", members(5), 5) == rendezvousOrder("k", reversed, 5));
    }
    SUBCASE("asking for more members than there are returns all")
    {
        CHECK(rendezvousOrder("k", members(3), 10).size() == 3);
        CHECK(rendezvousOrder("k", {}, 2).empty());
    }
}
