#include "instance/documentfollower.h"

#include <algorithm>

namespace Filbertmount {

namespace {

std::vector<RoutedUpstream> staticUpstreams(const UpstreamSource &source)
{
    std::vector<RoutedUpstream> upstreams;
    for (const StaticUpstream &upstream : source.addresses) {
        upstreams.push_back(
            {.id = UpstreamId(upstream.address), .address = upstream.address, .zone = upstream.zone, .slots = source.slots});
    }
    return upstreams;
}

} // namespace

DocumentFollower::DocumentFollower(DocumentTable &table, Router &router, ServiceDirectory &directory)
    : m_table(table)
    , m_router(router)
    , m_directory(directory)
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
        return;
    }
    const SharedDocument document(version, &version->document);
    m_documents[service] = document;
    m_router.configure(service, routingOf(*document));
    if (document->upstreams.list.empty()) {
        m_router.updateUpstreams(service, staticUpstreams(document->upstreams));
    } else if (const auto rows = m_rows.find(document->upstreams.list); rows != m_rows.end()) {
        giveListed(*document, rows->second);
    }
}

void DocumentFollower::giveListed(const ServiceDocument &document, const std::vector<ListedInstance> &rows)
{
    std::vector<RoutedUpstream> upstreams;
    for (const ListedInstance &row : rows) {
        upstreams.push_back({.id = UpstreamId(row.id),
                             .address = row.address,
                             .zone = row.zone,
                             .slots = document.upstreams.slots,
                             .incarnation = row.incarnation});
    }
    m_router.updateUpstreams(document.service, upstreams);
    for (const ListedInstance &row : rows) {
        if (row.state == ListedState::Leaving) {
            m_router.setUpstreamState(document.service, UpstreamId(row.id), UpstreamState::Draining);
        }
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
            giveListed(*document, rows);
        }
    }
}

} // namespace Filbertmount
