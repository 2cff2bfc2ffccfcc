#pragma once

#include <filbertmount/store/objectstore.h>

#include <absl/time/time.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Filbertmount::StandIn {

/** Objects with versions from one counter over all keys. Thread-safe. */
class ObjectTable
{
public:
    [[nodiscard]] std::optional<StoreObject> read(const std::string &key) const;

    /** Writes if the object has the expected revision; nothing expected means any. Returns nothing on a conflict. */
    std::optional<Revision> update(const std::string &key, const std::string &value, std::optional<Revision> expected);

    /** Returns the objects under a prefix that changed after a revision. */
    [[nodiscard]] StoreListing changes(const std::string &prefix, Revision after) const;

    /** As changes(), but waits for the first change. */
    [[nodiscard]] StoreListing waitForChanges(const std::string &prefix, Revision after, absl::Duration wait);

    /** Ends all waits, now and later. */
    void shutDown();

private:
    StoreListing changesLocked(const std::string &prefix, Revision after) const;

    // Guards the members below. ThreadSanitizer does not see the locks of Debian\'s Abseil, so it is a std::mutex.
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoreObject> m_objects;
    std::uint64_t m_revision = 0;
    bool m_shutDown = false;
};

} // namespace Filbertmount::StandIn
