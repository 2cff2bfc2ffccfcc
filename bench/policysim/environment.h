#pragma once

#include "eventloop.h"
#include "fakeupstream.h"
#include "result.h"
#include "trace.h"

#include <absl/container/inlined_vector.h>

#include <functional>
#include <memory>
#include <vector>

namespace Filbertmount::PolicySim {

using AttemptId = FakeUpstream::AttemptId;

/** One attempt for which a policy is asked for an upstream. */
struct AttemptQuery {
    AttemptId attempt = 0;
    int instance = 0;
    Priority priority = Priority::Interactive;
    Nanoseconds deadline = 0;
    bool isHedge = false;
    absl::InlinedVector<UpstreamIndex, 2> excluded;
};

/** How an attempt ended, as its entry instance sees it. */
struct AttemptEnd {
    AttemptId attempt = 0;
    int instance = 0;
    UpstreamIndex upstream = 0;
    std::uint64_t grant = 0;
    AttemptReport report;
};

/** A fault of the entry instances that lasts from one time to another. */
struct InstanceFault {
    enum class Kind {
        None,
        /** Half of the instances regard another instance as the dispatcher. */
        Disagreement,
        /** The process of the dispatcher ends. */
        Crash,
        /** The process of the dispatcher is suspended and later resumed. */
        Freeze,
        /** Messages between the dispatcher and half of the instances are lost, in both directions. */
        Partition,
    };

    Kind kind = Kind::None;
    Nanoseconds from = 0;
    Nanoseconds to = 0;

    [[nodiscard]] bool isActive(Nanoseconds time) const
    {
        return kind != Kind::None && time >= from && time < to;
    }
};

/** What a policy runs in: event loop, upstreams, network delays and cost counters. */
class Environment
{
public:
    static constexpr Nanoseconds ProbeTime = 5'000'000;
    static constexpr Nanoseconds ConnectTime = 1'000'000;
    static constexpr Nanoseconds OneWayDelaySameZone = 50'000;
    static constexpr Nanoseconds OneWayDelayOtherZone = 300'000;
    /** Age of the load that upstreams report. */
    static constexpr Nanoseconds ReportLag = 20'000'000;
    /** An upstream that always reports that it is idle. */
    static constexpr UpstreamIndex MisreportingUpstream = 0;

    Environment(const Trace &givenTrace, InstanceFault givenFault, const FakeUpstream::EndedCallback &onEnded)
        : trace(givenTrace)
        , fault(givenFault)
    {
        for (const UpstreamSchedule &schedule : trace.upstreams) {
            upstreams.push_back(std::make_unique<FakeUpstream>(loop, schedule, trace.profile.slots, onEnded));
        }
    }

    [[nodiscard]] int zoneOfInstance(int instance) const
    {
        return instance % trace.profile.zones;
    }

    [[nodiscard]] int zoneOfUpstream(UpstreamIndex upstream) const
    {
        return static_cast<int>(upstream) % trace.profile.zones;
    }

    [[nodiscard]] Nanoseconds delayToUpstream(int instance, UpstreamIndex upstream) const
    {
        return zoneOfInstance(instance) == zoneOfUpstream(upstream) ? OneWayDelaySameZone : OneWayDelayOtherZone;
    }

    [[nodiscard]] Nanoseconds delayToInstance(int from, int to) const
    {
        return zoneOfInstance(from) == zoneOfInstance(to) ? OneWayDelaySameZone : OneWayDelayOtherZone;
    }

    /** Returns the load that @p upstream reports: delayed by ReportLag, or 0 for MisreportingUpstream. */
    [[nodiscard]] int reportedLoad(UpstreamIndex upstream) const
    {
        return upstream == MisreportingUpstream ? 0 : upstreams[upstream]->pastInFlight(ReportLag);
    }

    const Trace &trace;
    const InstanceFault fault;
    EventLoop loop;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    Costs costs;
    /** The instance that the fault affects; set by policies that have a dispatcher. */
    int faultyInstance = -1;
    /** Placements that an entry instance made without a grant of the dispatcher. */
    std::uint64_t ungrantedPlacements = 0;

    /** Sends an attempt to an upstream; set by the simulation, called by policies. */
    std::function<void(AttemptId, UpstreamIndex, std::uint64_t grant)> dispatch;
    /** Refuses an attempt for which there is no upstream; set by the simulation, called by policies. */
    std::function<void(AttemptId)> refuse;
};

/**
 * A routing policy. It receives a query for each attempt, responds with Environment::dispatch or Environment::refuse, and
 * is told how each dispatched attempt ended.
 */
template<class Policy>
concept RoutingPolicy = requires(Policy policy, const AttemptQuery &query, const AttemptEnd &end, UpstreamState state)
{
    Policy::Name;
    // Whether repeatable requests are hedged.
    Policy::Hedges;
    policy.place(query);
    policy.recordEnd(end);
    // One instance sees a new state of an upstream in the instance list of the platform.
    policy.updateListedState(0, UpstreamIndex{}, state);
};

} // namespace Filbertmount::PolicySim
