#pragma once

#include "environment.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

namespace Filbertmount::PolicySim {

/** What one instance knows without a dispatcher: which upstreams accept requests, and its own attempts in flight. */
class LocalView
{
public:
    LocalView(Environment &environment, int instance)
        : m_usable(environment.upstreams.size(), true)
        , m_inFlight(environment.upstreams.size(), 0)
        , m_random(static_cast<std::uint64_t>(instance) + 17)
    {
    }

    /** Returns the usable upstreams that are not excluded or, if there are none, all that are not excluded. */
    const std::vector<UpstreamIndex> &candidates(const AttemptQuery &query)
    {
        m_candidates.clear();
        for (const bool mustBeUsable : {true, false}) {
            for (UpstreamIndex index = 0; index < m_usable.size(); ++index) {
                const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), index) != query.excluded.end();
                if (!isExcluded && (m_usable[index] || !mustBeUsable)) {
                    m_candidates.push_back(index);
                }
            }
            if (!m_candidates.empty()) {
                break;
            }
        }
        return m_candidates;
    }

    UpstreamIndex pickRandom(const std::vector<UpstreamIndex> &candidates)
    {
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    }

    void recordStart(UpstreamIndex upstream)
    {
        ++m_inFlight[upstream];
    }

    void recordEnd(UpstreamIndex upstream, AttemptOutcome outcome)
    {
        --m_inFlight[upstream];
        if (outcome == AttemptOutcome::RefusedDraining || outcome == AttemptOutcome::ConnectFailed) {
            m_usable[upstream] = false;
        }
    }

    void setUsable(UpstreamIndex upstream, bool isUsable)
    {
        m_usable[upstream] = isUsable;
    }

    [[nodiscard]] int inFlight(UpstreamIndex upstream) const
    {
        return m_inFlight[upstream];
    }

private:
    std::vector<bool> m_usable;
    std::vector<int> m_inFlight;
    std::vector<UpstreamIndex> m_candidates;
    std::mt19937_64 m_random;
};

/**
 * A policy that places each attempt at once, from what its instance knows.
 *
 * @tparam Rule chooses one of the candidates and may use the results of ended attempts
 */
template<class Rule>
class LocalPolicy
{
public:
    static constexpr const char *Name = Rule::Name;
    static constexpr bool Hedges = false;

    explicit LocalPolicy(Environment &environment)
        : m_environment(environment)
        , m_rule(environment, m_views)
    {
        for (int instance = 0; instance < EntryInstances; ++instance) {
            m_views.emplace_back(environment, instance);
        }
        m_rule.start();
    }

    void place(const AttemptQuery &query)
    {
        LocalView &view = m_views[static_cast<std::size_t>(query.instance)];
        const UpstreamIndex chosen = m_rule.choose(query.instance, view, view.candidates(query));
        view.recordStart(chosen);
        m_environment.dispatch(query.attempt, chosen, 0);
    }

    void recordEnd(const AttemptEnd &end)
    {
        m_views[static_cast<std::size_t>(end.instance)].recordEnd(end.upstream, end.report.outcome);
        m_rule.recordEnd(end);
    }

    void updateListedState(int instance, UpstreamIndex upstream, UpstreamState state)
    {
        m_views[static_cast<std::size_t>(instance)].setUsable(upstream, state == UpstreamState::Live);
    }

private:
    Environment &m_environment;
    std::vector<LocalView> m_views;
    Rule m_rule;
};

/** Empty defaults for rules that need no environment, no start and no results of attempts. */
class SimpleRule
{
public:
    SimpleRule(Environment & /*environment*/, std::vector<LocalView> & /*views*/) { }
    void start() { }
    void recordEnd(const AttemptEnd & /*end*/) { }
};

class RoundRobinRule : public SimpleRule
{
public:
    static constexpr const char *Name = "round_robin";
    using SimpleRule::SimpleRule;

    UpstreamIndex choose(int instance, LocalView & /*view*/, const std::vector<UpstreamIndex> &candidates)
    {
        // Each instance starts at another upstream; otherwise all would send their first request to the same one.
        return candidates[(m_next[static_cast<std::size_t>(instance)]++ + static_cast<std::size_t>(instance))
                          % candidates.size()];
    }

private:
    std::array<std::size_t, EntryInstances> m_next{};
};

class RandomRule : public SimpleRule
{
public:
    static constexpr const char *Name = "random";
    using SimpleRule::SimpleRule;

    UpstreamIndex choose(int /*instance*/, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        return view.pickRandom(candidates);
    }
};

class TwoChoicesRule : public SimpleRule
{
public:
    static constexpr const char *Name = "local_two_choices";
    using SimpleRule::SimpleRule;

