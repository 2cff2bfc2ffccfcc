#pragma once

#include <filbertmount/document/routetable.h>
#include <filbertmount/document/servicedocument.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

using SharedDocument = std::shared_ptr<const ServiceDocument>;

/** A document in force with its compiled routes. Immutable. */
struct DirectoryEntry {
    SharedDocument document;
    RouteTable routes;
};

/** Finds the document and the routes for a Host header. Thread-safe. */
class ServiceDirectory
{
public:
    /**
     * Replaces all documents. When two documents claim one host, the first one in order of service name gets it.
     * Routes are compiled only for documents that were not there before, by address.
     */
    void replace(std::vector<SharedDocument> documents);

    /** Returns the entry of the service that the Host header selects, or null. The port is ignored. */
    [[nodiscard]] std::shared_ptr<const DirectoryEntry> find(std::string_view host) const;
    [[nodiscard]] bool empty() const;

private:
    using Entry = std::shared_ptr<const DirectoryEntry>;
    using Hosts = absl::flat_hash_map<std::string, Entry>;

    [[nodiscard]] std::shared_ptr<const Hosts> hosts() const;

    mutable absl::Mutex m_mutex;
    std::shared_ptr<const Hosts> m_hosts ABSL_GUARDED_BY(m_mutex) = std::make_shared<Hosts>();
};

} // namespace Filbertmount
