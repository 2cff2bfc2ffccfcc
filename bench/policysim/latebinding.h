#pragma once

#include "environment.h"

#include "peer.pb.h"
#include "routing/slotwire.h"

#include <filbertmount/routing/servicerouter.h>
#include <filbertmount/types/rendezvoushash.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount::PolicySim {

/** The policy in force: one ServiceRouter per entry instance, connected by a network with delays. */
class LateBinding
{
public:
    static constexpr const char *Name = "late_binding";
    static constexpr bool Hedges = true;

    explicit LateBinding(Environment &environment)
        : m_environment(environment)
        , m_service(environment.trace.profile.name)
    {
        for (int instance = 0; instance < EntryInstances; ++instance) {
            m_ids.emplace_back("entry-" + std::to_string(instance));
            m_routers.push_back(std::make_unique<ServiceRouter>(options(instance)));
        }
        initializeUpstreams();
        m_dispatcherOrder = rendezvousOrder(m_service.value(), m_ids, 2);
        m_environment.faultyInstance = indexOf(m_dispatcherOrder[0]);
        assignDispatchers();
        for (int instance = 0; instance < EntryInstances; ++instance) {
            scheduleTick(instance);
        }
        scheduleFault();
    }

    void place(const AttemptQuery &query)
    {
        ServiceRouterOutput output;
        router(query.instance)
            .request({.request = query.attempt,
                      .rank = static_cast<std::uint8_t>(query.priority),
                      .timeLeft = Duration(query.deadline - m_environment.loop.now()),
                      .excluded = query.excluded,
                      .isImmediate = query.isHedge},
                     now(),
                     output);
        applyOutput(query.instance, output);
    }

    void recordEnd(const AttemptEnd &end)
    {
        ServiceRouterOutput output;
        router(end.instance)
            .release({.request = end.attempt, .upstream = end.upstream, .grant = end.grant}, end.report, now(), output);
        applyOutput(end.instance, output);
    }

    void updateListedState(int instance, UpstreamIndex upstream, UpstreamState state)
    {
        ServiceRouterOutput output;
        if (state == UpstreamState::Live) {
            auto &upstreams = m_upstreamLists[static_cast<std::size_t>(instance)];
            upstreams[upstream].incarnation = Incarnation(upstreams[upstream].incarnation.value() + 1);
            router(instance).updateUpstreams(upstreams, now(), output);
        } else {
            router(instance).setUpstreamState(upstream, state, now(), output);
        }
        applyOutput(instance, output);
    }

    [[nodiscard]] const ServiceRouter &routerOf(int instance) const
    {
        return *m_routers[static_cast<std::size_t>(instance)];
    }

private:
    static constexpr Nanoseconds TickInterval = 2'000'000;
    static constexpr Nanoseconds CrashDetectionTime = 1'600'000'000; // Two missed pings and the suspicion timeout.
    static constexpr std::size_t EnvelopeBytes = 40; // Cluster, sender, sequence number and framing.

    ServiceRouterOptions options(int instance) const
    {
        const ServiceRouting &routing = m_environment.trace.profile.routing;
        ServiceRouterOptions result;
        result.table.coldStart = routing.coldStart;
        result.dispatcher.queue = static_cast<std::size_t>(routing.limits.queue);
        result.client.zone = AvailabilityZone("zone-" + std::to_string(m_environment.zoneOfInstance(instance)));
        result.client.seed = static_cast<std::uint64_t>(instance) + 1;
        return result;
    }

    void initializeUpstreams()
    {
        std::vector<RoutedUpstream> upstreams;
        for (UpstreamIndex index = 0; index < m_environment.upstreams.size(); ++index) {
            upstreams.push_back({.id = UpstreamId("upstream-" + std::to_string(index)),
                                 .address = {},
                                 .zone = AvailabilityZone("zone-" + std::to_string(m_environment.zoneOfUpstream(index))),
                                 .slots = m_environment.trace.profile.slots});
        }
        m_upstreamLists.assign(EntryInstances, upstreams);
        for (const auto &router : m_routers) {
            ServiceRouterOutput output;
            router->updateUpstreams(upstreams, now(), output);
        }
    }

    int indexOf(const InstanceId &id) const
    {
        return static_cast<int>(std::find(m_ids.begin(), m_ids.end(), id) - m_ids.begin());
    }

    /** Converts an instance to its member index in the router of @p self: 0 for itself, from 1 for the others. */
    static MemberIndex toMemberIndex(int self, int other)
    {
        if (other == self) {
            return SelfMember;
        }
        return static_cast<MemberIndex>(other < self ? other + 1 : other);
    }

    static int toInstanceIndex(int self, MemberIndex member)
    {
        const int other = static_cast<int>(member);
        if (member == SelfMember) {
            return self;
        }
        return other <= self ? other - 1 : other;
    }

