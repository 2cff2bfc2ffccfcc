#include <filbertmount/proxy/servicedirectory.h>

#include <algorithm>

namespace Filbertmount {

namespace {

std::string hostKey(std::string_view host)
{
    // In an IPv6 literal, only a colon after the closing bracket starts the port. The brackets are kept.
    const std::size_t bracket = host.rfind(']');
    const std::size_t colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
    std::string key(host.substr(0, colon));
    std::transform(key.begin(), key.end(), key.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return key;
}

DirectoryEntry compile(SharedDocument document)
{
    // A document without routes gets a default route that matches every request and does not allow repeating it.
    std::vector<Route> routes = document->routes.empty() ? std::vector<Route>{Route{}} : document->routes;
    return {.document = std::move(document), .routes = RouteTable(std::move(routes))};
}

} // namespace

void ServiceDirectory::replace(std::vector<SharedDocument> documents)
{
    std::sort(documents.begin(), documents.end(), [](const SharedDocument &left, const SharedDocument &right) {
        return left->service < right->service;
    });
    absl::flat_hash_map<const ServiceDocument *, Entry> known;
    for (const auto &[host, entry] : *hosts()) {
        known.emplace(entry->document.get(), entry);
    }
    auto updated = std::make_shared<Hosts>();
    for (const SharedDocument &document : documents) {
        const auto found = known.find(document.get());
        const Entry entry = found != known.end() ? found->second : std::make_shared<DirectoryEntry>(compile(document));
        if (document->hosts.empty()) {
            updated->try_emplace(hostKey(document->service.value()), entry);
        }
        for (const std::string &host : document->hosts) {
            updated->try_emplace(hostKey(host), entry);
        }
    }
    const absl::MutexLock lock(&m_mutex);
    m_hosts = std::move(updated);
}

std::shared_ptr<const ServiceDirectory::Hosts> ServiceDirectory::hosts() const
{
    const absl::ReaderMutexLock lock(&m_mutex);
    return m_hosts;
}

std::shared_ptr<const DirectoryEntry> ServiceDirectory::find(std::string_view host) const
{
    const std::shared_ptr<const Hosts> current = hosts();
    const auto found = current->find(hostKey(host));
    return found == current->end() ? nullptr : found->second;
}

bool ServiceDirectory::empty() const
{
    return hosts()->empty();
}

} // namespace Filbertmount
