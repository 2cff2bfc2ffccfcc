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
class UpstreamMonitor;

/** Applies changes of the document table to the router, the service directory and the upstream monitor. Thread-safe. */
class DocumentApplier
{
public:
    /** All references must outlive this object. */
    DocumentApplier(DocumentTable &table,
                    Router &router,
                    ServiceDirectory &directory,
                    UpstreamMonitor &upstreamMonitor,
                    EventRing &events);

    /** Applies the documents that changed since the last call. */
    void applyChanges();

    /** Returns the names of the platform's instance lists that documents refer to, sorted and without duplicates. */
    [[nodiscard]] std::vector<std::string> instanceLists() const;
    /** Whether every list in instanceLists() has been read at least once. A service has no upstreams until its list is read. */
    [[nodiscard]] bool allListsRead() const;
    /** Updates the upstreams of all services whose document refers to @p list. */
    void updateList(const std::string &list, const std::vector<ListedInstance> &instances);

private:
    void applyDocument(const ServiceName &service) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    DocumentTable &m_table;
    Router &m_router;
    ServiceDirectory &m_directory;
    UpstreamMonitor &m_upstreamMonitor;
    EventRing &m_events;
    mutable absl::Mutex m_mutex;
    std::map<ServiceName, SharedDocument> m_documents ABSL_GUARDED_BY(m_mutex);
    /** Latest content of each list, for documents that arrive after the list was read. */
    std::map<std::string, std::vector<ListedInstance>> m_listedInstances ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount
