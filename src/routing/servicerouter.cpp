#include <filbertmount/routing/servicerouter.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <type_traits>

namespace Filbertmount {

namespace {

constexpr Duration GrantCountInterval = std::chrono::milliseconds(100);
// The rate follows a burst within about three intervals.
constexpr double GrantRateSmoothing = 0.4;
// Bounds the burst of polls after a period without polls.
constexpr Duration MaxPollTokenInterval = std::chrono::milliseconds(100);

} // namespace

void ServiceRouterOutput::clear()
{
    messages.clear();
    decisions.clear();
}

ServiceRouter::ServiceRouter(ServiceRouterOptions options)
    : m_options(std::move(options))
    , m_table(m_options.table)
    , m_client(m_table, m_options.client)
    , m_dispatcher(m_table, m_options.dispatcher)
{
}

void ServiceRouter::setOptions(const UpstreamTableOptions &table, const SlotDispatcherOptions &dispatcher)
{
    m_table.setOptions(table);
    m_dispatcher.setOptions(dispatcher);
}

void ServiceRouter::updateUpstreams(std::span<const RoutedUpstream> upstreams, Instant now, ServiceRouterOutput &output)
{
    m_table.update(upstreams, now);
    if (m_table.hasEvacuated()) {
        m_dispatcher.refuseUnservable(m_outbox);
    }
    m_dispatcher.upstreamsChanged(now, m_outbox);
    flush(now, output);
}

void ServiceRouter::setUpstreamState(UpstreamIndex index, UpstreamState state, Instant now, ServiceRouterOutput &output)
{
    m_table.setState(index, state, now);
    m_dispatcher.upstreamsChanged(now, m_outbox);
    flush(now, output);
}

void ServiceRouter::setDispatcher(std::optional<MemberIndex> dispatcher,
                                  std::span<const MemberIndex> members,
                                  Instant now,
                                  ServiceRouterOutput &output)
{
    if (dispatcher == SelfMember && m_client.dispatcher() != SelfMember && !m_dispatcher.isRunning()) {
        m_dispatcher.start(members, now);
    }
    m_dispatcherLastUsed = now;
    m_table.setRole(dispatcher == SelfMember, members.size(), now);
    m_client.setDispatcher(dispatcher, now, m_outbox, output.decisions);
    flush(now, output);
}

void ServiceRouter::removeMember(MemberIndex member, Instant now, ServiceRouterOutput &output)
{
    m_dispatcher.removeMember(member, now, m_outbox);
    flush(now, output);
}

void ServiceRouter::request(SlotRequest request, Instant now, ServiceRouterOutput &output)
{
    m_client.request(std::move(request), now, m_outbox, output.decisions);
    flush(now, output);
}

void ServiceRouter::release(const SlotPlacement &placement, const AttemptReport &report, Instant now, ServiceRouterOutput &output)
{
    m_client.release(placement, report, now, m_outbox);
    flush(now, output);
}

void ServiceRouter::handle(MemberIndex from, const SlotMessage &message, Instant now, ServiceRouterOutput &output)
{
    deliver(from, message, now, output.decisions);
    flush(now, output);
}

void ServiceRouter::handleUnknownUpstream(MemberIndex from, const SlotGrant &grant, Instant now, ServiceRouterOutput &output)
{
    m_client.handleUnknownUpstream(from, grant, now, m_outbox, output.decisions);
    flush(now, output);
}

void ServiceRouter::addPollTokens(const PacePollingOptions &polling, Instant now)
{
    const double rate = std::max(polling.minPollsPerSecond, polling.pollsPerGrant * m_grantRate);
    const double elapsed =
        std::chrono::duration<double>(std::clamp<Duration>(now - m_pollTokensAddedAt, {}, MaxPollTokenInterval)).count();
    const double maxTokens = rate * std::chrono::duration<double>(MaxPollTokenInterval).count();
    m_pollTokens = std::min(maxTokens, m_pollTokens + rate * elapsed);
    m_pollTokensAddedAt = now;
}

std::vector<UpstreamIndex> ServiceRouter::upstreamsToPoll(const PacePollingOptions &polling, Instant now)
{
    addPollTokens(polling, now);
    std::vector<std::pair<double, UpstreamIndex>> byKey;
    for (UpstreamIndex index = 0; index < m_table.size(); ++index) {
        if (m_table.limit(index) > 0 && !m_client.isPaused(index, now)) {
            byKey.emplace_back(SlotSelector::freeSlotKey(m_table, index, m_dispatcher.inFlight(index)), index);
        }
    }
    std::sort(byKey.begin(), byKey.end());
    const std::size_t candidates = candidateCount(polling);
    std::vector<UpstreamIndex> result;
    for (std::size_t position = 0; position < byKey.size() && m_pollTokens >= 1; ++position) {
        const UpstreamIndex index = byKey[position].second;
        const std::optional<Instant> lastPaceAt = m_table.lastPaceAt(index);
        const Duration maxAge = position < candidates ? polling.candidateMaxAge : polling.otherMaxAge;
        if (!lastPaceAt || now - *lastPaceAt >= maxAge) {
            result.push_back(index);
            m_pollTokens -= 1;
        }
    }
    return result;
}

std::size_t ServiceRouter::candidateCount(const PacePollingOptions &polling) const
{
    const double perAge = m_grantRate * std::chrono::duration<double>(polling.candidateMaxAge).count();
    const auto wanted = static_cast<std::size_t>(std::ceil(perAge * polling.candidatesPerGrant));
    return std::clamp(wanted, polling.minCandidates, std::max(polling.minCandidates, polling.maxCandidates));
}

void ServiceRouter::updateGrantRate(Instant now)
{
    const Duration elapsed = now - m_grantsCountedAt;
    if (elapsed < GrantCountInterval) {
        return;
    }
    const std::uint64_t grants = m_dispatcher.grants();
    const double rate = static_cast<double>(grants - m_grantsCounted) / std::chrono::duration<double>(elapsed).count();
    m_grantRate += GrantRateSmoothing * (rate - m_grantRate);
    m_grantsCounted = grants;
    m_grantsCountedAt = now;
}

void ServiceRouter::recordPace(UpstreamIndex index, double pace, Instant now, ServiceRouterOutput &output)
{
    m_table.recordPace(index, pace, now);
    m_dispatcher.upstreamsChanged(now, m_outbox);
    flush(now, output);
}

void ServiceRouter::recordSignals(UpstreamIndex index, const UpstreamSignals &signals, Instant now, ServiceRouterOutput &output)
{
    if (signals.draining) {
        m_table.recordDraining(index, *signals.draining, now);
    }
    if (signals.pause) {
        m_client.recordPause(index, *signals.pause, now);
    }
    if (signals.warmup || signals.isHealthReport) {
        m_table.recordWarmup(index, signals, now);
    }
    m_dispatcher.upstreamsChanged(now, m_outbox);
    flush(now, output);
}

void ServiceRouter::tick(Instant now, ServiceRouterOutput &output)
{
    m_table.tick(now);
    updateGrantRate(now);
    if (m_dispatcher.isRunning() && m_client.dispatcher() != SelfMember
        && now - m_dispatcherLastUsed > m_options.dispatcherIdleTimeout) {
        m_dispatcher.stop();
    }
    m_dispatcher.tick(now, m_outbox);
    m_client.tick(now, m_outbox, output.decisions);
    flush(now, output);
}

void ServiceRouter::deliver(MemberIndex from, const SlotMessage &message, Instant now, SlotDecisions &decisions)
{
    const auto toDispatcher = [&](const auto &body) {
        m_dispatcherLastUsed = now;
        if (!m_dispatcher.isRunning()) {
            // Members with a different membership view may select an instance that has not selected itself. It dispatches
            // all the same: two dispatchers overcommit slots, which costs less than random local placements.
            m_dispatcher.start({}, now);
        }
        m_dispatcher.handle(from, body, now, m_outbox);
    };
    std::visit(
        [&](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, SlotGrant>) {
                m_client.handle(from, body, now, m_outbox, decisions);
            } else if constexpr (std::is_same_v<Body, SlotQueued>) {
                m_client.handle(from, body, now);
            } else if constexpr (std::is_same_v<Body, SlotRefusal>) {
                m_client.handle(from, body, now, decisions);
            } else {
                toDispatcher(body);
            }
        },
        message);
}

void ServiceRouter::flush(Instant now, ServiceRouterOutput &output)
{
    // Local delivery appends to the list during the loop, which would invalidate iterators.
    for (std::size_t position = 0; position < m_outbox.size(); ++position) { // NOLINT(modernize-loop-convert)
        AddressedSlotMessage addressed = std::move(m_outbox[position]);
        if (addressed.peer == SelfMember) {
            deliver(SelfMember, addressed.message, now, output.decisions);
        } else {
            output.messages.push_back(std::move(addressed));
        }
    }
    m_outbox.clear();
}

std::vector<WarmupChange> ServiceRouter::takeWarmupChanges()
{
    return m_table.warmup().takeChanges();
}

const UpstreamTable &ServiceRouter::table() const
{
    return m_table;
}

const SlotClient &ServiceRouter::client() const
{
    return m_client;
}

const SlotDispatcher &ServiceRouter::dispatcher() const
{
    return m_dispatcher;
}

} // namespace Filbertmount
