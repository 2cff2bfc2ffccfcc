#pragma once

#include <filbertmount/store/objectstore.h>

#include <absl/time/time.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Filbertmount::StandIn {

/** Objects by key. All keys share one revision counter. Thread-safe. */
class ObjectTable
{
public:
    [[nodiscard]] std::optional<StoreObject> read(const std::string &key) const;

    /**
     * Writes the object if its current revision is @p expected; std::nullopt accepts any revision. Returns the new
     * revision, or std::nullopt on a conflict.
     */
    std::optional<Revision> update(const std::string &key, const std::string &value, std::optional<Revision> expected);

    /** Returns the objects whose key starts with @p prefix and whose revision is above @p after. */
    [[nodiscard]] StoreListing changes(const std::string &prefix, Revision after) const;

    /** Like changes(), but waits up to @p wait until there is at least one change. */
    [[nodiscard]] StoreListing waitForChanges(const std::string &prefix, Revision after, absl::Duration wait);

    /** Ends all current calls of waitForChanges(); later ones do not wait. */
    void shutDown();

private:
    StoreListing changesLocked(const std::string &prefix, Revision after) const;

    // Guards the members below. A std::mutex, because ThreadSanitizer does not recognise the locks of Debian's Abseil.
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoreObject> m_objects;
    std::uint64_t m_revision = 0;
    bool m_shutDown = false;
};

} // namespace Filbertmount::StandIn
