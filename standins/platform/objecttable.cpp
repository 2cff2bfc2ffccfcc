#include "objecttable.h"

namespace Filbertmount::StandIn {

std::optional<StoreObject> ObjectTable::read(const std::string &key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Revision> ObjectTable::update(const std::string &key, const std::string &value, std::optional<Revision> expected)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_objects.find(key);
    const Revision current = found == m_objects.end() ? AbsentRevision : found->second.revision;
    if (expected && *expected != current) {
        return std::nullopt;
    }
    const Revision revision(++m_revision);
    m_objects[key] = {.key = key, .value = value, .revision = revision};
    m_changed.notify_all();
    return revision;
}

StoreListing ObjectTable::changes(const std::string &prefix, Revision after) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return changesLocked(prefix, after);
}

StoreListing ObjectTable::waitForChanges(const std::string &prefix, Revision after, absl::Duration wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    StoreListing listing;
    m_changed.wait_for(lock, absl::ToChronoNanoseconds(wait), [&]() {
        listing = changesLocked(prefix, after);
        return !listing.objects.empty() || m_shutDown;
    });
    return listing;
}

void ObjectTable::shutDown()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_shutDown = true;
    m_changed.notify_all();
}

StoreListing ObjectTable::changesLocked(const std::string &prefix, Revision after) const
{
    StoreListing listing{.outcome = StoreOutcome::Done, .revision = Revision(m_revision)};
    for (auto object = m_objects.lower_bound(prefix); object != m_objects.end(); ++object) {
        if (object->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        if (object->second.revision > after) {
            listing.objects.push_back(object->second);
        }
    }
    return listing;
}

} // namespace Filbertmount::StandIn
