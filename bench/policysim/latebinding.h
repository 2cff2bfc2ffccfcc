#pragma once

#include "fabric.h"

#include "peer.pb.h"
#include "routing/slotwire.h"

#include <filbertmount/routing/servicerouter.h>
#include <filbertmount/types/rendezvoushash.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Filbertmount::PolicySim {

/** The policy that is in force: the ServiceRouter of each entry instance, connected by a network with delays. */
class LateBinding
{
public:
    static constexpr const char *Name = "late_binding";
    static constexpr bool Hedges = true;

    explicit LateBinding(Fabric &fabric)
        : m_fabric(fabric)
        , m_service(fabric.trace.profile.name)
    {
        for (int instance = 0; instance < EntryInstances; ++instance) {
            m_ids.emplace_back("entry-" + std::to_string(instance));
            m_routers.push_back(std::make_unique<ServiceRouter>(options(instance)));
        }
        listUpstreams();
        m_order = rendezvousOrder(m_service.value(), m_ids, 2);
        m_fabric.faultyInstance = position(m_order[0]);
        assignDispatchers();
        for (int instance = 0; instance < EntryInstances; ++instance) {
            tick(instance);
        }
        planFault();
    }

    void place(const AttemptQuery &query)
    {
        ServiceRouterOutput output;
        router(query.instance)
            .request({.request = query.attempt,
                      .priority = query.priority,
                      .timeLeft = Duration(query.deadline - m_fabric.loop.now()),
                      .excluded = query.excluded,
                      .isImmediate = query.isHedge},
                     now(),
                     output);
        process(query.instance, output);
    }

    void ended(const AttemptEnd &end)
    {
        ServiceRouterOutput output;
        router(end.instance)
            .release({.request = end.attempt, .upstream = end.upstream, .grant = end.grant}, end.report, now(), output);
        process(end.instance, output);
    }

    void listChanged(int instance, UpstreamIndex upstream, UpstreamState state)
    {
        ServiceRouterOutput output;
        if (state == UpstreamState::Live) {
            auto &listed = m_listed[static_cast<std::size_t>(instance)];
            listed[upstream].incarnation = Incarnation(listed[upstream].incarnation.value() + 1);
            router(instance).updateUpstreams(listed, now(), output);
        } else {
            router(instance).setUpstreamState(upstream, state, now(), output);
        }
        process(instance, output);
    }

    [[nodiscard]] const ServiceRouter &routerOf(int instance) const
    {
        return *m_routers[static_cast<std::size_t>(instance)];
    }

private:
    static constexpr Ticks TickInterval = 2'000'000;
    static constexpr Ticks DeathDetection = 1'600'000'000; // Two missed pings and the suspicion time of the design.
    static constexpr std::size_t EnvelopeBytes = 40; // Cluster, sender, sequence number and framing.

    ServiceRouterOptions options(int instance) const
    {
        const ServiceRouting &routing = m_fabric.trace.profile.routing;
        ServiceRouterOptions result;
        result.table.coldStart = routing.coldStart;
        result.dispatcher.queue = static_cast<std::size_t>(routing.limits.queue);
        result.client.zone = AvailabilityZone("zone-" + std::to_string(m_fabric.zoneOfInstance(instance)));
        result.client.seed = static_cast<std::uint64_t>(instance) + 1;
        return result;
    }

    void listUpstreams()
    {
        std::vector<RoutedUpstream> upstreams;
        for (UpstreamIndex index = 0; index < m_fabric.upstreams.size(); ++index) {
            upstreams.push_back({.id = UpstreamId("upstream-" + std::to_string(index)),
                                 .address = {},
                                 .zone = AvailabilityZone("zone-" + std::to_string(m_fabric.zoneOfUpstream(index))),
                                 .slots = m_fabric.trace.profile.slots});
        }
        m_listed.assign(EntryInstances, upstreams);
        for (const auto &router : m_routers) {
            ServiceRouterOutput output;
            router->updateUpstreams(upstreams, now(), output);
        }
    }

    int position(const InstanceId &id) const
    {
        return static_cast<int>(std::find(m_ids.begin(), m_ids.end(), id) - m_ids.begin());
    }

    /** Every router counts itself as member 0 and the others from 1. */
    static MemberIndex toMember(int self, int other)
    {
        if (other == self) {
            return SelfMember;
        }
        return static_cast<MemberIndex>(other < self ? other + 1 : other);
    }

