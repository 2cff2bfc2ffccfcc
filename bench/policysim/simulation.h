#pragma once

#include "environment.h"

#include <filbertmount/routing/hedgepolicy.h>
#include <filbertmount/routing/retrybudget.h>

#include <string>

namespace Filbertmount::PolicySim {

/** Runs one trace through one policy. */
template<RoutingPolicy Policy>
class Simulation
{
public:
    explicit Simulation(const Trace &trace, InstanceFault fault = {})
        : m_trace(trace)
        , m_environment(trace,
                        fault,
                        [this](AttemptId attempt, AttemptOutcome outcome) {
                            finishAtUpstream(attempt, outcome);
                        })
        , m_instances(EntryInstances, Instance(trace.profile))
        , m_requests(trace.arrivals.size())
        , m_idleConnections(static_cast<std::size_t>(EntryInstances * trace.profile.upstreams))
    {
        m_environment.dispatch = [this](AttemptId attempt, UpstreamIndex upstream, std::uint64_t grant) {
            dispatch(attempt, upstream, grant);
        };
        m_environment.refuse = [this](AttemptId attempt) {
            handleRefusal(attempt);
        };
        m_policy = std::make_unique<Policy>(m_environment);
        scheduleListChanges();
        scheduleArrival(0);
        scheduleCrash();
    }

    RunResult run()
    {
        m_environment.loop.run(m_trace.length + 2 * m_trace.profile.deadline.count());
        RunResult result{.policy = Policy::Name,
                         .requests = m_trace.arrivals.size() - m_lost,
                         .missed = m_missed,
                         .goodput = std::move(m_goodput),
                         .unsafeRepeats = m_unsafeRepeats,
                         .ungrantedPlacements = m_environment.ungrantedPlacements,
                         .hedges = m_hedges,
                         .retries = m_retries};
        setQuantiles(result, m_latencies);
        const auto requests = static_cast<double>(m_trace.arrivals.size());
        const double slotTime = static_cast<double>(m_trace.length) * m_trace.profile.upstreams * m_trace.profile.slots;
        result.probesPerRequest = static_cast<double>(m_environment.costs.probes) / requests;
        result.bytesPerRequest = static_cast<double>(m_environment.costs.bytes) / requests;
        result.measuringShare = static_cast<double>(m_environment.costs.probeTime) / slotTime;
        result.budgetShare = result.measuringShare / (m_trace.profile.measuringPercent / 100);
        for (const auto &upstream : m_environment.upstreams) {
            result.started += upstream->started();
        }
        return result;
    }

    Policy &policy()
    {
        return *m_policy;
    }

    /** Returns the number of requests that ended with no result or with more than one. */
    [[nodiscard]] std::uint64_t requestsWithoutSingleResult() const
    {
        std::uint64_t wrong = 0;
        for (const Request &request : m_requests) {
            wrong += request.results == 1 ? 0 : 1;
        }
        return wrong;
    }

private:
    struct Instance {
        explicit Instance(const ServiceProfile &profile)
            : retries(profile.routing.retries.budgetPercent)
            , hedges(profile.routing.hedging.budgetPercent)
        {
        }

        RetryBudget retries;
        RetryBudget hedges;
        HedgePolicy hedgePolicy;
    };

    struct Request {
        int instance = 0;
        absl::InlinedVector<AttemptId, 3> attempts;
        int openAttempts = 0;
        int results = 0;
        int runs = 0;
        bool isDone = false;
        absl::InlinedVector<UpstreamIndex, 2> excluded;
    };

    struct Attempt {
        std::uint32_t request = 0;
        UpstreamIndex upstream = 0;
        std::uint64_t grant = 0;
        Nanoseconds sent = 0;
        bool isHedge = false;
        bool isSent = false;
        bool isOpen = true;
    };

    [[nodiscard]] Nanoseconds deadlineOf(std::uint32_t request) const
    {
        return m_trace.arrivals[request].at + m_trace.profile.deadline.count();
    }

    void scheduleListChanges()
    {
        // The instance list of the platform lags by a second and reaches the instances one after another.
        constexpr Nanoseconds listLag = 1'000'000'000;
        constexpr Nanoseconds listStep = 20'000'000;
        for (UpstreamIndex upstream = 0; upstream < m_trace.upstreams.size(); ++upstream) {
            for (const UpstreamSchedule::StateChange &change : m_trace.upstreams[upstream].stateChanges) {
                for (int instance = 0; instance < EntryInstances; ++instance) {
                    m_environment.loop.at(change.at + listLag + instance * listStep,
                                          [this, instance, upstream, state = change.state] {
                                              m_policy->updateListedState(instance, upstream, state);
                                          });
                }
            }
        }
    }

    void scheduleCrash()
    {
        if (m_environment.fault.kind == InstanceFault::Kind::Crash) {
            m_environment.loop.at(m_environment.fault.from, [this] {
                dropRequestsOf(m_environment.faultyInstance);
            });
        }
    }

