#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** What is known of a store call after it returned. */
enum class StoreOutcome : std::uint8_t {
    /** The read found the object, or the write took effect. */
    Done,
    /** The read found no object under the key. */
    Absent,
    /** The condition of the write did not hold; the write had no effect. */
    Conflict,
    /** The store was not reached or refused; a write had no effect. */
    Unavailable,
    /** The answer was lost; a write may have taken effect, now or later. */
    Unknown,
};

struct StoreObject {
    std::string key;
    std::string value;
    Revision revision;
};

struct StoreReply {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    /** Set for a read that is Done; for a write that is Done, its revision is set. */
    StoreObject object;
    /** The store's clock at the time of its answer; zero when there was no answer. */
    StoreTime time;
    /** Why the call is not Done, with step and peer. */
    std::string reason;
};

struct StoreListing {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    std::vector<StoreObject> objects;
    /** The store's revision that the listing shows; a watch continues from here. */
    Revision revision;
    /** Why the listing is not Done, with step and peer. */
    std::string reason;
};

/** Revision 0 in an update means: only if the key does not exist. */
inline constexpr Revision AbsentRevision{0};

/** The platform's object store. Calls block up to their deadline; implementations are thread-safe. */
template<class T>
concept ObjectStore = requires(T store, const std::string &key, const std::string &value, Revision revision, Duration wait)
{
    // Reads one object.
    {
        store.read(key)
        } -> std::same_as<StoreReply>;
    // Writes if the object's revision is the given one.
    {
        store.update(key, value, revision)
        } -> std::same_as<StoreReply>;
    // Lists objects by key prefix.
    {
        store.list(key)
        } -> std::same_as<StoreListing>;
    // Returns the changes under a prefix after a revision, waiting up to the given time for the first one.
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
    /** Why the listing is not Done, with step and peer. */
    std::string reason;
};

} // namespace Filbertmount
