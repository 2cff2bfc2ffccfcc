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
    BlockingAnswer handle(const BlockingRequest &request);
    BlockingAnswer handlePlatformCall(const BlockingRequest &request);
    BlockingAnswer dispatch(const BlockingRequest &request);
    BlockingAnswer readObject(const std::string &key);
    BlockingAnswer writeObject(const std::string &key, const BlockingRequest &request);
    BlockingAnswer watch(const BlockingRequest &request);
    BlockingAnswer setInstances(const BlockingRequest &request);
    BlockingAnswer control(const BlockingRequest &request);

    ObjectTable m_objects;
    InstanceTable m_instances;
    FaultSwitches m_faults;
    absl::Notification m_stopping;
    BlockingServer m_server;
};

} // namespace Filbertmount::StandIn
