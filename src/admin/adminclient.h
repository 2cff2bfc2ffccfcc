#pragma once

#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include "store/curlclient.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Filbertmount {

struct AdminClientOptions {
    /** "IP:port" of the administration port of the instance. */
    std::string address;
    std::string token;
    Duration timeout = std::chrono::seconds(5);
};

/** Response of an instance, or the reason why there is none. */
struct AdminReply {
    /** 0 if there is no valid response. */
    int status = 0;
    /** Whether the request was sent, so that a change may have taken effect even without a response. */
    bool sent = false;
    nlohmann::json json;
    /** Value of the Filbertmount-Source header: "store", or "cache" for a document in force at the instance. */
    std::string source;
    /** Step, peer and reason if the status is not 200. */
    std::string error;
};

/** Calls the administration API of instances. */
class AdminClient
{
public:
    explicit AdminClient(AdminClientOptions options);

    AdminReply get(const std::string &path);
    /** Sends a GET request with the same token to another instance. */
    AdminReply getFrom(const std::string &address, const std::string &path);
    /** @param precondition header line such as "If-None-Match: *"; may be empty */
    AdminReply send(const std::string &method, const std::string &path, const std::string &body, const std::string &precondition);

    [[nodiscard]] const std::string &address() const;

private:
    AdminReply perform(const std::string &address, HttpCall call);

    AdminClientOptions m_options;
    CurlClient m_client;
};

} // namespace Filbertmount
