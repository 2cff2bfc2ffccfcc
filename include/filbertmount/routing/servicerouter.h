#pragma once

#include <filbertmount/routing/slotclient.h>
#include <filbertmount/routing/slotdispatcher.h>
#include <filbertmount/routing/upstreamtable.h>

#include <optional>
#include <span>

namespace Filbertmount {

/** How old the stated pace of an upstream may be before it is asked for. */
struct PacePollingOptions {
    /** Least number of upstreams with a free slot that are expected to be the fastest: they get the next requests. */
    std::size_t minCandidates = 3;
    /** At most so many; more would cost more than they help. */
    std::size_t maxCandidates = 48;
    /** As many candidates as this multiple of the grants made within the age of a candidate. */
    double candidatesPerGrant = 1.5;
    Duration candidateMaxAge = std::chrono::milliseconds(20);
    Duration otherMaxAge = std::chrono::milliseconds(150);
    /** Statements that are asked for in a second: so many at least, and more with the grants. */
    double minPollsPerSecond = 180;
    /** Each statement crosses zones, which costs about a hundredth of a request. */
    double pollsPerGrant = 1.5;
};

struct ServiceRouterOptions {
    UpstreamTableOptions table;
    SlotDispatcherOptions dispatcher;
    SlotClientOptions client;
    /** Time without requests after which an instance that is no longer the dispatcher stops acting as one. */
    Duration dispatcherIdleTimeout = std::chrono::seconds(2);
};

/** What follows from one input: messages to other members and decisions on own requests. */
struct ServiceRouterOutput {
    SlotOutbox messages;
    SlotDecisions decisions;

    void clear();
};

/**
 * All routing decisions of one service in one entry instance: upstream table, client and, where due, dispatcher.
 *
 * Sans-I/O and not thread-safe. Messages between client and dispatcher of the same instance do not leave it.
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

    /** Sets the dispatcher and the live members, the instance itself included. */
    void setDispatcher(std::optional<MemberIndex> dispatcher,
                       std::span<const MemberIndex> members,
                       Instant now,
                       ServiceRouterOutput &output);
    void removeMember(MemberIndex member, Instant now, ServiceRouterOutput &output);

    void request(SlotRequest request, Instant now, ServiceRouterOutput &output);
    void release(const SlotPlacement &placement, const AttemptReport &report, Instant now, ServiceRouterOutput &output);
    void handle(MemberIndex from, const SlotMessage &message, Instant now, ServiceRouterOutput &output);
    /** A grant of an upstream that is not in the table. */
    void handleUnknownUpstream(MemberIndex from, const SlotGrant &grant, Instant now, ServiceRouterOutput &output);
    /** Usable upstreams whose pace should be asked for, those first that are likely to get the next requests. */
    [[nodiscard]] std::vector<UpstreamIndex> upstreamsToPoll(const PacePollingOptions &polling, Instant now);
    /** Takes into account how fast an upstream says that it works. */
    void recordPace(UpstreamIndex index, double pace, Instant now, ServiceRouterOutput &output);
    /** Call every millisecond or few. */
    void tick(Instant now, ServiceRouterOutput &output);

    [[nodiscard]] const UpstreamTable &table() const;
    [[nodiscard]] const SlotClient &client() const;
    [[nodiscard]] const SlotDispatcher &dispatcher() const;

private:
    void deliver(MemberIndex from, const SlotMessage &message, Instant now, SlotDecisions &decisions);
    /** Upstreams that are likely to be granted before their pace is asked for again. */
    [[nodiscard]] std::size_t candidateCount(const PacePollingOptions &polling) const;
    void updateGrantRate(Instant now);
    void addPollTokens(const PacePollingOptions &polling, Instant now);
    /** Delivers messages of the instance to itself and appends the others to @p output. */
    void flush(Instant now, ServiceRouterOutput &output);

    ServiceRouterOptions m_options;
    UpstreamTable m_table;
    SlotClient m_client;
    SlotDispatcher m_dispatcher;
    SlotOutbox m_outbox;
    Instant m_dispatcherLastUsed{};
    /** Grants per second of this instance's dispatcher, smoothed. */
    double m_grantRate = 0;
    /** Statements of pace that may be asked for now. */
    double m_pollTokens = 0;
    Instant m_pollTokensAddedAt{};
    std::uint64_t m_grantsCounted = 0;
    Instant m_grantsCountedAt{};
};

} // namespace Filbertmount
