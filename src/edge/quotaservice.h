#pragma once

#include "edge/fleet.h"
#include "edge/quotagate.h"

#include <filbertmount/accounts/quotaengine.h>
#include <filbertmount/edge/edgesettings.h>
#include <filbertmount/membership/knowninstances.h>

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace Filbertmount {

/** Enforces the quotas of client accounts together with the other instances of the fleet. Runs on the IoLoop. */
class QuotaService : public QuotaGate
{
public:
    /** @p fleet, @p known and @p metrics must outlive the service. */
    QuotaService(IoLoop &loop,
                 Fleet &fleet,
                 const KnownInstances &known,
                 Metrics &metrics,
                 const QuotaSettings &settings,
                 std::uint64_t seed);
    ~QuotaService() override;

    std::uint64_t acquire(const QuotaAsk &ask, QuotaHandler handler) override;
    void cancel(std::uint64_t waiter) override;
    void release(std::string_view account, const QuotaToken &token) override;

    /** Call every few milliseconds. */
    void tick(Instant now);
    /** Sets the version of the configuration in force. */
    void setVersion(std::uint64_t version);
    /** Call after a suspension of the process. */
    void onResume(Instant now);
    /** Hands the accounts of this instance to others, because it shuts down. Requests are still admitted. */
    void startDraining();
    /** Returns all unused tokens; call at the end of the process. */
    void returnTokens();
    /** Whether this instance leads the owners of quotas, or those of its part of a divided fleet. */
    [[nodiscard]] bool isLeading() const;

private:
    void onMessage(const InstanceId &from, const Wire::Body &body);
    /** Sends messages and calls the handlers of decided requests. */
    void apply(QuotaOutput &output);
    void flushSoon();
    void followMembers(Instant now);
    void report(Instant now);
    void reportKnown(Instant now);
    void count(QuotaOutcome outcome);

    IoLoop &m_loop;
    Fleet &m_fleet;
    const KnownInstances &m_known;
    Metrics &m_metrics;
    QuotaEngine m_engine;
    absl::flat_hash_map<std::uint64_t, QuotaHandler> m_handlers;
    std::uint64_t m_memberVersion = 0;
    std::size_t m_reportedKnown = 0;
    Instant m_membersAt{};
    Instant m_reportedAt{};
    std::uint64_t m_reportedEpoch = 0;
    bool m_wasLeading = false;
    bool m_isFlushScheduled = false;
    /** Shared with functions queued on the loop, which may outlive the service. */
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    prometheus::Counter &m_granted;
    prometheus::Counter &m_overQuota;
    prometheus::Counter &m_unavailable;
};

} // namespace Filbertmount
