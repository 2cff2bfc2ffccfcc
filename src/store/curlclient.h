#pragma once

#include "store/httpcall.h"

#include <curl/curl.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Filbertmount {

/**
 * Blocking HTTP calls with libcurl over kept connections. Thread-safe: each call in progress has its own handle.
 *
 * libcurl sends a request again when a reused connection died before the response. The client gives up before such a
 * second transmission of any method but GET, because a write could take effect twice.
 */
class CurlClient
{
public:
    CurlClient();

    HttpAnswer perform(const HttpCall &call);

    /** Percent-encodes text for a path segment or a query value. */
    static std::string escape(const std::string &text);

private:
    struct HandleDeleter {
        void operator()(CURL *handle) const;
    };
    using Handle = std::unique_ptr<CURL, HandleDeleter>;

    Handle takeHandle();
    void giveBack(Handle handle);

    // Guards the members below. ThreadSanitizer does not see the locks of Debian\'s Abseil, so it is a std::mutex.
    std::mutex m_mutex;
    std::vector<Handle> m_idle;
};

} // namespace Filbertmount
