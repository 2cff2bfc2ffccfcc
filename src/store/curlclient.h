#pragma once

#include "store/httpcall.h"

#include <curl/curl.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Filbertmount {

/**
 * Blocking HTTP client on libcurl with persistent connections. Thread-safe: each call in progress has its own handle.
 *
 * libcurl resends a request when a reused connection is closed before the response. The client aborts the call instead for
 * all methods but GET, because a write could take effect twice.
 */
class CurlClient
{
public:
    CurlClient();

    HttpResponse perform(const HttpCall &call);

    /** Percent-encodes text for a path segment or a query value. */
    static std::string escape(const std::string &text);

private:
    struct HandleDeleter {
        void operator()(CURL *handle) const;
    };
    using Handle = std::unique_ptr<CURL, HandleDeleter>;

    Handle acquireHandle();
    void releaseHandle(Handle handle);

    // Guards the members below. Not an absl::Mutex, because ThreadSanitizer does not see the locks of Debian's Abseil.
    std::mutex m_mutex;
    std::vector<Handle> m_idleHandles;
};

} // namespace Filbertmount
