#pragma once

#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include "store/curlclient.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Filbertmount {

struct AdminClientOptions {
    /** "IP:port" of the instance's administration port. */
    std::string address;
    std::string token;
    Duration timeout = std::chrono::seconds(5);
};

/** What an instance answered, or why it did not. */
struct AdminReply {
    /** 0 when there is no response. */
    int status = 0;
    /** The request was sent, so a change may have taken effect although there is no response. */
    bool sent = false;
    nlohmann::json json;
    std::string source;
    /** Step, peer and reason when the status is not 200. */
    std::string error;
};

/** Calls the administration API of instances. */
class AdminClient
{
public:
    explicit AdminClient(AdminClientOptions options);

    AdminReply get(const std::string &path);
    /** Calls another instance with the same token. */
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
