#include <filbertmount/store/httpobjectstore.h>

#include "support/platform.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Filbertmount;

namespace {

static_assert(ObjectStore<HttpObjectStore>);

// Long enough that no test runs into it, even with sanitizers.
constexpr Duration Timeout = std::chrono::seconds(20);

HttpStoreOptions storeOptions(RunningPlatform &platform)
{
    return {.address = platform->address(), .timeout = Timeout};
}

} // namespace

TEST_CASE("objects are written under a condition and read back byte for byte")
{
    RunningPlatform platform;
    HttpObjectStore store(storeOptions(platform));
    const std::string key = "documents/shop front%2F?#";
    const std::string value("a\0\xff\r\n", 5);

    CHECK(store.read(key).outcome == StoreOutcome::Absent);
    const StoreReply created = store.update(key, value, AbsentRevision);
    REQUIRE(created.outcome == StoreOutcome::Done);
    CHECK(created.time.seconds > 0);
    const StoreReply read = store.read(key);
    REQUIRE(read.outcome == StoreOutcome::Done);
    CHECK(read.object.value == value);
    CHECK(read.object.revision == created.object.revision);

    CHECK(store.update(key, "x", AbsentRevision).outcome == StoreOutcome::Conflict);
    CHECK(store.update(key, "x", Revision(created.object.revision.value() + 1)).outcome == StoreOutcome::Conflict);
    const StoreReply changed = store.update(key, "", created.object.revision);
    REQUIRE(changed.outcome == StoreOutcome::Done);
    CHECK(changed.object.revision > created.object.revision);
    CHECK(store.read(key).object.value.empty());
}

TEST_CASE("listing and watch show the changes under a prefix")
{
    RunningPlatform platform;
    HttpObjectStore store(storeOptions(platform));
    const std::string value("\0b", 2);
    REQUIRE(store.update("documents/a", value, AbsentRevision).outcome == StoreOutcome::Done);
    REQUIRE(store.update("claims/a/1", "c", AbsentRevision).outcome == StoreOutcome::Done);

    const StoreListing listing = store.list("documents/");
    REQUIRE(listing.outcome == StoreOutcome::Done);
    REQUIRE(listing.objects.size() == 1);
    CHECK(listing.objects[0].value == value);
    CHECK(listing.revision == Revision(2));

    const StoreListing none = store.watch("documents/", listing.revision, std::chrono::milliseconds(1));
    CHECK(none.outcome == StoreOutcome::Done);
    CHECK(none.objects.empty());

    StoreListing changes;
    std::thread watcher([&]() {
        changes = store.watch("documents/", listing.revision, Timeout);
    });
    const StoreReply change = store.update("documents/b", "new", AbsentRevision);
    watcher.join();
    REQUIRE(changes.outcome == StoreOutcome::Done);
    REQUIRE(changes.objects.size() == 1);
    CHECK(changes.objects[0].key == "documents/b");
    CHECK(changes.objects[0].revision == change.object.revision);
    // The platform counts a waiting watch as one call.
    CHECK(platform->faults().callCounts().at("watch") == 2);
}

// Guards against a write that runs twice: libcurl resends a request by itself when a reused connection is closed.
TEST_CASE("a write whose response is lost is unknown and sent once")
{
    RunningPlatform platform;
    HttpObjectStore store(storeOptions(platform));
    REQUIRE(store.update("a", "1", AbsentRevision).outcome == StoreOutcome::Done);
    platform->faults().resetCallCounts();
    platform->faults().set({.loseResponses = 1});
    const StoreReply lost = store.update("a", "2", Revision(1));
    CHECK(lost.outcome == StoreOutcome::Unknown);
    CHECK(lost.reason.rfind("store-write: " + platform->address(), 0) == 0);
    CHECK(platform->faults().callCounts().at("write") == 1);
    CHECK(store.read("a").object.value == "2");
}

TEST_CASE("a write that the store dropped without an effect is unknown as well, and sent once")
{
    RunningPlatform platform;
    HttpObjectStore store(storeOptions(platform));
    REQUIRE(store.update("a", "1", AbsentRevision).outcome == StoreOutcome::Done);
    platform->faults().resetCallCounts();
    platform->faults().set({.dropCalls = 1});
    CHECK(store.update("a", "2", Revision(1)).outcome == StoreOutcome::Unknown);
    CHECK(platform->faults().callCounts().at("write") == 1);
    CHECK(store.read("a").object.value == "1");
}

TEST_CASE("a store that refuses, is slow or gone")
{
    RunningPlatform platform;
    HttpObjectStore store(storeOptions(platform));
    REQUIRE(store.update("a", "1", AbsentRevision).outcome == StoreOutcome::Done);

    SUBCASE("a refusal had no effect")
    {
        platform->faults().set({.down = true});
        CHECK(store.update("a", "2", Revision(1)).outcome == StoreOutcome::Unavailable);
        CHECK(store.read("a").outcome == StoreOutcome::Unavailable);
        CHECK(store.list("").outcome == StoreOutcome::Unavailable);
        platform->faults().set({});
        CHECK(store.read("a").object.value == "1");
    }
    SUBCASE("a write that is not answered in time may take effect")
    {
        platform->faults().set({.slowMs = 60'000});
        HttpObjectStore shortTimeoutStore({.address = platform->address(), .timeout = std::chrono::milliseconds(50)});
        CHECK(shortTimeoutStore.update("a", "2", Revision(1)).outcome == StoreOutcome::Unknown);
        CHECK(shortTimeoutStore.read("a").outcome == StoreOutcome::Unavailable);
    }
    SUBCASE("a store that is not reached had no effect")
    {
        platform->stop();
        CHECK(store.update("a", "2", Revision(1)).outcome == StoreOutcome::Unavailable);
        const StoreListing listing = store.list("");
        CHECK(listing.outcome == StoreOutcome::Unavailable);
        CHECK(listing.reason.rfind("store-read: " + platform->address(), 0) == 0);
    }
}

TEST_CASE("the instance list is read with its states and lags")
{
    RunningPlatform platform;
    InstanceList list(storeOptions(platform));
    const std::string row = R"({"id":"u1","address":"10.0.0.1:80","zone":"riga-1","incarnation":3,"state":)";
    platform->instances().set("shopfront", R"({"instances":[)" + row + R"("live"}]})", absl::ZeroDuration());
    InstanceListing listing = list.read("shopfront");
    REQUIRE(listing.outcome == StoreOutcome::Done);
    REQUIRE(listing.instances.size() == 1);
    CHECK(listing.instances[0].incarnation == Incarnation(3));
    CHECK(listing.instances[0].state == ListedState::Live);

    platform->instances().set("shopfront", R"({"instances":[)" + row + R"("leaving"}]})", absl::Hours(1));
    CHECK(list.read("shopfront").instances.at(0).state == ListedState::Live);
    CHECK(list.read("other").instances.empty());
    CHECK(list.read("other").outcome == StoreOutcome::Done);
}

TEST_CASE("several threads use one store")
{
    constexpr int threadCount = 4;
    constexpr int writeCount = 20;
    RunningPlatform platform;
    HttpObjectStore store(storeOptions(platform));
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    std::array<int, threadCount> done{};
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread]() {
            for (int write = 0; write < writeCount; ++write) {
                const std::string key = std::to_string(thread) + "/" + std::to_string(write);
                done.at(static_cast<std::size_t>(thread)) +=
                    store.update(key, key, AbsentRevision).outcome == StoreOutcome::Done ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(done == std::array<int, threadCount>{writeCount, writeCount, writeCount, writeCount});
    CHECK(store.list("").objects.size() == threadCount * writeCount);
}
