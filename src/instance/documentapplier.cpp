#include "instance/documentapplier.h"

#include "instance/upstreammonitor.h"

#include <filbertmount/telemetry/eventring.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// Upstreams listed in the document itself have no incarnation; their address serves as their id.
std::vector<ListedInstance> staticInstances(const UpstreamSource &source)
{
    std::vector<ListedInstance> instances;
    instances.reserve(source.addresses.size());
    for (const StaticUpstream &upstream : source.addresses) {
        instances.push_back({.id = upstream.address, .address = upstream.address, .zone = upstream.zone});
    }
    return instances;
}

} // namespace

DocumentApplier::DocumentApplier(DocumentTable &table,
                                 Router &router,
                                 ServiceDirectory &directory,
                                 UpstreamMonitor &upstreamMonitor,
                                 EventRing &events)
    : m_table(table)
    , m_router(router)
    , m_directory(directory)
    , m_upstreamMonitor(upstreamMonitor)
    , m_events(events)
{
}

void DocumentApplier::applyChanges()
{
    const std::vector<ServiceName> changed = m_table.takeChanges();
    if (changed.empty()) {
        return;
    }
    const absl::MutexLock lock(&m_mutex);
    for (const ServiceName &service : changed) {
        applyDocument(service);
    }
    std::vector<SharedDocument> documents;
    documents.reserve(m_documents.size());
    for (const auto &[service, document] : m_documents) {
        documents.push_back(document);
    }
    m_directory.replace(std::move(documents));
}

void DocumentApplier::applyDocument(const ServiceName &service)
{
    const std::shared_ptr<const DocumentVersion> version = m_table.find(service);
    if (version == nullptr) {
        m_documents.erase(service);
        m_router.removeService(service);
        m_upstreamMonitor.removeService(service);
        m_events.record({.kind = "document.deleted", .service = service.value(), .request = {}, .text = {}});
        return;
    }
    const SharedDocument document(version, &version->document);
    m_documents[service] = document;
    m_router.configure(service, routingOf(*document));
    const std::string revision = "revision " + std::to_string(version->revision.value());
    m_events.record({.kind = "document.in-force", .service = service.value(), .request = {}, .text = revision});
    if (document->upstreams.list.empty()) {
        m_upstreamMonitor.applyListing(*document, staticInstances(document->upstreams));
    } else if (const auto instances = m_listedInstances.find(document->upstreams.list); instances != m_listedInstances.end()) {
        m_upstreamMonitor.applyListing(*document, instances->second);
    }
}

std::vector<std::string> DocumentApplier::instanceLists() const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<std::string> names;
    for (const auto &[service, document] : m_documents) {
        if (!document->upstreams.list.empty()) {
            names.push_back(document->upstreams.list);
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

bool DocumentApplier::allListsRead() const
{
    const absl::MutexLock lock(&m_mutex);
    return std::all_of(m_documents.begin(), m_documents.end(), [this](const auto &entry) {
        const std::string &list = entry.second->upstreams.list;
        m_mutex.AssertHeld();
        return list.empty() || m_listedInstances.contains(list);
    });
}

void DocumentApplier::updateList(const std::string &list, const std::vector<ListedInstance> &instances)
{
    const absl::MutexLock lock(&m_mutex);
    m_listedInstances[list] = instances;
    for (const auto &[service, document] : m_documents) {
        if (document->upstreams.list == list) {
            m_upstreamMonitor.applyListing(*document, instances);
        }
    }
}

} // namespace Filbertmount
