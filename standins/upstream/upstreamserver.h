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
 * A small HTTP server that behaves like an upstream: slots, cold start, drain, shedding, cancellation, deadlines, a
 * lagging or lying load report, and requests that crash it.
 *
 * Paths below /standin/ control it: drain, slow?factor=N, fail?on=0|1, lie?on=0|1. GET /health is the load report.
 * Any other request takes a slot. The answer repeats the request id at its begin and end, so that a caller can check
 * that the answer is whole and its own. The query "bytes=N" sets the answer's size, "crash=1" ends the process.
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

    /** New requests are refused as not run from now on. */
    void drain();
    /** Waits until every request in progress has been answered. */
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
    MHD_Result control(const UpstreamRequest &request);
    MHD_Result reportLoad(MHD_Connection *connection);

    const UpstreamOptions m_options;
    ExecutionLog m_log;
    SlotQueue m_slots;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_failing{false};
    std::atomic<bool> m_lying{false};
};

} // namespace Filbertmount::StandIn
