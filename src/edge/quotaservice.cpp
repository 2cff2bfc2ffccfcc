#include "edge/quotaservice.h"

#include <filbertmount/telemetry/log.h>

#include <absl/container/flat_hash_set.h>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace Filbertmount {

namespace {

// An instance counts as known for one to two of these periods after it was last seen.
constexpr Duration KnownPeriod = std::chrono::seconds(30);
// Also without a change, because the number of registered instances may have changed.
constexpr Duration MemberInterval = std::chrono::milliseconds(500);
constexpr Duration ReportInterval = std::chrono::seconds(1);

/** Name of the machine of an instance; a restarted process has the same name and another id. */
std::string_view machineOf(const InstanceId &id)
{
    return std::string_view(id.value()).substr(0, id.value().rfind('/'));
}

QuotaOptions optionsFrom(const QuotaSettings &settings)
{
    return {.window = settings.window, .overshoot = settings.overshoot, .slack = settings.slack};
}

} // namespace

QuotaService::QuotaService(IoLoop &loop, Fleet &fleet, Metrics &metrics, const QuotaSettings &settings, std::uint64_t seed)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_metrics(metrics)
    , m_engine(fleet.self(), optionsFrom(settings), seed, ProcessClock::now())
    , m_knownSince(ProcessClock::now())
    , m_granted(metrics.counter(MetricNames::QuotaDecisions, {{"outcome", "granted"}}))
    , m_overQuota(metrics.counter(MetricNames::QuotaDecisions, {{"outcome", "over_quota"}}))
    , m_unavailable(metrics.counter(MetricNames::QuotaDecisions, {{"outcome", "unavailable"}}))
{
    for (const auto kind : {Wire::Body::kQuotaRequest, Wire::Body::kQuotaReply, Wire::Body::kQuotaReturn}) {
        m_fleet.setHandler(kind, [this](const InstanceId &from, const Wire::Body &body) {
            onMessage(from, body);
        });
    }
}

QuotaService::~QuotaService()
{
    *m_isAlive = false;
}

void QuotaService::count(QuotaOutcome outcome)
{
    switch (outcome) {
    case QuotaOutcome::Granted:
        m_granted.Increment();
        break;
    case QuotaOutcome::OverQuota:
        m_overQuota.Increment();
        break;
    case QuotaOutcome::Unavailable:
        m_unavailable.Increment();
        break;
    case QuotaOutcome::Waiting:
        break;
    }
}

std::uint64_t QuotaService::acquire(const QuotaAsk &ask, QuotaHandler handler)
{
    if (ask.limit.ratePerSecond <= 0) {
        handler({.outcome = QuotaOutcome::Granted});
        return 0;
    }
    const QuotaDecision decision = m_engine.client().acquire(ask, ProcessClock::now());
    if (m_engine.client().needsFlush()) {
        flushSoon();
    }
    if (decision.outcome == QuotaOutcome::Waiting) {
        m_handlers.emplace(decision.waiter, std::move(handler));
        return decision.waiter;
    }
    count(decision.outcome);
    handler(decision);
    return 0;
}

void QuotaService::cancel(std::uint64_t waiter)
{
    m_handlers.erase(waiter);
    m_engine.client().cancel(waiter);
}

void QuotaService::release(std::string_view account, const QuotaToken &token)
{
    if (token.request != 0) {
        m_engine.client().release(account, token, ProcessClock::now());
    }
}

void QuotaService::flushSoon()
{
    if (m_isFlushScheduled) {
        return;
    }
    m_isFlushScheduled = true;
    // After the other requests that this turn of the loop reads, so that one message carries their demands.
    Asio::post(m_loop, [this, isAlive = m_isAlive] {
        if (!*isAlive) {
            return;
        }
        m_isFlushScheduled = false;
        QuotaOutput output;
        m_engine.flush(ProcessClock::now(), output);
        apply(output);
    });
}

void QuotaService::onMessage(const InstanceId &from, const Wire::Body &body)
{
    QuotaOutput output;
    m_engine.handle(from, body, ProcessClock::now(), output);
    apply(output);
}

void QuotaService::apply(QuotaOutput &output)
{
    for (PeerMessage &message : output.messages) {
        m_fleet.send(message.to, std::move(message.envelope));
    }
    for (const QuotaDecision &decision : output.decisions) {
        auto found = m_handlers.extract(decision.waiter);
        if (found.empty()) {
            // The request ended while the decision was on its way to it.
            continue;
        }
        count(decision.outcome);
        found.mapped()(decision);
    }
}

void QuotaService::followMembers(Instant now)
{
    if (m_fleet.memberVersion() == m_memberVersion && now - m_membersAt < MemberInterval) {
        return;
    }
    m_memberVersion = m_fleet.memberVersion();
    m_membersAt = now;
    const std::vector<InstanceId> members = m_fleet.memberIds();
    absl::flat_hash_set<std::string_view> machines;
    for (const InstanceId &member : members) {
        machines.insert(machineOf(member));
    }
    if (now - m_knownSince >= KnownPeriod) {
        m_knownSince = now;
        m_knownBefore = std::exchange(m_knownNow, 0);
    }
    m_knownNow = std::max({m_knownNow, machines.size(), m_registered});
    m_engine.setMembers(
        {.members = members, .coordinators = m_fleet.coordinatorIds(), .known = std::max(m_knownNow, m_knownBefore)});
}

void QuotaService::setRegisteredInstances(std::size_t count)
{
    m_registered = count;
}

void QuotaService::setVersion(std::uint64_t version)
{
    m_engine.setVersion(version);
}

void QuotaService::tick(Instant now)
{
    followMembers(now);
    QuotaOutput output;
    m_engine.tick(now, output);
    apply(output);
    if (now - m_reportedAt >= ReportInterval) {
        m_reportedAt = now;
        report();
    }
}

void QuotaService::report()
{
    const QuotaElection &election = m_engine.election();
    m_metrics.gauge(MetricNames::QuotaBuckets).Set(static_cast<double>(m_engine.owner().bucketCount()));
    m_metrics.gauge(MetricNames::QuotaWaiting).Set(static_cast<double>(m_engine.client().waiting()));
    m_metrics.gauge(MetricNames::QuotaLeading).Set(election.isLeading() ? 1 : 0);
    if (election.isLeading() != m_wasLeading) {
        m_wasLeading = election.isLeading();
        logLine(LogLevel::Info, m_wasLeading ? "leads the owners of quotas" : "no longer leads the owners of quotas");
    }
    if (election.owners().epoch() != m_reportedEpoch) {
        m_reportedEpoch = election.owners().epoch();
        logLine(LogLevel::Info,
                "the owners of quotas changed",
                {{.name = "epoch", .value = static_cast<std::int64_t>(m_reportedEpoch)},
                 {.name = "owners", .value = static_cast<std::int64_t>(election.owners().ids().size())}});
    }
}

void QuotaService::onResume(Instant now)
{
    m_engine.onResume(now);
}

void QuotaService::startDraining()
{
    QuotaOutput output;
    m_engine.resign(ProcessClock::now(), output);
    apply(output);
}

void QuotaService::returnTokens()
{
    QuotaOutput output;
    m_engine.drain(ProcessClock::now(), output);
    apply(output);
}

} // namespace Filbertmount
