#pragma once

#include <filbertmount/measuring/probescheduler.h>
#include <filbertmount/notices/trackedupstream.h>
#include <filbertmount/proxy/upstreamclient.h>

#include <string>

namespace Filbertmount {

class UpstreamMonitor;

/** Interprets the response to a probe. Returns ProbeFailed unless it has status 200 and is a JSON object with a known state. */
UpstreamObservation observationFromLoadReport(int status, const std::string &body);

/** Fetches an upstream's load report once and reports the result to the monitor. Runs on the worker thread of its transfer. */
class ProbeTransfer final : public TransferListener
{
public:
    /** @p upstreamMonitor must outlive the transfer. */
    ProbeTransfer(ProbeCommand command, UpstreamMonitor &upstreamMonitor);

    FlowControl beforeSend() override;
    BodyReadResult readRequestBody(std::span<char> buffer) override;
    FlowControl responseHeadReceived(ResponseHead head) override;
    FlowControl responseBodyReceived(std::string_view data) override;
    void transferSlow() override;
    void transferEnded(const TransferEnd &end) override;

private:
    const ProbeCommand m_command;
    UpstreamMonitor &m_upstreamMonitor;
    const Instant m_started;
    int m_status = 0;
    std::string m_body;
};

} // namespace Filbertmount
