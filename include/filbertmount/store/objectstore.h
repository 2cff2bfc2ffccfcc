#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** Outcome of a store call, as far as the client can know it. */
enum class StoreOutcome : std::uint8_t {
    /** The read found the object, or the write took effect. */
    Done,
    /** The read found no object under the key. */
    Absent,
    /** The object did not have the expected revision; the write had no effect. */
    Conflict,
    /** The read failed, or the write certainly had no effect: it was not sent, or the store refused it. */
    Unavailable,
    /** No valid response was received; the write may have taken effect or may still do so. */
    Unknown,
};

struct StoreObject {
    std::string key;
    std::string value;
    Revision revision;
};

struct StoreReply {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    /** The object that was read; after a write only key and revision. Empty unless the outcome is Done. */
    StoreObject object;
    /** The store's clock at the time of its response; zero if there was none or it had no valid Date. */
    StoreTime time;
    /** Why the outcome is not Done, as "step: peer: reason". */
    std::string reason;
};

struct StoreListing {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    std::vector<StoreObject> objects;
    /** Store revision at which the listing was taken; a watch continues from here. */
    Revision revision;
    /** Why the outcome is not Done, as "step: peer: reason". */
    std::string reason;
};

/** As the expected revision of an update: write only if the key does not exist. */
inline constexpr Revision AbsentRevision{0};

/** Client of the platform's object store. Calls block until their timeout at most; implementations are thread-safe. */
template<class T>
concept ObjectStore = requires(T store, const std::string &key, const std::string &value, Revision revision, Duration wait)
{
    // Reads one object.
    {
        store.read(key)
        } -> std::same_as<StoreReply>;
    // Writes an object if its current revision is the given one.
    {
        store.update(key, value, revision)
        } -> std::same_as<StoreReply>;
    // Lists objects by key prefix.
    {
        store.list(key)
        } -> std::same_as<StoreListing>;
    // Returns the objects under a prefix that changed after a revision; waits up to the given time for the first change.
    {
        store.watch(key, revision, wait)
        } -> std::same_as<StoreListing>;
};

enum class ListedState : std::uint8_t {
    Live,
    Leaving,
};

/** One row of the platform's instance list. */
struct ListedInstance {
    std::string id;
    /** "IP:port". */
    std::string address;
    AvailabilityZone zone;
    ListedState state = ListedState::Live;
    Incarnation incarnation;
};

struct InstanceListing {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    std::vector<ListedInstance> instances;
    /** Why the outcome is not Done, as "step: peer: reason". */
    std::string reason;
};

} // namespace Filbertmount
