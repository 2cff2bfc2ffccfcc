#include "edge/quotaservice.h"

#include <filbertmount/telemetry/log.h>

#include <boost/asio/post.hpp>

namespace Filbertmount {

namespace {

// Also without a change of the members, because the number of known instances may have changed.
constexpr Duration MemberInterval = std::chrono::milliseconds(500);
constexpr Duration ReportInterval = std::chrono::seconds(1);

QuotaOptions optionsFrom(const QuotaSettings &settings)
{
    return {.window = settings.window, .overshoot = settings.overshoot, .slack = settings.slack};
}

} // namespace

QuotaService::QuotaService(IoLoop &loop,
                           Fleet &fleet,
                           const KnownInstances &known,
                           Metrics &metrics,
                           const QuotaSettings &settings,
                           std::uint64_t seed)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_known(known)
    , m_metrics(metrics)
    , m_engine(fleet.self(), optionsFrom(settings), seed, ProcessClock::now())
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
    m_engine.setMembers({.members = m_fleet.memberIds(),
                         .coordinators = m_fleet.coordinatorIds(),
                         .known = m_known.count(now),
                         .hasReports = m_known.reports().hasReports(now),
                         .confirmedUntil = m_known.reports().confirmedUntil()});
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
        report(now);
    }
}

void QuotaService::report(Instant now)
{
    const QuotaElection &election = m_engine.election();
    m_metrics.gauge(MetricNames::QuotaBuckets).Set(static_cast<double>(m_engine.owner().bucketCount()));
    m_metrics.gauge(MetricNames::QuotaWaiting).Set(static_cast<double>(m_engine.client().waiting()));
    m_metrics.gauge(MetricNames::QuotaLeading).Set(election.isLeading() ? 1 : 0);
    reportKnown(now);
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

void QuotaService::reportKnown(Instant now)
{
    const std::size_t known = m_known.count(now);
    m_metrics.gauge(MetricNames::KnownInstances).Set(static_cast<double>(known));
    if (known != m_reportedKnown) {
        m_reportedKnown = known;
        logLine(LogLevel::Info,
                "the number of known instances changed",
                {{.name = "known", .value = static_cast<std::int64_t>(known)},
                 {.name = "live", .value = static_cast<std::int64_t>(m_fleet.memberCount())},
                 {.name = "registered", .value = static_cast<std::int64_t>(m_known.registeredCount(now))}});
    }
}

bool QuotaService::isLeading() const
{
    return m_engine.election().isLeading();
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
