#pragma once

#include <filbertmount/measuring/probescheduler.h>
#include <filbertmount/notices/trackedupstream.h>
#include <filbertmount/proxy/upstreamclient.h>

#include <string>

namespace Filbertmount {

class UpstreamWatch;

/** Returns what a load report says; ProbeFailed for anything but a JSON object with a known state. */
UpstreamObservation signOfLoadReport(int status, const std::string &body);

/** One probe of an upstream's load report. Used on the worker thread of its transfer. */
class ProbeTransfer final : public TransferListener
{
public:
    /** @p watch must outlive the transfer. */
    ProbeTransfer(ProbeCommand command, UpstreamWatch &watch);

    FlowControl beforeSend() override;
    BodyReadResult readRequestBody(std::span<char> buffer) override;
    FlowControl responseHeadReceived(ResponseHead head) override;
    FlowControl responseBodyReceived(std::string_view data) override;
    void transferSlow() override;
    void transferEnded(const TransferEnd &end) override;

private:
    const ProbeCommand m_command;
    UpstreamWatch &m_watch;
    const Instant m_started;
    int m_status = 0;
    std::string m_body;
};

} // namespace Filbertmount
