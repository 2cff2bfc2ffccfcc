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
    Ticks deadline = 0;
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

/** A disturbance of the entry instances. Times are those at which it starts and ends. */
struct InstanceFault {
    enum class Kind {
        None,
        /** Half of the instances take another one for the dispatcher. */
        Disagreement,
        /** The dispatcher's process ends. */
        Death,
        /** The dispatcher stops for a while and goes on afterwards. */
        Freeze,
        /** Messages between the dispatcher and half of the instances are lost, in both directions. */
        CutOff,
    };

    Kind kind = Kind::None;
    Ticks from = 0;
    Ticks to = 0;

    [[nodiscard]] bool isActive(Ticks time) const
    {
        return kind != Kind::None && time >= from && time < to;
    }
};

/** Everything around a policy: upstreams, network delays, costs. */
class Fabric
{
public:
    static constexpr Ticks ProbeTime = 5'000'000;
    static constexpr Ticks ConnectTime = 1'000'000;
    static constexpr Ticks OneWayOwnZone = 50'000;
    static constexpr Ticks OneWayOtherZone = 300'000;
    /** Upstreams show the load that they had this long ago. */
    static constexpr Ticks ReportLag = 20'000'000;
    /** This upstream reports that it is idle, whatever it does. */
    static constexpr UpstreamIndex LyingUpstream = 0;

    Fabric(const Trace &givenTrace, InstanceFault givenFault, const FakeUpstream::Ended &ended)
        : trace(givenTrace)
        , fault(givenFault)
    {
        for (const Trajectory &trajectory : trace.upstreams) {
            upstreams.push_back(std::make_unique<FakeUpstream>(loop, trajectory, trace.profile.slots, ended));
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

    [[nodiscard]] Ticks toUpstream(int instance, UpstreamIndex upstream) const
    {
        return zoneOfInstance(instance) == zoneOfUpstream(upstream) ? OneWayOwnZone : OneWayOtherZone;
    }

    [[nodiscard]] Ticks toInstance(int from, int to) const
    {
        return zoneOfInstance(from) == zoneOfInstance(to) ? OneWayOwnZone : OneWayOtherZone;
    }

    /** The load that an upstream reports: late, and for one of them wrong. */
    [[nodiscard]] int reportedLoad(UpstreamIndex upstream) const
    {
        return upstream == LyingUpstream ? 0 : upstreams[upstream]->inFlightBefore(ReportLag);
    }

    const Trace &trace;
    const InstanceFault fault;
    EventLoop loop;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    Costs costs;
    /** The instance that faults hit; set by policies that have a dispatcher. */
    int faultyInstance = -1;
    std::uint64_t ownChoices = 0;

    /** Sends an attempt to an upstream; set by the simulation, called by policies. */
    std::function<void(AttemptId, UpstreamIndex, std::uint64_t grant)> dispatch;
    /** Gives an attempt up; set by the simulation, called by policies. */
    std::function<void(AttemptId)> refuse;
};

/** A routing policy: is asked for an upstream, answers through the fabric, and hears how each attempt ended. */
template<class Policy>
concept RoutingPolicy = requires(Policy policy, const AttemptQuery &query, const AttemptEnd &end, UpstreamState state)
{
    Policy::Name;
    // Whether repeatable requests are hedged.
    Policy::Hedges;
    policy.place(query);
    policy.ended(end);
    // The platform's instance list shows a new state to one instance.
    policy.listChanged(0, UpstreamIndex{}, state);
};

} // namespace Filbertmount::PolicySim
