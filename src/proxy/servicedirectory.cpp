#include <filbertmount/proxy/servicedirectory.h>

#include <algorithm>

namespace Filbertmount {

namespace {

std::string hostKey(std::string_view host)
{
    // An IPv6 literal keeps its brackets, and only a colon after them starts the port.
    const std::size_t bracket = host.rfind(']');
    const std::size_t colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
    std::string key(host.substr(0, colon));
    std::transform(key.begin(), key.end(), key.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return key;
}

std::string_view takeSegment(std::string_view &path)
{
    const std::size_t slash = std::min(path.find('/'), path.size());
    const std::string_view segment = path.substr(0, slash);
    path.remove_prefix(std::min(slash + 1, path.size()));
    return segment;
}

} // namespace

bool matchesPath(std::string_view pattern, std::string_view path)
{
    if (!pattern.starts_with('/') || !path.starts_with('/')) {
        return false;
    }
    pattern.remove_prefix(1);
    path.remove_prefix(1);
    while (true) {
        if (pattern == "**") {
            return true;
        }
        if (pattern.empty() || path.empty()) {
            return pattern == path;
        }
        const bool patternGoesOn = pattern.find('/') != std::string_view::npos;
        const bool pathGoesOn = path.find('/') != std::string_view::npos;
        const std::string_view expected = takeSegment(pattern);
        const std::string_view actual = takeSegment(path);
        if ((expected != "*" || actual.empty()) && expected != actual) {
            return false;
        }
        if (patternGoesOn != pathGoesOn) {
            return patternGoesOn && pattern == "**";
        }
        if (!patternGoesOn) {
            return true;
        }
    }
}

RouteMatch matchRoute(const ServiceDocument &document, std::string_view method, std::string_view path)
{
    static const Route everything;
    if (document.routes.empty()) {
        return {.route = &everything, .allowedMethods = {}};
    }
    RouteMatch match;
    for (const Route &route : document.routes) {
        if (!matchesPath(route.path, path)) {
            continue;
        }
        if (route.method == "*" || route.method == method) {
            return {.route = &route, .allowedMethods = {}};
        }
        match.allowedMethods.push_back(route.method);
    }
    return match;
}

void ServiceDirectory::replace(std::vector<SharedDocument> documents)
{
    std::sort(documents.begin(), documents.end(), [](const SharedDocument &left, const SharedDocument &right) {
        return left->service < right->service;
    });
    auto hosts = std::make_shared<Hosts>();
    for (const SharedDocument &document : documents) {
        if (document->hosts.empty()) {
            hosts->try_emplace(hostKey(document->service.value()), document);
        }
        for (const std::string &host : document->hosts) {
            hosts->try_emplace(hostKey(host), document);
        }
    }
    const absl::MutexLock lock(&m_mutex);
    m_hosts = std::move(hosts);
}

SharedDocument ServiceDirectory::find(std::string_view host) const
{
    std::shared_ptr<const Hosts> hosts;
    {
        const absl::ReaderMutexLock lock(&m_mutex);
        hosts = m_hosts;
    }
    const auto found = hosts->find(hostKey(host));
    return found == hosts->end() ? nullptr : found->second;
}

} // namespace Filbertmount
