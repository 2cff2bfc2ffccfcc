#include "instance/probetransfer.h"

#include "instance/upstreammonitor.h"

#include <nlohmann/json.hpp>

namespace Filbertmount {

namespace {

constexpr std::size_t MaxReportBytes = 4096;
constexpr int StatusOk = 200;

} // namespace

UpstreamObservation observationFromLoadReport(int status, const std::string &body)
{
    const nlohmann::json report = nlohmann::json::parse(body, nullptr, false);
    if (status != StatusOk || !report.is_object() || !report.contains("state") || !report["state"].is_string()) {
        return UpstreamObservation::ProbeFailed;
    }
    const std::string state = report["state"];
    if (state == "draining") {
        return UpstreamObservation::Draining;
    }
    return state == "live" || state == "starting" ? UpstreamObservation::ProbeLive : UpstreamObservation::ProbeFailed;
}

ProbeTransfer::ProbeTransfer(ProbeCommand command, UpstreamMonitor &upstreamMonitor)
    : m_command(std::move(command))
    , m_upstreamMonitor(upstreamMonitor)
    , m_started(ProcessClock::now())
{
}

FlowControl ProbeTransfer::beforeSend()
{
    return FlowControl::Continue;
}

BodyReadResult ProbeTransfer::readRequestBody(std::span<char> /*buffer*/)
{
    return {};
}

FlowControl ProbeTransfer::responseHeadReceived(ResponseHead head)
{
    m_status = head.status;
    return FlowControl::Continue;
}

FlowControl ProbeTransfer::responseBodyReceived(std::string_view data)
{
    if (m_body.size() + data.size() > MaxReportBytes) {
        return FlowControl::Cancel;
    }
    m_body.append(data);
    return FlowControl::Continue;
}

void ProbeTransfer::transferSlow() { }

void ProbeTransfer::transferEnded(const TransferEnd &end)
{
    const Duration elapsed = ProcessClock::now() - m_started;
    if (end.result == TransferResult::NotConnected) {
        m_upstreamMonitor.probeEnded(m_command, UpstreamObservation::ConnectFailed, elapsed);
        return;
    }
    const bool complete = end.result == TransferResult::Complete;
    m_upstreamMonitor.probeEnded(
        m_command, complete ? observationFromLoadReport(m_status, m_body) : UpstreamObservation::ProbeFailed, elapsed);
}

} // namespace Filbertmount
