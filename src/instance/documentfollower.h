#pragma once

#include <filbertmount/proxy/servicedirectory.h>
#include <filbertmount/replication/documenttable.h>
#include <filbertmount/routing/router.h>
#include <filbertmount/store/objectstore.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <string>
#include <vector>

namespace Filbertmount {

class EventRing;
class UpstreamWatch;

/** Carries changes of the document table over to the router and the service directory. Thread-safe. */
class DocumentFollower
{
public:
    /** All references must outlive this object. */
    DocumentFollower(DocumentTable &table, Router &router, ServiceDirectory &directory, UpstreamWatch &watch, EventRing &events);

    /** Applies what changed since the last call. */
    void follow();

    /** Names of the platform's lists that the documents take upstreams from. */
    [[nodiscard]] std::vector<std::string> lists() const;
    /** Whether each of these lists has been read once; before that, a service has no upstreams. */
    [[nodiscard]] bool listsKnown() const;
    /** Gives the upstreams of @p list to all services that take theirs from it. */
    void updateList(const std::string &list, const std::vector<ListedInstance> &rows);

private:
    void configure(const ServiceName &service) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    DocumentTable &m_table;
    Router &m_router;
    ServiceDirectory &m_directory;
    UpstreamWatch &m_watch;
    EventRing &m_events;
    mutable absl::Mutex m_mutex;
    std::map<ServiceName, SharedDocument> m_documents ABSL_GUARDED_BY(m_mutex);
    /** The latest rows of each list, for services that are configured later. */
    std::map<std::string, std::vector<ListedInstance>> m_rows ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