    UpstreamIndex choose(int /*instance*/, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const UpstreamIndex first = view.pickRandom(candidates);
        const UpstreamIndex second = view.pickRandom(candidates);
        return view.inFlight(second) < view.inFlight(first) ? second : first;
    }
};

/** Uses the smoothed latency per instance and upstream, weighted by the instance's own attempts in flight. */
class LatencyAverageRule
{
public:
    static constexpr const char *Name = "latency_average";

    LatencyAverageRule(Environment &environment, std::vector<LocalView> & /*views*/)
        : m_latency(EntryInstances, std::vector<double>(environment.upstreams.size(), 0))
    {
    }

    void start() { }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const auto cost = [&](UpstreamIndex index) {
            return m_latency[static_cast<std::size_t>(instance)][index] * (view.inFlight(index) + 1);
        };
        const UpstreamIndex first = view.pickRandom(candidates);
        const UpstreamIndex second = view.pickRandom(candidates);
        return cost(second) < cost(first) ? second : first;
    }

    void recordEnd(const AttemptEnd &end)
    {
        if (end.report.outcome != AttemptOutcome::Success) {
            return;
        }
        double &average = m_latency[static_cast<std::size_t>(end.instance)][end.upstream];
        const auto latency = static_cast<double>(end.report.serviceTime.count());
        average = average == 0 ? latency : average + 0.2 * (latency - average);
    }

private:
    std::vector<std::vector<double>> m_latency;
};

/**
 * Sends one probe per request to a random upstream and keeps the results in a pool per instance. Upstreams whose reported
 * load is above the 84th percentile of the pool are hot. Chooses the cold upstream with the lowest latency or, if all are
 * hot, the least loaded one.
 */
class ProbePoolRule
{
public:
    static constexpr const char *Name = "probe_pool";

    ProbePoolRule(Environment &environment, std::vector<LocalView> & /*views*/)
        : m_environment(environment)
        , m_pools(EntryInstances)
        , m_latency(environment.upstreams.size(), 0)
    {
    }

    void start() { }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        probe(instance, view.pickRandom(candidates));
        std::vector<Entry> &pool = m_pools[static_cast<std::size_t>(instance)];
        std::erase_if(pool, [this](const Entry &entry) {
            return entry.at + MaxEntryAge < m_environment.loop.now();
        });
        std::size_t best = pool.size();
        const double hotThreshold = hotThresholdOf(pool);
        for (std::size_t index = 0; index < pool.size(); ++index) {
            const bool isCandidate = std::find(candidates.begin(), candidates.end(), pool[index].upstream) != candidates.end();
            if (isCandidate && (best == pool.size() || isBetter(pool[index], pool[best], hotThreshold))) {
                best = index;
            }
        }
        if (best == pool.size()) {
            return view.pickRandom(candidates);
        }
        const UpstreamIndex chosen = pool[best].upstream;
        pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(best));
        return chosen;
    }

    void recordEnd(const AttemptEnd &end)
    {
        if (end.report.outcome == AttemptOutcome::Success) {
            double &latency = m_latency[end.upstream];
            latency += 0.1 * (static_cast<double>(end.report.serviceTime.count()) - latency);
        }
    }

private:
    struct Entry {
        UpstreamIndex upstream = 0;
        int load = 0;
        double latency = 0;
        Nanoseconds at = 0;
    };

    static constexpr std::size_t PoolSize = 16;
    static constexpr Nanoseconds MaxEntryAge = 1'000'000'000;
    static constexpr double HotQuantile = 0.84;
    static constexpr std::uint64_t ProbeBytes = 250; // A short HTTP request and response.

    void probe(int instance, UpstreamIndex upstream)
    {
        ++m_environment.costs.probes;
        m_environment.costs.bytes += ProbeBytes;
        m_environment.costs.probeTime += Environment::ProbeTime;
        m_environment.loop.after(Environment::ProbeTime, [this, instance, upstream] {
            std::vector<Entry> &pool = m_pools[static_cast<std::size_t>(instance)];
            if (pool.size() >= PoolSize) {
                pool.erase(pool.begin());
            }
            pool.push_back({.upstream = upstream,
                            .load = m_environment.reportedLoad(upstream),
                            .latency = m_latency[upstream],
                            .at = m_environment.loop.now()});
        });
    }

    static double hotThresholdOf(const std::vector<Entry> &pool)
    {
        std::vector<int> loads;
        loads.reserve(pool.size());
        for (const Entry &entry : pool) {
            loads.push_back(entry.load);
        }
        std::sort(loads.begin(), loads.end());
        return loads.empty() ? 0 : loads[static_cast<std::size_t>(HotQuantile * static_cast<double>(loads.size() - 1))];
    }

    static bool isBetter(const Entry &left, const Entry &right, double hotThreshold)
    {
        const bool isLeftHot = left.load > hotThreshold;
        const bool isRightHot = right.load > hotThreshold;
        if (isLeftHot != isRightHot) {
            return !isLeftHot;
        }
        return isLeftHot ? left.load < right.load : left.latency < right.latency;
    }

    Environment &m_environment;
    std::vector<std::vector<Entry>> m_pools;
    /** Smoothed latency by upstream, which upstreams report together with their load. */
    std::vector<double> m_latency;
};

