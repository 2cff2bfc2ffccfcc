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
    /** Longest time of the whole call, connecting included. */
    Duration timeout = std::chrono::seconds(1);
    /** A longer response is given up. */
    std::size_t maxAnswerBytes = std::size_t{4} << 20U;
};

/** How an HTTP call ended. */
struct HttpAnswer {
    enum class End : std::uint8_t {
        /** A complete response. */
        Answered,
        /** No byte of the request was sent. */
        NotSent,
        /** The request was sent, and no complete response was received. */
        Lost,
    };

    End end = End::NotSent;
    int status = 0;
    std::string body;
    /** Values of the headers that the store and the administration API use; empty when absent. */
    std::string etag;
    std::string date;
    std::string requestNotRun;
    std::string source;
    /** Why there is no response. */
    std::string reason;
};

} // namespace Filbertmount