    void scheduleArrival(std::uint32_t number)
    {
        if (number < m_requests.size()) {
            m_environment.loop.at(m_trace.arrivals[number].at, [this, number] {
                handleArrival(number);
            });
        }
    }

    [[nodiscard]] bool isStopped(int instance) const
    {
        using Kind = InstanceFault::Kind;
        const bool stops = m_environment.fault.kind == Kind::Crash || m_environment.fault.kind == Kind::Freeze;
        return stops && instance == m_environment.faultyInstance && m_environment.fault.isActive(m_environment.loop.now());
    }

    void handleArrival(std::uint32_t number)
    {
        scheduleArrival(number + 1);
        Request &request = m_requests[number];
        request.instance = m_trace.arrivals[number].instance;
        if (isStopped(request.instance)) {
            // The load balancer of the platform sends callers to another instance.
            request.instance = (request.instance + 1) % EntryInstances;
        }
        Instance &instance = m_instances[static_cast<std::size_t>(request.instance)];
        instance.retries.recordFirstAttempt(toInstant(m_environment.loop.now()));
        instance.hedges.recordFirstAttempt(toInstant(m_environment.loop.now()));
        m_environment.loop.at(deadlineOf(number), [this, number] {
            if (!m_requests[number].isDone) {
                failRequest(number);
            }
        });
        startAttempt(number, false);
    }

    void startAttempt(std::uint32_t number, bool isHedge)
    {
        Request &request = m_requests[number];
        const auto id = static_cast<AttemptId>(m_attempts.size());
        m_attempts.push_back({.request = number, .isHedge = isHedge});
        request.attempts.push_back(id);
        ++request.openAttempts;
        m_policy->place({.attempt = id,
                         .instance = request.instance,
                         .priority = m_trace.arrivals[number].priority,
                         .deadline = deadlineOf(number),
                         .isHedge = isHedge,
                         .excluded = request.excluded});
    }

    void dispatch(AttemptId id, UpstreamIndex upstream, std::uint64_t grant)
    {
        Attempt &attempt = m_attempts[id];
        Request &request = m_requests[attempt.request];
        attempt.upstream = upstream;
        attempt.grant = grant;
        attempt.sent = m_environment.loop.now();
        attempt.isSent = true;
        if (request.isDone) {
            closeAttempt(id, AttemptOutcome::Unused);
            return;
        }
        request.excluded.push_back(upstream);
        m_hedges += attempt.isHedge ? 1 : 0;
        const Nanoseconds delay = connectTime(attempt) + m_environment.delayToUpstream(request.instance, upstream);
        m_environment.loop.after(delay, [this, id] {
            arriveAtUpstream(id);
        });
        scheduleHedge(attempt.request);
    }

    Nanoseconds connectTime(const Attempt &attempt)
    {
        int &idle = idleConnections(attempt);
        // Non-repeatable requests use a new connection.
        if (!m_trace.arrivals[attempt.request].isRepeatable || idle == 0) {
            return Environment::ConnectTime;
        }
        --idle;
        return 0;
    }

    int &idleConnections(const Attempt &attempt)
    {
        const int instance = m_requests[attempt.request].instance;
        return m_idleConnections[static_cast<std::size_t>(instance * m_trace.profile.upstreams) + attempt.upstream];
    }

    void arriveAtUpstream(AttemptId id)
    {
        const Attempt &attempt = m_attempts[id];
        if (!attempt.isOpen) {
            return;
        }
        m_environment.upstreams[attempt.upstream]->arrive(
            id, m_trace.arrivals[attempt.request].demand, deadlineOf(attempt.request));
    }

    void finishAtUpstream(AttemptId id, AttemptOutcome outcome)
    {
        const Attempt &attempt = m_attempts[id];
        const int instance = m_requests[attempt.request].instance;
        if (outcome == AttemptOutcome::Success) {
            recordRun(attempt.request);
        }
        Nanoseconds respondedAt = m_environment.loop.now() + m_environment.delayToUpstream(instance, attempt.upstream);
        if (m_environment.fault.kind == InstanceFault::Kind::Freeze && isStopped(instance)) {
            respondedAt = std::max(respondedAt, m_environment.fault.to);
        }
        m_environment.loop.at(respondedAt, [this, id, outcome] {
            handleResponse(id, outcome);
        });
    }

    void recordRun(std::uint32_t number)
    {
        if (++m_requests[number].runs > 1 && !m_trace.arrivals[number].isRepeatable) {
            ++m_unsafeRepeats;
        }
    }

    void handleResponse(AttemptId id, AttemptOutcome outcome)
    {
        if (!m_attempts[id].isOpen) {
            return;
        }
        const Attempt attempt = m_attempts[id];
        const std::uint32_t number = attempt.request;
        Instance &instance = m_instances[static_cast<std::size_t>(m_requests[number].instance)];
        if (outcome == AttemptOutcome::Success) {
            instance.hedgePolicy.record(Duration(m_environment.loop.now() - attempt.sent));
            ++idleConnections(attempt);
        }
        closeAttempt(id, outcome);
        if (m_requests[number].isDone) {
            return;
        }
        if (outcome == AttemptOutcome::Success) {
            completeRequest(number);
            return;
        }
        const bool isNotRun = outcome != AttemptOutcome::TimedOut;
        if (isNotRun && !attempt.isHedge
            && static_cast<int>(m_requests[number].attempts.size()) < m_trace.profile.routing.retries.attempts
            && instance.retries.take()) {
            ++m_retries;
            this->startAttempt(number, false);
            return;
        }
        failIfNoAttemptOpen(number);
    }