/** Responses report the load of the upstream. Chooses the less loaded of two random upstreams by their last reports. */
class LoadOnResponsesRule
{
public:
    static constexpr const char *Name = "load_on_answers";

    LoadOnResponsesRule(Environment &environment, std::vector<LocalView> & /*views*/)
        : m_environment(environment)
        , m_load(EntryInstances, std::vector<int>(environment.upstreams.size(), 0))
    {
    }

    void start() { }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const auto load = [&](UpstreamIndex index) {
            return m_load[static_cast<std::size_t>(instance)][index] + view.inFlight(index);
        };
        const UpstreamIndex first = view.pickRandom(candidates);
        const UpstreamIndex second = view.pickRandom(candidates);
        return load(second) < load(first) ? second : first;
    }

    void recordEnd(const AttemptEnd &end)
    {
        constexpr std::uint64_t headerBytes = 30;
        m_environment.costs.bytes += headerBytes;
        m_load[static_cast<std::size_t>(end.instance)][end.upstream] = m_environment.reportedLoad(end.upstream);
    }

private:
    Environment &m_environment;
    std::vector<std::vector<int>> m_load;
};

/** Instances send each other their in-flight counts every 10 ms. Chooses the upstream with the smallest sum. */
class SharedCountsRule
{
public:
    static constexpr const char *Name = "shared_counts";

    SharedCountsRule(Environment &environment, std::vector<LocalView> &views)
        : m_environment(environment)
        , m_views(views)
        , m_receivedCounts(EntryInstances,
                           std::vector<std::vector<int>>(EntryInstances, std::vector<int>(environment.upstreams.size(), 0)))
    {
    }

    void start()
    {
        m_environment.loop.after(Interval, [this] {
            exchangeCounts();
        });
    }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const auto load = [&](UpstreamIndex index) {
            int sum = view.inFlight(index);
            for (int other = 0; other < EntryInstances; ++other) {
                sum += other == instance
                    ? 0
                    : m_receivedCounts[static_cast<std::size_t>(instance)][static_cast<std::size_t>(other)][index];
            }
            return sum;
        };
        // Ties are broken by a random start, so that instances with the same counts do not all choose the same upstream.
        const UpstreamIndex start = view.pickRandom(candidates);
        UpstreamIndex best = start;
        int lowest = load(start);
        for (const UpstreamIndex index : candidates) {
            if (const int sum = load(index); sum < lowest) {
                lowest = sum;
                best = index;
            }
        }
        return best;
    }

    void recordEnd(const AttemptEnd & /*end*/) { }

private:
    static constexpr Nanoseconds Interval = 10'000'000;
    static constexpr std::uint64_t BytesPerMessage = 40;
    static constexpr std::uint64_t BytesPerUpstream = 16;

    void exchangeCounts()
    {
        const auto bytes = BytesPerMessage + BytesPerUpstream * m_environment.upstreams.size();
        for (int from = 0; from < EntryInstances; ++from) {
            std::vector<int> counts;
            for (UpstreamIndex index = 0; index < m_environment.upstreams.size(); ++index) {
                counts.push_back(m_views[static_cast<std::size_t>(from)].inFlight(index));
            }
            for (int to = 0; to < EntryInstances; ++to) {
                if (to == from) {
                    continue;
                }
                m_environment.costs.bytes += bytes;
                m_environment.loop.after(m_environment.delayToInstance(from, to), [this, from, to, counts] {
                    m_receivedCounts[static_cast<std::size_t>(to)][static_cast<std::size_t>(from)] = counts;
                });
            }
        }
        start();
    }

    Environment &m_environment;
    std::vector<LocalView> &m_views;
    /** Counts by receiver, sender and upstream. */
    std::vector<std::vector<std::vector<int>>> m_receivedCounts;
};

using RoundRobin = LocalPolicy<RoundRobinRule>;
using Random = LocalPolicy<RandomRule>;
using LocalTwoChoices = LocalPolicy<TwoChoicesRule>;
using LatencyAverage = LocalPolicy<LatencyAverageRule>;
using ProbePool = LocalPolicy<ProbePoolRule>;
using LoadOnResponses = LocalPolicy<LoadOnResponsesRule>;
using SharedCounts = LocalPolicy<SharedCountsRule>;

} // namespace Filbertmount::PolicySim
