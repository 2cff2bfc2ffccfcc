#include "routing/slotwire.h"

#include "peer/wiretime.h"

#include "peer.pb.h"

#include <algorithm>
#include <cmath>

namespace Filbertmount {

namespace {

// Attempts cannot outnumber the connections to an upstream, so a higher count is malformed and is reduced to this one.
constexpr std::uint32_t MaxInFlightPerUpstream = 10'000;
constexpr double PercentScale = 100.0;

/** Writes slot messages in their wire form into a message body. */
class Writer
{
public:
    Writer(Wire::Body &body, const ServiceName &service, const UpstreamTable &table)
        : m_body(body)
        , m_service(service)
        , m_table(table)
    {
    }

    void operator()(const SlotRequest &request)
    {
        Wire::SlotRequest &wire = *m_body.mutable_slot_request();
        wire.set_service(m_service.value());
        wire.set_request(request.request);
        wire.set_priority(request.rank);
        wire.set_flow(request.flow.value());
        wire.set_deadline_us(toMicroseconds(request.timeLeft));
        if (request.objectiveLeft) {
            wire.set_objective_us(toMicroseconds(*request.objectiveLeft));
        }
        wire.set_zone(request.zone.data(), request.zone.size());
        wire.set_immediate(request.isImmediate);
        wire.set_expected_bytes(request.expectedBytes);
        for (const UpstreamIndex index : request.excluded) {
            wire.add_excluded(m_table.upstream(index).id.value());
        }
    }

    void operator()(const SlotGrant &grant)
    {
        Wire::SlotGrant &wire = *m_body.mutable_slot_grant();
        wire.set_service(m_service.value());
        wire.set_request(grant.request);
        wire.set_upstream(m_table.upstream(grant.upstream).id.value());
        wire.set_grant(grant.grant);
        wire.set_exit_reason(static_cast<std::uint32_t>(grant.exitReason));
    }

    void operator()(const SlotQueued &queued)
    {
        Wire::SlotQueued &wire = *m_body.mutable_slot_queued();
        wire.set_service(m_service.value());
        wire.set_request(queued.request);
        wire.set_wait_us(toMicroseconds(queued.wait));
    }

    void operator()(const SlotRefusal &refusal)
    {
        Wire::SlotRefusal &wire = *m_body.mutable_slot_refusal();
        wire.set_service(m_service.value());
        wire.set_request(refusal.request);
        wire.set_retry_after_us(toMicroseconds(refusal.retryAfter));
        wire.set_reason(static_cast<std::uint32_t>(refusal.reason));
    }

    void operator()(const SlotRelease &release)
    {
        Wire::SlotRelease &wire = *m_body.mutable_slot_release();
        wire.set_service(m_service.value());
        wire.set_grant(release.grant);
        wire.set_request(release.request);
        if (release.grant == 0) {
            return;
        }
        wire.set_upstream(m_table.upstream(release.upstream).id.value());
        wire.set_service_time_us(toMicroseconds(release.report.serviceTime));
        wire.set_outcome(static_cast<std::uint32_t>(release.report.outcome));
        if (release.report.signals.draining) {
            wire.set_draining_incarnation(release.report.signals.draining->value());
        }
        if (release.report.signals.warmup && *release.report.signals.warmup > Duration::zero()) {
            wire.set_warmup_us(toMicroseconds(*release.report.signals.warmup));
        }
        if (release.report.pace) {
            wire.set_pace_percent(static_cast<std::uint32_t>(std::lround(*release.report.pace * PercentScale)));
        }
    }

