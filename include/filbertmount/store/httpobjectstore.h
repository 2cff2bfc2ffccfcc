#pragma once

#include <filbertmount/store/objectstore.h>

#include <memory>
#include <string>

namespace Filbertmount {

class CurlClient;

struct HttpStoreOptions {
    /** "IP:port" of the store. */
    std::string address;
    /** Longest time of one call; the wait of a watch is added to it. */
    Duration timeout = std::chrono::seconds(1);
};

/**
 * The platform's object store over HTTP. Fulfils the concept ObjectStore; thread-safe; calls block up to their deadline.
 *
 * A write is Unavailable only if no byte of it was sent, or if the store refused it with a status of 400 to 499 or with
 * 503 and Request-Not-Run. Any other end without proof, such as a status 500 from a gateway in front of the store, is
 * Unknown. The reasons name the step and the store's address.
 */
class HttpObjectStore
{
public:
    explicit HttpObjectStore(HttpStoreOptions options);
    ~HttpObjectStore();
    HttpObjectStore(const HttpObjectStore &) = delete;
    HttpObjectStore &operator=(const HttpObjectStore &) = delete;

    StoreReply read(const std::string &key);
    StoreReply update(const std::string &key, const std::string &value, Revision expected);
    StoreListing list(const std::string &prefix);
    StoreListing watch(const std::string &prefix, Revision after, Duration wait);

private:
    [[nodiscard]] std::string objectUrl(const std::string &key) const;
    [[nodiscard]] std::string url(const std::string &path) const;

    HttpStoreOptions m_options;
    std::unique_ptr<CurlClient> m_client;
};

/** The platform's list of live and leaving instances. Thread-safe; calls block up to their deadline. */
class InstanceList
{
public:
    explicit InstanceList(HttpStoreOptions options);
    ~InstanceList();
    InstanceList(const InstanceList &) = delete;
    InstanceList &operator=(const InstanceList &) = delete;

    /** Returns all rows of @p service, or none and the outcome Unavailable: a list in part is never returned. */
    InstanceListing read(const std::string &service);

private:
    HttpStoreOptions m_options;
    std::unique_ptr<CurlClient> m_client;
};

} // namespace Filbertmount