    static int fromMember(int self, MemberIndex member)
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
            const bool isMistaken = m_fabric.fault.kind == InstanceFault::Kind::Disagreement && instance % 2 == 0
                && m_fabric.fault.isActive(m_fabric.loop.now());
            const bool isDead = m_isDead && instance == m_fabric.faultyInstance;
            if (isDead) {
                continue;
            }
            const InstanceId &chosen = m_isDead || isMistaken ? m_order[1] : m_order[0];
            std::vector<MemberIndex> members;
            for (int other = 0; other < EntryInstances; ++other) {
                if (!m_isDead || other != m_fabric.faultyInstance) {
                    members.push_back(toMember(instance, other));
                }
            }
            ServiceRouterOutput output;
            if (m_isDead) {
                router(instance).removeMember(toMember(instance, m_fabric.faultyInstance), now(), output);
            }
            router(instance).setDispatcher(toMember(instance, position(chosen)), members, now(), output);
            process(instance, output);
        }
    }

    void planFault()
    {
        using Kind = InstanceFault::Kind;
        if (m_fabric.fault.kind == Kind::Disagreement) {
            for (const Ticks at : {m_fabric.fault.from, m_fabric.fault.to}) {
                m_fabric.loop.at(at, [this] {
                    assignDispatchers();
                });
            }
        }
        if (m_fabric.fault.kind == Kind::Death) {
            m_fabric.loop.at(m_fabric.fault.from + DeathDetection, [this] {
                m_isDead = true;
                assignDispatchers();
            });
        }
    }

    void tick(int instance)
    {
        m_fabric.loop.after(TickInterval, [this, instance] {
            if (!isStopped(instance)) {
                ServiceRouterOutput output;
                router(instance).tick(now(), output);
                process(instance, output);
            }
            tick(instance);
        });
    }

    [[nodiscard]] bool isStopped(int instance) const
    {
        using Kind = InstanceFault::Kind;
        const bool stops = m_fabric.fault.kind == Kind::Death || m_fabric.fault.kind == Kind::Freeze;
        return stops && instance == m_fabric.faultyInstance && m_fabric.fault.isActive(m_fabric.loop.now());
    }

    [[nodiscard]] bool isCut(int from, int to) const
    {
        const bool touchesDispatcher = from == m_fabric.faultyInstance || to == m_fabric.faultyInstance;
        const bool isOnOtherSide = (from == m_fabric.faultyInstance ? to : from) % 2 == 0;
        return m_fabric.fault.kind == InstanceFault::Kind::CutOff && m_fabric.fault.isActive(m_fabric.loop.now())
            && touchesDispatcher && isOnOtherSide && from != to;
    }

    void process(int instance, ServiceRouterOutput &output)
    {
        for (AddressedSlotMessage &addressed : output.messages) {
            send(instance, fromMember(instance, addressed.peer), std::move(addressed.message));
        }
        for (const SlotPlacement &placement : output.decisions.placements) {
            m_fabric.ownChoices += placement.grant == NoGrant ? 1 : 0;
            m_fabric.dispatch(static_cast<AttemptId>(placement.request), placement.upstream, placement.grant);
        }
        for (const SlotRefusal &refusal : output.decisions.refusals) {
            m_fabric.refuse(static_cast<AttemptId>(refusal.request));
        }
    }

    void send(int from, int to, SlotMessage message)
    {
        m_fabric.costs.bytes += EnvelopeBytes + toWire(message, m_service, router(from).table()).ByteSizeLong();
        if (isCut(from, to) || isStopped(from)) {
            return;
        }
        m_fabric.loop.after(m_fabric.toInstance(from, to), [this, from, to, message = std::move(message)]() mutable {
            receive(from, to, std::move(message));
        });
    }

    void receive(int from, int to, SlotMessage message)
    {
        if (isStopped(to)) {
            // A frozen process finds its messages when it wakes; a dead one never does.
            if (m_fabric.fault.kind == InstanceFault::Kind::Freeze) {
                m_fabric.loop.at(m_fabric.fault.to, [this, from, to, message = std::move(message)]() mutable {
                    receive(from, to, std::move(message));
                });
            }
            return;
        }
        ServiceRouterOutput output;
        router(to).handle(toMember(to, from), message, now(), output);
        process(to, output);
    }

    ServiceRouter &router(int instance)
    {
        return *m_routers[static_cast<std::size_t>(instance)];
    }

    [[nodiscard]] Instant now() const
    {
        // Instants of routers start above zero, as those of processes do.
        return toInstant(m_fabric.loop.now() + 1'000'000'000);
    }

    Fabric &m_fabric;
    ServiceName m_service;
    std::vector<InstanceId> m_ids;
    std::vector<InstanceId> m_order;
    std::vector<std::unique_ptr<ServiceRouter>> m_routers;
    std::vector<std::vector<RoutedUpstream>> m_listed;
    bool m_isDead = false;
};

} // namespace Filbertmount::PolicySim
