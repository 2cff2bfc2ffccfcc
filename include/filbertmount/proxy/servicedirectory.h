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
     * Replaces all documents. If two documents list the same host, the one whose service name sorts first gets it.
     * Documents that were already present, as the same object, keep their compiled routes.
     */
    void replace(std::vector<SharedDocument> documents);

    /** Returns the entry of the service that the Host header selects, or null. The port in the header is ignored. */
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
