#include "edge/partcollector.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

ChangePart part(std::uint32_t number, std::uint32_t parts, std::uint64_t revision = 1)
{
    return {
        .from = InstanceId("a"),
        .revision = Revision(revision),
        .part = number,
        .parts = parts,
        .changes = {{.object = {.name = std::to_string(number), .revision = Revision(revision), .value = MalformedObject()}}}};
}

} // namespace

// Guards against a faulty instance whose parts would take memory or defer the fetch of the state.
TEST_CASE("part collector: only parts with consistent numbers are valid")
{
    struct Row {
        std::uint32_t number;
        std::uint32_t parts;
        bool isValid;
    };
    for (const Row &row : {Row{0, 1, true}, Row{2, 3, true}, Row{3, 3, false}, Row{0, 0, false}, Row{0, 4'000'000, false}}) {
        CAPTURE(row.number);
        CAPTURE(row.parts);
        CHECK(part(row.number, row.parts).isValid() == row.isValid);
    }
}

TEST_CASE("part collector: a set is complete with its last part, in any order, and another set discards it")
{
    PartCollector collector;
    CHECK_FALSE(collector.add(part(1, 2)).has_value());
    CHECK_FALSE(collector.add(part(0, 2, 2)).has_value());
    CHECK_FALSE(collector.add(part(0, 2)).has_value());
    const auto all = collector.add(part(1, 2));
    REQUIRE(all.has_value());
    CHECK(all->size() == 2);
    CHECK(all->front().object.name == "0");
}
