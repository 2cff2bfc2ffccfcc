#pragma once

#include "fabric.h"

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
        , m_fabric(trace,
                   fault,
                   [this](AttemptId attempt, AttemptOutcome outcome) {
                       leaveUpstream(attempt, outcome);
                   })
        , m_instances(EntryInstances, Instance(trace.profile))
        , m_requests(trace.arrivals.size())
        , m_connections(static_cast<std::size_t>(EntryInstances * trace.profile.upstreams))
    {
        m_fabric.dispatch = [this](AttemptId attempt, UpstreamIndex upstream, std::uint64_t grant) {
            dispatch(attempt, upstream, grant);
        };
        m_fabric.refuse = [this](AttemptId attempt) {
            refuse(attempt);
        };
        m_policy = std::make_unique<Policy>(m_fabric);
        planListChanges();
        planArrival(0);
        planDeath();
    }

    RunResult run()
    {
        m_fabric.loop.run(m_trace.length + 2 * m_trace.profile.deadline.count());
        RunResult result{.policy = Policy::Name,
                         .requests = m_trace.arrivals.size() - m_lost,
                         .missed = m_missed,
                         .goodput = std::move(m_goodput),
                         .repeatedUnsafely = m_repeatedUnsafely,
                         .ownChoices = m_fabric.ownChoices,
                         .hedges = m_hedges,
                         .retries = m_retries};
        setQuantiles(result, m_latencies);
        const auto requests = static_cast<double>(m_trace.arrivals.size());
        const double slotTime = static_cast<double>(m_trace.length) * m_trace.profile.upstreams * m_trace.profile.slots;
        result.probesPerRequest = static_cast<double>(m_fabric.costs.probes) / requests;
        result.bytesPerRequest = static_cast<double>(m_fabric.costs.bytes) / requests;
        result.measuringShare = static_cast<double>(m_fabric.costs.measuring) / slotTime;
        result.budgetShare = result.measuringShare / (m_trace.profile.measuringPercent / 100);
        for (const auto &upstream : m_fabric.upstreams) {
            result.started += upstream->started();
        }
        return result;
    }

    Policy &policy()
    {
        return *m_policy;
    }

    /** Requests that ended with none or more than one result. */
    [[nodiscard]] std::uint64_t wrongEndings() const
    {
        std::uint64_t wrong = 0;
        for (const Request &request : m_requests) {
            wrong += request.endings == 1 ? 0 : 1;
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
        int open = 0;
        int endings = 0;
        int runs = 0;
        bool isDone = false;
        absl::InlinedVector<UpstreamIndex, 2> excluded;
    };

    struct Attempt {
        std::uint32_t request = 0;
        UpstreamIndex upstream = 0;
        std::uint64_t grant = 0;
        Ticks sent = 0;
        bool isHedge = false;
        bool isSent = false;
        bool isOpen = true;
    };

    [[nodiscard]] Ticks deadlineOf(std::uint32_t request) const
    {
        return m_trace.arrivals[request].at + m_trace.profile.deadline.count();
    }

    void planListChanges()
    {
        // The platform's list lags by a second and reaches the instances one after the other.
        constexpr Ticks listLag = 1'000'000'000;
        constexpr Ticks listStep = 20'000'000;
        for (UpstreamIndex upstream = 0; upstream < m_trace.upstreams.size(); ++upstream) {
            for (const Trajectory::Change &change : m_trace.upstreams[upstream].changes) {
                for (int instance = 0; instance < EntryInstances; ++instance) {
                    m_fabric.loop.at(change.at + listLag + instance * listStep, [this, instance, upstream, state = change.state] {
                        m_policy->listChanged(instance, upstream, state);
                    });
                }
            }
        }
    }

    void planDeath()
    {
        if (m_fabric.fault.kind == InstanceFault::Kind::Death) {
            m_fabric.loop.at(m_fabric.fault.from, [this] {
                loseRequests(m_fabric.faultyInstance);
            });
        }
    }

    void planArrival(std::uint32_t number)
    {
        if (number < m_requests.size()) {
            m_fabric.loop.at(m_trace.arrivals[number].at, [this, number] {
                arrive(number);
            });
        }
    }

    [[nodiscard]] bool isOut(int instance) const
    {
        using Kind = InstanceFault::Kind;
        const bool stops = m_fabric.fault.kind == Kind::Death || m_fabric.fault.kind == Kind::Freeze;
        return stops && instance == m_fabric.faultyInstance && m_fabric.fault.isActive(m_fabric.loop.now());
    }

    void arrive(std::uint32_t number)
    {
        planArrival(number + 1);
        Request &request = m_requests[number];
        request.instance = m_trace.arrivals[number].instance;
        if (isOut(request.instance)) {
            // The platform's balancer sends callers to another instance.
            request.instance = (request.instance + 1) % EntryInstances;
        }
        Instance &instance = m_instances[static_cast<std::size_t>(request.instance)];
        instance.retries.recordFirstAttempt(toInstant(m_fabric.loop.now()));
        instance.hedges.recordFirstAttempt(toInstant(m_fabric.loop.now()));
        m_fabric.loop.at(deadlineOf(number), [this, number] {
            if (!m_requests[number].isDone) {
                miss(number);
            }
        });
        attempt(number, false);
    }

    void attempt(std::uint32_t number, bool isHedge)
    {
        Request &request = m_requests[number];
        const auto id = static_cast<AttemptId>(m_attempts.size());
        m_attempts.push_back({.request = number, .isHedge = isHedge});
        request.attempts.push_back(id);
        ++request.open;
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
        attempt.sent = m_fabric.loop.now();
        attempt.isSent = true;
        if (request.isDone) {
            close(id, AttemptOutcome::Unused);
            return;
        }
        request.excluded.push_back(upstream);
        m_hedges += attempt.isHedge ? 1 : 0;
        const Ticks delay = connectTime(attempt) + m_fabric.toUpstream(request.instance, upstream);
        m_fabric.loop.after(delay, [this, id] {
            reachUpstream(id);
        });
        planHedge(attempt.request);
    }

    Ticks connectTime(const Attempt &attempt)
    {
        int &idle = connections(attempt);
        // Non-repeatable requests take a fresh connection.
        if (!m_trace.arrivals[attempt.request].isRepeatable || idle == 0) {
            return Fabric::ConnectTime;
        }
        --idle;
        return 0;
    }

    int &connections(const Attempt &attempt)
    {
        const int instance = m_requests[attempt.request].instance;
        return m_connections[static_cast<std::size_t>(instance * m_trace.profile.upstreams) + attempt.upstream];
    }

    void reachUpstream(AttemptId id)
    {
        const Attempt &attempt = m_attempts[id];
        if (!attempt.isOpen) {
            return;
        }
        m_fabric.upstreams[attempt.upstream]->arrive(id, m_trace.arrivals[attempt.request].demand, deadlineOf(attempt.request));
    }

    void leaveUpstream(AttemptId id, AttemptOutcome outcome)
    {
        const Attempt &attempt = m_attempts[id];
        const int instance = m_requests[attempt.request].instance;
        if (outcome == AttemptOutcome::Success) {
            noteRun(attempt.request);
        }
        Ticks answered = m_fabric.loop.now() + m_fabric.toUpstream(instance, attempt.upstream);
        if (m_fabric.fault.kind == InstanceFault::Kind::Freeze && isOut(instance)) {
            answered = std::max(answered, m_fabric.fault.to);
        }
        m_fabric.loop.at(answered, [this, id, outcome] {
            answer(id, outcome);
        });
    }

    void noteRun(std::uint32_t number)
    {
        if (++m_requests[number].runs > 1 && !m_trace.arrivals[number].isRepeatable) {
            ++m_repeatedUnsafely;
        }
    }

    void answer(AttemptId id, AttemptOutcome outcome)
    {
        if (!m_attempts[id].isOpen) {
            return;
        }
        const Attempt attempt = m_attempts[id];
        const std::uint32_t number = attempt.request;
        Instance &instance = m_instances[static_cast<std::size_t>(m_requests[number].instance)];
        if (outcome == AttemptOutcome::Success) {
            instance.hedgePolicy.record(Duration(m_fabric.loop.now() - attempt.sent));
            ++connections(attempt);
        }
        close(id, outcome);
        if (m_requests[number].isDone) {
            return;
        }
        if (outcome == AttemptOutcome::Success) {
            finish(number);
            return;
        }
        const bool isNotRun = outcome != AttemptOutcome::TimedOut;
        if (isNotRun && !attempt.isHedge
            && static_cast<int>(m_requests[number].attempts.size()) < m_trace.profile.routing.retries.attempts
            && instance.retries.take()) {
            ++m_retries;
            this->attempt(number, false);
            return;
        }
        missIfLast(number);
    }

    void planHedge(std::uint32_t number)
    {
        if (!Policy::Hedges || !m_trace.arrivals[number].isRepeatable || m_requests[number].attempts.size() > 1) {
            return;
        }
        const Instance &instance = m_instances[static_cast<std::size_t>(m_requests[number].instance)];
        const std::optional<Duration> delay = instance.hedgePolicy.delay();
        if (!delay) {
            return;
        }
        m_fabric.loop.after(delay->count(), [this, number] {
            Request &request = m_requests[number];
            Instance &own = m_instances[static_cast<std::size_t>(request.instance)];
            if (!request.isDone && request.attempts.size() == 1 && own.hedges.take()) {
                attempt(number, true);
            }
        });
    }

    void refuse(AttemptId id)
    {
        Attempt &attempt = m_attempts[id];
        attempt.isOpen = false;
        --m_requests[attempt.request].open;
        if (attempt.isHedge) {
            m_instances[static_cast<std::size_t>(m_requests[attempt.request].instance)].hedges.refund();
        }
        if (!m_requests[attempt.request].isDone) {
            missIfLast(attempt.request);
        }
    }

    void missIfLast(std::uint32_t number)
    {
        if (m_requests[number].open == 0) {
            miss(number);
        }
    }

    void finish(std::uint32_t number)
    {
        const Ticks latency = m_fabric.loop.now() - m_trace.arrivals[number].at;
        m_latencies.push_back(latency);
        const auto interval = static_cast<std::size_t>(m_fabric.loop.now() / RunResult::GoodputInterval);
        m_goodput.resize(std::max(m_goodput.size(), interval + 1));
        ++m_goodput[interval];
        end(number, AttemptOutcome::Cancelled);
    }

    void miss(std::uint32_t number)
    {
        m_latencies.push_back(m_trace.profile.deadline.count());
        ++m_missed;
        end(number, AttemptOutcome::TimedOut);
    }

    /** Ends a request and all attempts of it that still run. */
    void end(std::uint32_t number, AttemptOutcome outcome)
    {
        m_requests[number].isDone = true;
        ++m_requests[number].endings;
        for (const AttemptId id : m_requests[number].attempts) {
            if (m_attempts[id].isOpen && m_attempts[id].isSent) {
                cancel(id, outcome);
            }
        }
    }

    void cancel(AttemptId id, AttemptOutcome outcome)
    {
        const Attempt attempt = m_attempts[id];
        const int instance = m_requests[attempt.request].instance;
        close(id, outcome);
        m_fabric.loop.after(m_fabric.toUpstream(instance, attempt.upstream), [this, id, upstream = attempt.upstream] {
            m_fabric.upstreams[upstream]->cancel(id);
        });
    }

    void close(AttemptId id, AttemptOutcome outcome)
    {
        Attempt &attempt = m_attempts[id];
        attempt.isOpen = false;
        --m_requests[attempt.request].open;
        m_policy->ended({.attempt = id,
                         .instance = m_requests[attempt.request].instance,
                         .upstream = attempt.upstream,
                         .grant = attempt.grant,
                         .report = {.outcome = outcome, .serviceTime = Duration(m_fabric.loop.now() - attempt.sent)}});
    }

    /** The instance's process ends: its callers lose their connections, its upstreams theirs. */
    void loseRequests(int instance)
    {
        for (AttemptId id = 0; id < m_attempts.size(); ++id) {
            Attempt &attempt = m_attempts[id];
            Request &request = m_requests[attempt.request];
            if (!attempt.isOpen || request.instance != instance) {
                continue;
            }
            attempt.isOpen = false;
            if (attempt.isSent) {
                m_fabric.upstreams[attempt.upstream]->cancel(id);
            }
            if (!request.isDone) {
                request.isDone = true;
                ++request.endings;
                ++m_lost;
            }
        }
    }

    const Trace &m_trace;
    Fabric m_fabric;
    std::unique_ptr<Policy> m_policy;
    std::vector<Instance> m_instances;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    /** Idle connections by instance and upstream. */
    std::vector<int> m_connections;
    std::vector<Ticks> m_latencies;
    std::vector<std::uint64_t> m_goodput;
    std::uint64_t m_missed = 0;
    /** Requests whose entry instance died. */
    std::uint64_t m_lost = 0;
    std::uint64_t m_repeatedUnsafely = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
};

} // namespace Filbertmount::PolicySim