    void scheduleHedge(std::uint32_t number)
    {
        if (!Policy::Hedges || !m_trace.arrivals[number].isRepeatable || m_requests[number].attempts.size() > 1) {
            return;
        }
        const Instance &instance = m_instances[static_cast<std::size_t>(m_requests[number].instance)];
        const std::optional<Duration> delay = instance.hedgePolicy.delay();
        if (!delay) {
            return;
        }
        m_environment.loop.after(delay->count(), [this, number] {
            Request &request = m_requests[number];
            Instance &own = m_instances[static_cast<std::size_t>(request.instance)];
            if (!request.isDone && request.attempts.size() == 1 && own.hedges.take()) {
                startAttempt(number, true);
            }
        });
    }

    void handleRefusal(AttemptId id)
    {
        Attempt &attempt = m_attempts[id];
        attempt.isOpen = false;
        --m_requests[attempt.request].openAttempts;
        if (attempt.isHedge) {
            m_instances[static_cast<std::size_t>(m_requests[attempt.request].instance)].hedges.refund();
        }
        if (!m_requests[attempt.request].isDone) {
            failIfNoAttemptOpen(attempt.request);
        }
    }

    void failIfNoAttemptOpen(std::uint32_t number)
    {
        if (m_requests[number].openAttempts == 0) {
            failRequest(number);
        }
    }

    void completeRequest(std::uint32_t number)
    {
        const Nanoseconds latency = m_environment.loop.now() - m_trace.arrivals[number].at;
        m_latencies.push_back(latency);
        const auto interval = static_cast<std::size_t>(m_environment.loop.now() / RunResult::GoodputInterval);
        m_goodput.resize(std::max(m_goodput.size(), interval + 1));
        ++m_goodput[interval];
        endRequest(number, AttemptOutcome::Cancelled);
    }

    void failRequest(std::uint32_t number)
    {
        m_latencies.push_back(m_trace.profile.deadline.count());
        ++m_missed;
        endRequest(number, AttemptOutcome::TimedOut);
    }

    /** Ends a request and cancels all of its attempts that still run. */
    void endRequest(std::uint32_t number, AttemptOutcome outcome)
    {
        m_requests[number].isDone = true;
        ++m_requests[number].results;
        for (const AttemptId id : m_requests[number].attempts) {
            if (m_attempts[id].isOpen && m_attempts[id].isSent) {
                cancelAttempt(id, outcome);
            }
        }
    }

    void cancelAttempt(AttemptId id, AttemptOutcome outcome)
    {
        const Attempt attempt = m_attempts[id];
        const int instance = m_requests[attempt.request].instance;
        closeAttempt(id, outcome);
        m_environment.loop.after(m_environment.delayToUpstream(instance, attempt.upstream),
                                 [this, id, upstream = attempt.upstream] {
                                     m_environment.upstreams[upstream]->cancel(id);
                                 });
    }

    void closeAttempt(AttemptId id, AttemptOutcome outcome)
    {
        Attempt &attempt = m_attempts[id];
        attempt.isOpen = false;
        --m_requests[attempt.request].openAttempts;
        m_policy->recordEnd({.attempt = id,
                             .instance = m_requests[attempt.request].instance,
                             .upstream = attempt.upstream,
                             .grant = attempt.grant,
                             .report = {.outcome = outcome, .serviceTime = Duration(m_environment.loop.now() - attempt.sent)}});
    }

    /** Ends all requests of @p instance when its process crashes: the connections to callers and upstreams are lost. */
    void dropRequestsOf(int instance)
    {
        for (AttemptId id = 0; id < m_attempts.size(); ++id) {
            Attempt &attempt = m_attempts[id];
            Request &request = m_requests[attempt.request];
            if (!attempt.isOpen || request.instance != instance) {
                continue;
            }
            attempt.isOpen = false;
            if (attempt.isSent) {
                m_environment.upstreams[attempt.upstream]->cancel(id);
            }
            if (!request.isDone) {
                request.isDone = true;
                ++request.results;
                ++m_lost;
            }
        }
    }

    const Trace &m_trace;
    Environment m_environment;
    std::unique_ptr<Policy> m_policy;
    std::vector<Instance> m_instances;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    /** Idle connections by instance and upstream. */
    std::vector<int> m_idleConnections;
    std::vector<Nanoseconds> m_latencies;
    std::vector<std::uint64_t> m_goodput;
    std::uint64_t m_missed = 0;
    /** Requests whose entry instance crashed. */
    std::uint64_t m_lost = 0;
    std::uint64_t m_unsafeRepeats = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
};

} // namespace Filbertmount::PolicySim
