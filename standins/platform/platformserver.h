#pragma once

#include "faultinjector.h"
#include "instancetable.h"
#include "objecttable.h"

#include "http/blockingserver.h"

#include <absl/synchronization/notification.h>

#include <string>

namespace Filbertmount::StandIn {

/**
 * HTTP stand-in for the platform's object store and instance list.
 * GET and PUT /faults read and set the injected faults; GET and DELETE /counters read and reset the call counts.
 */
class PlatformServer
{
public:
    explicit PlatformServer(Endpoint address = {.ip = "127.0.0.1"});
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    Result<void> start();
    /** Ends all pending watches and stops listening. The objects are kept. */
    void stop();
    /** "IP:port" that the server listens on. */
    [[nodiscard]] std::string address() const;

    ObjectTable &objects();
    InstanceTable &instances();
    FaultInjector &faults();

private:
    BlockingResponse handle(const BlockingRequest &request);
    BlockingResponse handlePlatformCall(const BlockingRequest &request);
    BlockingResponse dispatch(const BlockingRequest &request);
    BlockingResponse readObject(const std::string &key);
    BlockingResponse writeObject(const std::string &key, const BlockingRequest &request);
    BlockingResponse handleWatch(const BlockingRequest &request);
    BlockingResponse setInstances(const BlockingRequest &request);
    BlockingResponse handleControl(const BlockingRequest &request);

    ObjectTable m_objects;
    InstanceTable m_instances;
    FaultInjector m_faults;
    absl::Notification m_stopping;
    BlockingServer m_server;
};

} // namespace Filbertmount::StandIn
