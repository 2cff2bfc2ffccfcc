#pragma once

#include <filbertmount/routing/servicerouter.h>

#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** A router that is its own dispatcher and has half of all slots occupied, for measuring single decisions. */
class BusyRouter
{
public:
    explicit BusyRouter(int upstreams, std::optional<ZoneExitOptions> zoneExit = std::nullopt)
        : m_router({.dispatcher = {.zoneExit = zoneExit}, .client = {.zone = AvailabilityZone("zone-0")}})
    {
        std::vector<RoutedUpstream> list;
        list.reserve(static_cast<std::size_t>(upstreams));
        for (int index = 0; index < upstreams; ++index) {
            list.push_back({.id = UpstreamId("upstream-" + std::to_string(index)),
                            .address = {},
                            .zone = AvailabilityZone("zone-" + std::to_string(index % Zones)),
                            .slots = 2});
        }
        const MemberIndex self = SelfMember;
        m_router.updateUpstreams(list, m_now, m_output);
        m_router.setDispatcher(self, {&self, 1}, m_now, m_output);
        for (int request = 0; request < upstreams; ++request) {
            requestSlot();
        }
        m_output.clear();
        for (int decision = 0; decision < WarmUpDecisions; ++decision) {
            decide();
        }
    }

    /** Grants one request and releases its slot. */
    void decide()
    {
        m_now += DecisionInterval;
        requestSlot();
        const SlotPlacement placement = m_output.decisions.placements.at(0);
        // Service times between 5 and 34 ms, so that the ranking of the upstreams keeps changing.
        const Duration serviceTime = std::chrono::milliseconds(5 + m_lastRequest * 7 % 30);
        m_router.release(placement, {.outcome = AttemptOutcome::Success, .serviceTime = serviceTime}, m_now, m_output);
        m_output.clear();
    }

    void tick()
    {
        m_now += std::chrono::milliseconds(100);
        m_router.tick(m_now, m_output);
        m_output.clear();
    }

private:
    static constexpr int Zones = 4;
    static constexpr Duration DecisionInterval = std::chrono::microseconds(50);
    /** Number of decisions after which all containers have reached their final size. */
    static constexpr int WarmUpDecisions = 20'000;

    void requestSlot()
    {
        m_router.request({.request = ++m_lastRequest, .timeLeft = std::chrono::seconds(1)}, m_now, m_output);
    }

    ServiceRouter m_router;
    ServiceRouterOutput m_output;
    Instant m_now{std::chrono::seconds(1)};
    std::uint64_t m_lastRequest = 0;
};

} // namespace Filbertmount
