#include <filbertmount/claims/claimshard.h>

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

ClaimKey key(int number)
{
    return claimKey("order-" + std::to_string(number));
}

ClaimNonce nonce(std::uint8_t number)
{
    ClaimNonce result{};
    result.fill(number);
    return result;
}

constexpr std::uint32_t Day = 24 * 3600;
// A multiple of 60, so that rounding to whole minutes has no effect.
constexpr StoreTime Noon{1'799'971'200};

StoreTime after(StoreTime time, std::int64_t seconds)
{
    return {time.seconds + seconds};
}

} // namespace

TEST_CASE("claim shard keeps open and done claims through serialization")
{
    ClaimShard shard;
    REQUIRE(shard.add(key(1), nonce(1), Day));
    REQUIRE(shard.add(key(2), nonce(2), Day));
    shard.stamp(Noon);
    REQUIRE(shard.add(key(3), nonce(3), 2 * Day));
    REQUIRE(shard.complete(key(2), nonce(2), 201));

    const std::string value = shard.serialize();
    CHECK(value.size() <= shard.sizeBound());
    const Result<ClaimShard> parsed = ClaimShard::parse(value);
    REQUIRE(parsed);
    CHECK(parsed->size() == 3);
    CHECK(parsed->sizeBound() == shard.sizeBound());
    CHECK(parsed->find(key(1))->nonce == nonce(1));
    CHECK(parsed->find(key(1))->stampedAt == Noon.seconds);
    CHECK(parsed->find(key(2))->status == 201);
    CHECK(parsed->find(key(3))->stampedAt == 0);
    CHECK(parsed->find(key(3))->retentionSeconds == 2 * Day);
    CHECK(parsed->find(key(4)) == nullptr);
}

// Guards against a shard of a newer version that is read as empty: requests with its keys would run again.
TEST_CASE("claim shard rejects malformed values and unknown versions")
{
    ClaimShard shard;
    REQUIRE(shard.add(key(1), nonce(1), Day));
    const std::string value = shard.serialize();
    std::string newer = value;
    newer[1] = 2;
    CHECK(ClaimShard::parse(value));
    CHECK(ClaimShard::parse("")->size() == 0);
    CHECK_FALSE(ClaimShard::parse(newer));
    CHECK_FALSE(ClaimShard::parse(value.substr(0, value.size() - 1)));
    CHECK_FALSE(ClaimShard::parse("no shard"));
    CHECK_FALSE(ClaimShard::parse(std::string("\x08\x01\x12\x05\x1a\x03zzz")));
}

TEST_CASE("only the nonce of the owner completes or removes a claim")
{
    ClaimShard shard;
    REQUIRE(shard.add(key(1), nonce(1), Day));
    CHECK_FALSE(shard.complete(key(1), nonce(2), 200));
    CHECK_FALSE(shard.remove(key(1), nonce(2)));
    CHECK_FALSE(shard.remove(key(2), nonce(1)));
    REQUIRE(shard.complete(key(1), nonce(1), 200));
    CHECK_FALSE(shard.remove(key(1), nonce(1)));
    CHECK_FALSE(shard.complete(key(1), nonce(1), 500));
    CHECK(shard.find(key(1))->status == 200);
}

TEST_CASE("a claim is pruned only after its retention by the store's clock")
{
    struct Case {
        std::uint32_t retention;
        bool stamped;
        std::int64_t pruneAfter;
        std::size_t left;
    };
    const Case cases[] = {
        {Day, true, Day, 1},
        {Day, true, Day + 1, 0},
        // A claim without a time stamp may be new, however old the shard is.
        {Day, false, 100 * std::int64_t{Day}, 1},
        // Retentions below the minimum are raised, because a claim must outlive its dispatch window.
        {0, true, ClaimShard::MinRetentionSeconds, 1},
        {0, true, ClaimShard::MinRetentionSeconds + 1, 0},
    };
    for (const Case &one : cases) {
        CAPTURE(one.pruneAfter);
        ClaimShard shard;
        REQUIRE(shard.add(key(1), nonce(1), one.retention));
        if (one.stamped) {
            shard.stamp(Noon);
        }
        shard.prune(after(Noon, one.pruneAfter));
        CHECK(shard.size() == one.left);
    }
    ClaimShard late;
    REQUIRE(late.add(key(1), nonce(1), Day));
    late.stamp(after(Noon, 1));
    late.prune(after(Noon, 1 + Day));
    CHECK(late.size() == 1);
}

TEST_CASE("a full shard refuses new claims and stays within the store's limit")
{
    ClaimShard shard;
    int added = 0;
    while (shard.add(key(added), nonce(1), Day)) {
        ++added;
    }
    CHECK(added > 30'000);
    shard.stamp(Noon);
    CHECK(shard.serialize().size() <= ClaimShard::MaxValueBytes);
    REQUIRE(shard.complete(key(0), nonce(1), 200));
    REQUIRE(shard.complete(key(1), nonce(1), 200));
    REQUIRE(shard.complete(key(2), nonce(1), 200));
    CHECK(shard.prune(after(Noon, Day + 60)) == static_cast<std::size_t>(added));
    CHECK(shard.sizeBound() < 100);
    CHECK(shard.add(key(1), nonce(2), Day));
}