    void operator()(const InFlightReport &report)
    {
        Wire::InFlightReport &wire = *m_body.mutable_in_flight_report();
        wire.set_service(m_service.value());
        wire.set_last_grant(report.lastGrant);
        for (const UpstreamCount &count : report.upstreams) {
            Wire::UpstreamInFlight &item = *wire.add_upstreams();
            item.set_upstream(m_table.upstream(count.upstream).id.value());
            item.set_requests(static_cast<std::uint32_t>(count.attempts));
        }
    }

private:
    Wire::Body &m_body;
    const ServiceName &m_service;
    const UpstreamTable &m_table;
};

ReceivedSlotMessage read(const Wire::SlotRequest &wire, const UpstreamTable &table)
{
    SlotRequest request{.request = wire.request(),
                        .rank = static_cast<std::uint8_t>(std::min<std::uint32_t>(wire.priority(), QueueRanks - 1)),
                        .flow = FlowId(wire.flow()),
                        .timeLeft = fromMicroseconds(wire.deadline_us()),
                        .objectiveLeft =
                            wire.has_objective_us() ? std::optional(fromMicroseconds(wire.objective_us())) : std::nullopt,
                        .zone = wire.zone(),
                        .excluded = {},
                        .isImmediate = wire.immediate(),
                        .expectedBytes = wire.expected_bytes()};
    for (const std::string &id : wire.excluded()) {
        if (const auto index = table.find(id)) {
            request.excluded.push_back(*index);
        }
    }
    return SlotMessage(std::move(request));
}

/** A reason that a later version added is read as unknown. */
ZoneExitReason readExitReason(const Wire::SlotGrant &wire)
{
    const bool isKnown = wire.exit_reason() <= static_cast<std::uint32_t>(ZoneExitReason::NoHomeUpstream);
    return isKnown ? static_cast<ZoneExitReason>(wire.exit_reason()) : ZoneExitReason::None;
}

ReceivedSlotMessage read(const Wire::SlotGrant &wire, const UpstreamTable &table)
{
    const auto index = table.find(wire.upstream());
    const SlotGrant grant{
        .request = wire.request(), .upstream = index.value_or(0), .grant = wire.grant(), .exitReason = readExitReason(wire)};
    if (wire.grant() == 0 || wire.grant() == NoGrant) {
        return std::monostate();
    }
    if (!index) {
        return UnknownUpstreamGrant{grant};
    }
    return SlotMessage(grant);
}

ReceivedSlotMessage read(const Wire::SlotQueued &wire)
{
    return SlotMessage(SlotQueued{.request = wire.request(), .wait = fromMicroseconds(wire.wait_us())});
}

ReceivedSlotMessage read(const Wire::SlotRefusal &wire)
{
    if (wire.reason() > static_cast<std::uint32_t>(RefusalReason::Shed)) {
        return std::monostate();
    }
    return SlotMessage(SlotRefusal{.request = wire.request(),
                                   .reason = static_cast<RefusalReason>(wire.reason()),
                                   .retryAfter = fromMicroseconds(wire.retry_after_us())});
}

std::optional<double> readPace(const Wire::SlotRelease &wire)
{
    if (wire.pace_percent() == 0) {
        return std::nullopt;
    }
    return wire.pace_percent() / PercentScale;
}

UpstreamSignals readSignals(const Wire::SlotRelease &wire)
{
    UpstreamSignals signals;
    if (wire.has_draining_incarnation()) {
        signals.draining = Incarnation(wire.draining_incarnation());
    }
    if (wire.has_warmup_us()) {
        signals.warmup = fromMicroseconds(wire.warmup_us());
    }
    return signals;
}

ReceivedSlotMessage read(const Wire::SlotRelease &wire, const UpstreamTable &table)
{
    const auto index = table.find(wire.upstream());
    const bool isWithdrawal = wire.grant() == 0;
    if ((!index && !isWithdrawal) || wire.outcome() > static_cast<std::uint32_t>(AttemptOutcome::RefusedWithRoom)) {
        return std::monostate();
    }
    return SlotMessage(SlotRelease{.request = wire.request(),
                                   .grant = wire.grant(),
                                   .upstream = index.value_or(0),
                                   .report = {.outcome = static_cast<AttemptOutcome>(wire.outcome()),
                                              .serviceTime = fromMicroseconds(wire.service_time_us()),
                                              .pace = readPace(wire),
                                              .signals = readSignals(wire)}});
}

ReceivedSlotMessage read(const Wire::InFlightReport &wire, const UpstreamTable &table)
{
    InFlightReport report{.upstreams = {}, .lastGrant = wire.last_grant()};
    for (const Wire::UpstreamInFlight &item : wire.upstreams()) {
        if (const auto index = table.find(item.upstream())) {
            report.upstreams.push_back(
                {.upstream = *index, .attempts = static_cast<int>(std::min(item.requests(), MaxInFlightPerUpstream))});
        }
    }
    return SlotMessage(std::move(report));
}

} // namespace

Wire::Body toWire(const SlotMessage &message, const ServiceName &service, const UpstreamTable &table)
{
    Wire::Body body;
    std::visit(Writer(body, service, table), message);
    return body;
}

ReceivedSlotMessage fromWire(const Wire::Body &body, const UpstreamTable &table)
{
    switch (body.kind_case()) {
    case Wire::Body::kSlotRequest:
        return read(body.slot_request(), table);
    case Wire::Body::kSlotGrant:
        return read(body.slot_grant(), table);
    case Wire::Body::kSlotQueued:
        return read(body.slot_queued());
    case Wire::Body::kSlotRefusal:
        return read(body.slot_refusal());
    case Wire::Body::kSlotRelease:
        return read(body.slot_release(), table);
    case Wire::Body::kInFlightReport:
        return read(body.in_flight_report(), table);
    default:
        return std::monostate();
    }
}

std::string_view serviceOf(const Wire::Body &body)
{
    switch (body.kind_case()) {
    case Wire::Body::kSlotRequest:
        return body.slot_request().service();
    case Wire::Body::kSlotGrant:
        return body.slot_grant().service();
    case Wire::Body::kSlotQueued:
        return body.slot_queued().service();
    case Wire::Body::kSlotRefusal:
        return body.slot_refusal().service();
    case Wire::Body::kSlotRelease:
        return body.slot_release().service();
    case Wire::Body::kInFlightReport:
        return body.in_flight_report().service();
    default:
        return {};
    }
}

} // namespace Filbertmount
