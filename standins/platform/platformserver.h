#pragma once

#include "faultswitches.h"
#include "instancetable.h"
#include "objecttable.h"

#include "http/blockingserver.h"

#include <absl/synchronization/notification.h>

#include <string>

namespace Filbertmount::StandIn {

/**
 * Stand-in for the platform's object store and instance list over HTTP.
 * GET and PUT /faults switch faults, GET and DELETE /counters read and reset the counts of calls.
 */
class PlatformServer
{
public:
    explicit PlatformServer(Endpoint address = {.ip = "127.0.0.1"});
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    Result<void> start();
    /** Ends waiting watches and stops listening. The objects stay. */
    void stop();
    /** "IP:port" that is listened on. */
    [[nodiscard]] std::string address() const;

    ObjectTable &objects();
    InstanceTable &instances();
    FaultSwitches &faults();

private:
    BlockingResponse handle(const BlockingRequest &request);
    BlockingResponse handlePlatformCall(const BlockingRequest &request);
    BlockingResponse dispatch(const BlockingRequest &request);
    BlockingResponse readObject(const std::string &key);
    BlockingResponse writeObject(const std::string &key, const BlockingRequest &request);
    BlockingResponse watch(const BlockingRequest &request);
    BlockingResponse setInstances(const BlockingRequest &request);
    BlockingResponse control(const BlockingRequest &request);

    ObjectTable m_objects;
    InstanceTable m_instances;
    FaultSwitches m_faults;
    absl::Notification m_stopping;
    BlockingServer m_server;
};

} // namespace Filbertmount::StandIn