    void assignDispatchers()
    {
        for (int instance = 0; instance < EntryInstances; ++instance) {
            const bool disagrees = m_environment.fault.kind == InstanceFault::Kind::Disagreement && instance % 2 == 0
                && m_environment.fault.isActive(m_environment.loop.now());
            const bool isCrashed = m_isCrashDetected && instance == m_environment.faultyInstance;
            if (isCrashed) {
                continue;
            }
            const InstanceId &chosen = m_isCrashDetected || disagrees ? m_dispatcherOrder[1] : m_dispatcherOrder[0];
            std::vector<MemberIndex> members;
            for (int other = 0; other < EntryInstances; ++other) {
                if (!m_isCrashDetected || other != m_environment.faultyInstance) {
                    members.push_back(toMemberIndex(instance, other));
                }
            }
            ServiceRouterOutput output;
            if (m_isCrashDetected) {
                router(instance).removeMember(toMemberIndex(instance, m_environment.faultyInstance), now(), output);
            }
            router(instance).setDispatcher(toMemberIndex(instance, indexOf(chosen)), members, now(), output);
            applyOutput(instance, output);
        }
    }

    void scheduleFault()
    {
        using Kind = InstanceFault::Kind;
        if (m_environment.fault.kind == Kind::Disagreement) {
            for (const Nanoseconds at : {m_environment.fault.from, m_environment.fault.to}) {
                m_environment.loop.at(at, [this] {
                    assignDispatchers();
                });
            }
        }
        if (m_environment.fault.kind == Kind::Crash) {
            m_environment.loop.at(m_environment.fault.from + CrashDetectionTime, [this] {
                m_isCrashDetected = true;
                assignDispatchers();
            });
        }
    }

    void scheduleTick(int instance)
    {
        m_environment.loop.after(TickInterval, [this, instance] {
            if (!isStopped(instance)) {
                ServiceRouterOutput output;
                router(instance).tick(now(), output);
                applyOutput(instance, output);
            }
            scheduleTick(instance);
        });
    }

    [[nodiscard]] bool isStopped(int instance) const
    {
        using Kind = InstanceFault::Kind;
        const bool stops = m_environment.fault.kind == Kind::Crash || m_environment.fault.kind == Kind::Freeze;
        return stops && instance == m_environment.faultyInstance && m_environment.fault.isActive(m_environment.loop.now());
    }

    [[nodiscard]] bool isPartitioned(int from, int to) const
    {
        const bool involvesDispatcher = from == m_environment.faultyInstance || to == m_environment.faultyInstance;
        const bool isOnOtherSide = (from == m_environment.faultyInstance ? to : from) % 2 == 0;
        return m_environment.fault.kind == InstanceFault::Kind::Partition
            && m_environment.fault.isActive(m_environment.loop.now()) && involvesDispatcher && isOnOtherSide && from != to;
    }

    void applyOutput(int instance, ServiceRouterOutput &output)
    {
        for (AddressedSlotMessage &addressed : output.messages) {
            send(instance, toInstanceIndex(instance, addressed.peer), std::move(addressed.message));
        }
        for (const SlotPlacement &placement : output.decisions.placements) {
            m_environment.ungrantedPlacements += placement.grant == NoGrant ? 1 : 0;
            m_environment.dispatch(static_cast<AttemptId>(placement.request), placement.upstream, placement.grant);
        }
        for (const SlotRefusal &refusal : output.decisions.refusals) {
            m_environment.refuse(static_cast<AttemptId>(refusal.request));
        }
    }

    void send(int from, int to, SlotMessage message)
    {
        m_environment.costs.bytes += EnvelopeBytes + toWire(message, m_service, router(from).table()).ByteSizeLong();
        if (isPartitioned(from, to) || isStopped(from)) {
            return;
        }
        m_environment.loop.after(m_environment.delayToInstance(from, to),
                                 [this, from, to, message = std::move(message)]() mutable {
                                     receive(from, to, std::move(message));
                                 });
    }

    void receive(int from, int to, SlotMessage message)
    {
        if (isStopped(to)) {
            // A frozen process receives its messages when it resumes; a crashed one never does.
            if (m_environment.fault.kind == InstanceFault::Kind::Freeze) {
                m_environment.loop.at(m_environment.fault.to, [this, from, to, message = std::move(message)]() mutable {
                    receive(from, to, std::move(message));
                });
            }
            return;
        }
        ServiceRouterOutput output;
        router(to).handle(toMemberIndex(to, from), message, now(), output);
        applyOutput(to, output);
    }

    ServiceRouter &router(int instance)
    {
        return *m_routers[static_cast<std::size_t>(instance)];
    }

    [[nodiscard]] Instant now() const
    {
        // Routers see a clock that starts above zero, like the clock of a process.
        return toInstant(m_environment.loop.now() + 1'000'000'000);
    }

    Environment &m_environment;
    ServiceName m_service;
    std::vector<InstanceId> m_ids;
    std::vector<InstanceId> m_dispatcherOrder;
    std::vector<std::unique_ptr<ServiceRouter>> m_routers;
    std::vector<std::vector<RoutedUpstream>> m_upstreamLists;
    bool m_isCrashDetected = false;
};

} // namespace Filbertmount::PolicySim
