#pragma once

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

/** The outcome of matching a request against the routes of a service. */
struct RouteMatch {
    /** Null when no route matches. */
    const Route *route = nullptr;
    /** Methods of the routes that match the path alone, for the Allow header; empty when the path is unknown. */
    std::vector<std::string> allowedMethods;
};

/** Returns the first route that matches; a document without routes accepts everything as not repeatable. */
RouteMatch matchRoute(const ServiceDocument &document, std::string_view method, std::string_view path);

/** Returns whether @p path matches a pattern in which '*' stands for one segment and a trailing "**" for the rest. */
bool matchesPath(std::string_view pattern, std::string_view path);

/** Finds the document in force for a Host header. Thread-safe. */
class ServiceDirectory
{
public:
    /** Replaces all documents. When two documents claim one host, the first one in order of service name gets it. */
    void replace(std::vector<SharedDocument> documents);

    /** Returns the document of the service that the Host header selects, or null. The port is ignored. */
    [[nodiscard]] SharedDocument find(std::string_view host) const;

private:
    using Hosts = absl::flat_hash_map<std::string, SharedDocument>;

    mutable absl::Mutex m_mutex;
    std::shared_ptr<const Hosts> m_hosts ABSL_GUARDED_BY(m_mutex) = std::make_shared<Hosts>();
};

} // namespace Filbertmount
