#pragma once

#include <filbertmount/types/instant.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount {

/** One HTTP request to the store or to an administration API. */
struct HttpCall {
    std::string method = "GET";
    std::string url;
    /** Complete header lines such as "If-Match: \"7\"". */
    std::vector<std::string> headers;
    std::string body;
    /** Timeout of the whole call, connecting included. */
    Duration timeout = std::chrono::seconds(1);
    /** A longer response fails the call. */
    std::size_t maxResponseBytes = std::size_t{4} << 20U;
};

/** The response to an HTTP call, or why there is none. */
struct HttpResponse {
    enum class Outcome : std::uint8_t {
        /** A complete response was received. */
        Complete,
        /** No byte of the request was sent. */
        NotSent,
        /** The request was sent at least in part, but no complete response was received. */
        Lost,
    };

    Outcome outcome = Outcome::NotSent;
    int status = 0;
    std::string body;
    /** Values of the headers that the store and the administration API use; empty when absent. */
    std::string etag;
    std::string date;
    std::string requestNotRun;
    std::string source;
    /** Why the outcome is not Complete. */
    std::string reason;
};

} // namespace Filbertmount
