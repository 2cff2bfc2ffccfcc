#pragma once

#include <filbertmount/routing/slotclient.h>
#include <filbertmount/routing/slotdispatcher.h>
#include <filbertmount/routing/upstreamtable.h>

#include <optional>
#include <span>

namespace Filbertmount {

/** Controls how often the pace of upstreams is polled. Candidates are the upstreams likely to get the next requests. */
struct PacePollingOptions {
    /** Minimum number of candidates. */
    std::size_t minCandidates = 3;
    /** Maximum number of candidates; polling more would cost more than it gains. */
    std::size_t maxCandidates = 48;
    /** Candidates per grant made within candidateMaxAge. */
    double candidatesPerGrant = 1.5;
    /** Age from which the pace of a candidate is polled again. */
    Duration candidateMaxAge = std::chrono::milliseconds(20);
    /** Age from which the pace of any other upstream is polled again. */
    Duration otherMaxAge = std::chrono::milliseconds(150);
    /** Minimum of the limit on polls per second; the limit rises with the rate of grants. */
    double minPollsPerSecond = 180;
    /** Polls per grant. A poll crosses zones, which costs about a hundredth of a request. */
    double pollsPerGrant = 1.5;
};

/** Options of a ServiceRouter and its parts. */
struct ServiceRouterOptions {
    UpstreamTableOptions table;
    SlotDispatcherOptions dispatcher;
    SlotClientOptions client;
    /** Time without messages of members after which an instance that is no longer the dispatcher stops dispatching. */
    Duration dispatcherIdleTimeout = std::chrono::seconds(2);
};

/** Results of one call: messages to other members and decisions on requests of this instance. */
struct ServiceRouterOutput {
    SlotOutbox messages;
    SlotDecisions decisions;

    void clear();
};

/**
 * Makes all routing decisions for one service in one entry instance. Combines the upstream table, the client and, when this
 * instance is the dispatcher of the service, the dispatcher.
 *
 * Performs no I/O. Not thread-safe. Messages between client and dispatcher of the same instance are delivered directly.
 */
class ServiceRouter
{
public:
    explicit ServiceRouter(ServiceRouterOptions options);
    ServiceRouter(const ServiceRouter &) = delete;
    ServiceRouter &operator=(const ServiceRouter &) = delete;

    void setOptions(const UpstreamTableOptions &table, const SlotDispatcherOptions &dispatcher);
    void updateUpstreams(std::span<const RoutedUpstream> upstreams, Instant now, ServiceRouterOutput &output);
    void setUpstreamState(UpstreamIndex index, UpstreamState state, Instant now, ServiceRouterOutput &output);

    /** Sets the dispatcher and the live members, which include the instance itself. */
    void setDispatcher(std::optional<MemberIndex> dispatcher,
                       std::span<const MemberIndex> members,
                       Instant now,
                       ServiceRouterOutput &output);
    void removeMember(MemberIndex member, Instant now, ServiceRouterOutput &output);

    void request(SlotRequest request, Instant now, ServiceRouterOutput &output);
    void release(const SlotPlacement &placement, const AttemptReport &report, Instant now, ServiceRouterOutput &output);
    void handle(MemberIndex from, const SlotMessage &message, Instant now, ServiceRouterOutput &output);
    /** Handles a grant of an upstream that is not in the table. */
    void handleUnknownUpstream(MemberIndex from, const SlotGrant &grant, Instant now, ServiceRouterOutput &output);
    /** Returns the usable upstreams whose pace should be polled now, those first that are likely to get the next requests. */
    [[nodiscard]] std::vector<UpstreamIndex> upstreamsToPoll(const PacePollingOptions &polling, Instant now);
    /** Records the pace that an upstream reported. */
    void recordPace(UpstreamIndex index, double pace, Instant now, ServiceRouterOutput &output);
    /** Records what an upstream stated about further requests outside of an attempt. */
    void recordSignals(UpstreamIndex index, const UpstreamSignals &signals, Instant now, ServiceRouterOutput &output);
    /** Handles timeouts, reports and queued requests. Call every few milliseconds. */
    void tick(Instant now, ServiceRouterOutput &output);

    /** Returns the upstreams that turned cold or warm since the last call. */
    std::vector<WarmupChange> takeWarmupChanges();

    [[nodiscard]] const UpstreamTable &table() const;
    [[nodiscard]] const SlotClient &client() const;
    [[nodiscard]] const SlotDispatcher &dispatcher() const;

private:
    void deliver(MemberIndex from, const SlotMessage &message, Instant now, SlotDecisions &decisions);
    /** Number of upstreams that are likely to be granted before their pace is polled again. */
    [[nodiscard]] std::size_t candidateCount(const PacePollingOptions &polling) const;
    void updateGrantRate(Instant now);
    /** Adds the polls that are allowed by the time since the last call. */
    void addPollTokens(const PacePollingOptions &polling, Instant now);
    /** Delivers messages to the instance itself and appends the others to @p output. */
    void flush(Instant now, ServiceRouterOutput &output);

    ServiceRouterOptions m_options;
    UpstreamTable m_table;
    SlotClient m_client;
    SlotDispatcher m_dispatcher;
    SlotOutbox m_outbox;
    /** Last message to this instance's dispatcher, or last call of setDispatcher(). */
    Instant m_dispatcherLastUsed{};
    /** Grants per second of this instance's dispatcher, smoothed. */
    double m_grantRate = 0;
    /** Polls of pace that may be sent now. */
    double m_pollTokens = 0;
    Instant m_pollTokensAddedAt{};
    std::uint64_t m_grantsCounted = 0;
    Instant m_grantsCountedAt{};
};

} // namespace Filbertmount
