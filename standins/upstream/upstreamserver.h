#pragma once

#include "executionlog.h"
#include "slotqueue.h"
#include "upstreamoptions.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace Filbertmount::StandIn {

struct UpstreamRequest;

/**
 * HTTP server that simulates an upstream with slots, cold start, draining, load shedding, a delayed or false load
 * report, and requests that crash the process.
 *
 * Paths below /standin/ control the server: drain, slow?factor=N, fail?on=0|1 (respond with status 500),
 * lie?on=0|1 (report a live, idle upstream whatever its state). GET /health returns the load report. Any other request
 * takes a slot. Its response contains the request id at the start and at the end, so that a caller can check that the
 * response is complete and belongs to its request. The query "bytes=N" sets the response's size, "crash=1" ends the process.
 */
class UpstreamServer
{
public:
    explicit UpstreamServer(const UpstreamOptions &options);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer &) = delete;
    UpstreamServer &operator=(const UpstreamServer &) = delete;

    /** Returns false when the port cannot be opened. */
    bool start();
    [[nodiscard]] std::uint16_t port() const;

    /** Refuses all further requests with Request-Not-Run: draining. */
    void drain();
    /** Blocks until no request runs or waits for a slot. */
    void waitUntilIdle();

private:
    static MHD_Result handleRequest(void *server,
                                    MHD_Connection *connection,
                                    const char *url,
                                    const char *method,
                                    const char *version,
                                    const char *uploadData,
                                    size_t *uploadSize,
                                    void **context);
    static void completeRequest(void *server, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code);

    MHD_Result dispatch(const std::shared_ptr<UpstreamRequest> &request);
    MHD_Result run(const std::shared_ptr<UpstreamRequest> &request);
    MHD_Result refuse(MHD_Connection *connection, const char *reason);
    MHD_Result handleControl(const UpstreamRequest &request);
    MHD_Result reportLoad(MHD_Connection *connection);

    const UpstreamOptions m_options;
    ExecutionLog m_log;
    SlotQueue m_slots;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_failsRequests{false};
    std::atomic<bool> m_reportsFalseLoad{false};
};

} // namespace Filbertmount::StandIn
