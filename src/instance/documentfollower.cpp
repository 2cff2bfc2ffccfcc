#include "instance/documentfollower.h"

#include "instance/upstreamwatch.h"

#include <filbertmount/telemetry/eventring.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// Upstreams that a document names itself have no incarnation; their address is their id.
std::vector<ListedInstance> staticRows(const UpstreamSource &source)
{
    std::vector<ListedInstance> rows;
    rows.reserve(source.addresses.size());
    for (const StaticUpstream &upstream : source.addresses) {
        rows.push_back({.id = upstream.address, .address = upstream.address, .zone = upstream.zone});
    }
    return rows;
}

} // namespace

DocumentFollower::DocumentFollower(DocumentTable &table,
                                   Router &router,
                                   ServiceDirectory &directory,
                                   UpstreamWatch &watch,
                                   EventRing &events)
    : m_table(table)
    , m_router(router)
    , m_directory(directory)
    , m_watch(watch)
    , m_events(events)
{
}

void DocumentFollower::follow()
{
    const std::vector<ServiceName> changed = m_table.takeChanges();
    if (changed.empty()) {
        return;
    }
    const absl::MutexLock lock(&m_mutex);
    for (const ServiceName &service : changed) {
        configure(service);
    }
    std::vector<SharedDocument> documents;
    documents.reserve(m_documents.size());
    for (const auto &[service, document] : m_documents) {
        documents.push_back(document);
    }
    m_directory.replace(std::move(documents));
}

void DocumentFollower::configure(const ServiceName &service)
{
    const std::shared_ptr<const DocumentVersion> version = m_table.find(service);
    if (version == nullptr) {
        m_documents.erase(service);
        m_router.removeService(service);
        m_watch.forget(service);
        m_events.record({.kind = "document.deleted", .service = service.value(), .request = {}, .text = {}});
        return;
    }
    const SharedDocument document(version, &version->document);
    m_documents[service] = document;
    m_router.configure(service, routingOf(*document));
    const std::string revision = "revision " + std::to_string(version->revision.value());
    m_events.record({.kind = "document.in-force", .service = service.value(), .request = {}, .text = revision});
    if (document->upstreams.list.empty()) {
        m_watch.takeListing(*document, staticRows(document->upstreams));
    } else if (const auto rows = m_rows.find(document->upstreams.list); rows != m_rows.end()) {
        m_watch.takeListing(*document, rows->second);
    }
}

std::vector<std::string> DocumentFollower::lists() const
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

bool DocumentFollower::listsKnown() const
{
    const absl::MutexLock lock(&m_mutex);
    return std::all_of(m_documents.begin(), m_documents.end(), [this](const auto &entry) {
        const std::string &list = entry.second->upstreams.list;
        m_mutex.AssertHeld();
        return list.empty() || m_rows.contains(list);
    });
}

void DocumentFollower::updateList(const std::string &list, const std::vector<ListedInstance> &rows)
{
    const absl::MutexLock lock(&m_mutex);
    m_rows[list] = rows;
    for (const auto &[service, document] : m_documents) {
        if (document->upstreams.list == list) {
            m_watch.takeListing(*document, rows);
        }
    }
}

} // namespace Filbertmount
