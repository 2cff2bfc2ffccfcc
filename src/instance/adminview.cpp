#include "instance/adminview.h"

#include <filbertmount/admin/documenteditor.h>
#include <filbertmount/document/documentvalue.h>

#include <boost/leaf/handle_errors.hpp>

#include <memory>

namespace Filbertmount {

namespace {

std::string stateName(const UpstreamStatus &status)
{
    if (status.isEjected) {
        return "ejected";
    }
    switch (status.state) {
    case UpstreamState::Live:
        return "live";
    case UpstreamState::Draining:
        return "draining";
    case UpstreamState::Down:
        return "down";
    }
    return "unknown";
}

std::string documentText(const DocumentTable &table, const ServiceName &service)
{
    Revision revision;
    const std::shared_ptr<const std::string> value = table.value(service, revision);
    const DocumentValue decoded = boost::leaf::try_handle_all(
        [&]() -> Result<DocumentValue> {
            return decodeDocumentValue(value == nullptr ? std::string() : *value, service.value());
        },
        [] {
            return DocumentValue{};
        });
    return decoded.document;
}

std::vector<DocumentReport> documentReports(const DocumentTable &table)
{
    std::vector<DocumentReport> reports;
    for (const std::shared_ptr<const DocumentVersion> &version : table.all()) {
        const ServiceDocument &document = version->document;
        reports.push_back({.service = document.service,
                           .team = document.team,
                           .revision = version->revision,
                           .text = documentText(table, document.service)});
    }
    return reports;
}

std::optional<ServiceReport> serviceReport(const DocumentTable &table,
                                           const Router &router,
                                           const UpstreamMonitor &upstreamMonitor,
                                           const ServiceName &service)
{
    const std::shared_ptr<const DocumentVersion> version = table.find(service);
    if (version == nullptr) {
        return std::nullopt;
    }
    ServiceReport report{.service = service, .revision = version->revision};
    const ProbingStatus probing = upstreamMonitor.probing(service, ProcessClock::now());
    report.measuring = {.budgetPercent = version->document.measuring.budgetPercent,
                        .allowedMs = toMilliseconds(probing.allowed),
                        .spentMs = toMilliseconds(probing.spent),
                        .probes = probing.probes};
    if (const std::optional<DocumentStatus> status = table.status(service); status && !status->rejection.empty()) {
        report.remarks.push_back("The latest revision is not in force: " + status->rejection);
    }
    for (const ServiceRoutingStatus &routing : router.status().services) {
        if (routing.service != service) {
            continue;
        }
        for (const UpstreamStatus &upstream : routing.upstreams) {
            report.upstreams.push_back({.id = upstream.upstream.id.value(),
                                        .address = upstream.upstream.address,
                                        .zone = upstream.upstream.zone.value(),
                                        .state = stateName(upstream),
                                        .slots = upstream.limit,
                                        .inFlight = upstream.inFlight});
        }
    }
    return report;
}

std::vector<MemberReport> memberReports(const PeerLink &peers)
{
    std::vector<MemberReport> reports;
    for (const Member &member : peers.members()) {
        reports.push_back({.instance = member.id,
                           .adminAddress = member.adminAddress,
                           .zone = member.zone.value(),
                           .region = member.region.value(),
                           .state = member.state == MemberState::Alive ? "alive" : "suspect"});
    }
    return reports;
}

} // namespace

AdminSources adminSources(const AdminModules &modules)
{
    AdminSources sources{.instance = modules.instance,
                         .readiness = modules.readiness,
                         .documents =
                             [&table = modules.table] {
                                 return documentReports(table);
                             },
                         .service =
                             [&table = modules.table, &router = modules.router, &upstreamMonitor = modules.upstreamMonitor](
                                 const ServiceName &service) {
                                 return serviceReport(table, router, upstreamMonitor, service);
                             },
                         .members =
                             [&peers = modules.peers] {
                                 return memberReports(peers);
                             },
                         .events =
                             [&events = modules.events](std::uint64_t after) {
                                 return events.eventsAfter(after);
                             },
                         .metrics =
                             [&metrics = modules.metrics] {
                                 return metrics.exposition();
                             },
                         .onAccepted = modules.onAccepted};
    if (HttpObjectStore *store = modules.store) {
        sources.readStoredDocument = [store](const ServiceName &service) {
            return store->read(documentKey(service));
        };
        sources.edit = [editor = std::make_shared<DocumentEditor<HttpObjectStore>>(*store)](const DocumentEdit &edit) {
            return editor->apply(edit);
        };
    }
    return sources;
}

} // namespace Filbertmount
