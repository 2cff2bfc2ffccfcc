#include <filbertmount/store/httpobjectstore.h>

#include "store/curlclient.h"
#include "store/storeresponse.h"

namespace Filbertmount {

namespace {

// A listing may contain every document of the cluster.
constexpr std::size_t MaxListingBytes = std::size_t{64} << 20U;
// Values are limited to 1 MB. The margin lets a somewhat larger value be received, so that the error names its real cause.
constexpr std::size_t MaxObjectBytes = std::size_t{2} << 20U;

std::string escapePath(const std::string &key)
{
    std::string path;
    std::size_t start = 0;
    while (true) {
        const std::size_t slash = key.find('/', start);
        path += CurlClient::escape(key.substr(start, slash - start));
        if (slash == std::string::npos) {
            return path;
        }
        path += '/';
        start = slash + 1;
    }
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpStoreOptions options)
    : m_options(std::move(options))
    , m_client(std::make_unique<CurlClient>())
{
}

HttpObjectStore::~HttpObjectStore() = default;

StoreReply HttpObjectStore::read(const std::string &key)
{
    const HttpCall call{.url = objectUrl(key), .timeout = m_options.timeout, .maxResponseBytes = MaxObjectBytes};
    return interpretReadResponse(m_client->perform(call), key, m_options.address);
}

StoreReply HttpObjectStore::update(const std::string &key, const std::string &value, Revision expected)
{
    const std::string condition =
        expected == AbsentRevision ? "If-None-Match: *" : "If-Match: \"" + std::to_string(expected.value()) + "\"";
    const HttpCall call{.method = "PUT",
                        .url = objectUrl(key),
                        .headers = {condition, "Content-Type: application/octet-stream"},
                        .body = value,
                        .timeout = m_options.timeout};
    return interpretUpdateResponse(m_client->perform(call), key, m_options.address);
}

StoreListing HttpObjectStore::list(const std::string &prefix)
{
    const HttpCall call{.url = url("/objects?prefix=" + CurlClient::escape(prefix)),
                        .timeout = m_options.timeout,
                        .maxResponseBytes = MaxListingBytes};
    return interpretListingResponse(m_client->perform(call), Step::StoreRead, m_options.address);
}

StoreListing HttpObjectStore::watch(const std::string &prefix, Revision after, Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const HttpCall call{.url = url("/watch?prefix=" + CurlClient::escape(prefix) + "&after=" + std::to_string(after.value())
                                   + "&wait_ms=" + std::to_string(waitMs)),
                        .timeout = m_options.timeout + wait,
                        .maxResponseBytes = MaxListingBytes};
    return interpretListingResponse(m_client->perform(call), Step::StoreWatch, m_options.address);
}

std::string HttpObjectStore::objectUrl(const std::string &key) const
{
    return url("/objects/" + escapePath(key));
}

std::string HttpObjectStore::url(const std::string &path) const
{
    return "http://" + m_options.address + path;
}

InstanceList::InstanceList(HttpStoreOptions options)
    : m_options(std::move(options))
    , m_client(std::make_unique<CurlClient>())
{
}

InstanceList::~InstanceList() = default;

InstanceListing InstanceList::read(const std::string &service)
{
    const HttpCall call{.url = "http://" + m_options.address + "/instances?service=" + CurlClient::escape(service),
                        .timeout = m_options.timeout,
                        .maxResponseBytes = MaxListingBytes};
    return interpretInstancesResponse(m_client->perform(call), m_options.address);
}

} // namespace Filbertmount
