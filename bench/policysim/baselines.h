#pragma once

#include "fabric.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

namespace Filbertmount::PolicySim {

/** What policies without a dispatcher share: each instance knows which upstreams take requests, and its own attempts. */
class LocalView
{
public:
    LocalView(Fabric &fabric, int instance)
        : m_usable(fabric.upstreams.size(), true)
        , m_inFlight(fabric.upstreams.size(), 0)
        , m_random(static_cast<std::uint64_t>(instance) + 17)
    {
    }

    /** Upstreams that may be tried: the usable ones that were not excluded, or all of the others when there are none. */
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

    UpstreamIndex any(const std::vector<UpstreamIndex> &candidates)
    {
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    }

    void begin(UpstreamIndex upstream)
    {
        ++m_inFlight[upstream];
    }

    void end(UpstreamIndex upstream, AttemptOutcome outcome)
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
 * A policy that decides at once from what one instance knows.
 *
 * @tparam Rule chooses one of the candidates and may learn from ended attempts
 */
template<class Rule>
class LocalPolicy
{
public:
    static constexpr const char *Name = Rule::Name;
    static constexpr bool Hedges = false;

    explicit LocalPolicy(Fabric &fabric)
        : m_fabric(fabric)
        , m_rule(fabric, m_views)
    {
        for (int instance = 0; instance < EntryInstances; ++instance) {
            m_views.emplace_back(fabric, instance);
        }
        m_rule.start();
    }

    void place(const AttemptQuery &query)
    {
        LocalView &view = m_views[static_cast<std::size_t>(query.instance)];
        const UpstreamIndex chosen = m_rule.choose(query.instance, view, view.candidates(query));
        view.begin(chosen);
        m_fabric.dispatch(query.attempt, chosen, 0);
    }

    void ended(const AttemptEnd &end)
    {
        m_views[static_cast<std::size_t>(end.instance)].end(end.upstream, end.report.outcome);
        m_rule.ended(end);
    }

    void listChanged(int instance, UpstreamIndex upstream, UpstreamState state)
    {
        m_views[static_cast<std::size_t>(instance)].setUsable(upstream, state == UpstreamState::Live);
    }

private:
    Fabric &m_fabric;
    std::vector<LocalView> m_views;
    Rule m_rule;
};

/** Parts that most rules leave empty. */
class SimpleRule
{
public:
    SimpleRule(Fabric & /*fabric*/, std::vector<LocalView> & /*views*/) { }
    void start() { }
    void ended(const AttemptEnd & /*end*/) { }
};

class RoundRobinRule : public SimpleRule
{
public:
    static constexpr const char *Name = "round_robin";
    using SimpleRule::SimpleRule;

    UpstreamIndex choose(int instance, LocalView & /*view*/, const std::vector<UpstreamIndex> &candidates)
    {
        // Instances start at different upstreams, or all of them would send their first request to the same one.
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
        return view.any(candidates);
    }
};

class TwoChoicesRule : public SimpleRule
{
public:
    static constexpr const char *Name = "local_two_choices";
    using SimpleRule::SimpleRule;

    UpstreamIndex choose(int /*instance*/, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const UpstreamIndex first = view.any(candidates);
        const UpstreamIndex second = view.any(candidates);
        return view.inFlight(second) < view.inFlight(first) ? second : first;
    }
};

/** Smoothed latency per instance and upstream, weighted with the instance's own attempts in flight. */
class LatencyAverageRule
{
public:
    static constexpr const char *Name = "latency_average";

    LatencyAverageRule(Fabric &fabric, std::vector<LocalView> & /*views*/)
        : m_latency(EntryInstances, std::vector<double>(fabric.upstreams.size(), 0))
    {
    }

    void start() { }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const auto cost = [&](UpstreamIndex index) {
            return m_latency[static_cast<std::size_t>(instance)][index] * (view.inFlight(index) + 1);
        };
        const UpstreamIndex first = view.any(candidates);
        const UpstreamIndex second = view.any(candidates);
        return cost(second) < cost(first) ? second : first;
    }

    void ended(const AttemptEnd &end)
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
 * One probe per request to a random upstream, kept in a pool per instance. Upstreams whose reported load is above the
 * pool's 84th percentile are hot; the cold one with the lowest latency is taken, or the least loaded when all are hot.
 */
class ProbePoolRule
{
public:
    static constexpr const char *Name = "probe_pool";

    ProbePoolRule(Fabric &fabric, std::vector<LocalView> & /*views*/)
        : m_fabric(fabric)
        , m_pools(EntryInstances)
        , m_latency(fabric.upstreams.size(), 0)
    {
    }

    void start() { }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        probe(instance, view.any(candidates));
        std::vector<Entry> &pool = m_pools[static_cast<std::size_t>(instance)];
        std::erase_if(pool, [this](const Entry &entry) {
            return entry.at + LongestAge < m_fabric.loop.now();
        });
        std::size_t best = pool.size();
        const double hotFrom = hotLimit(pool);
        for (std::size_t index = 0; index < pool.size(); ++index) {
            const bool isCandidate = std::find(candidates.begin(), candidates.end(), pool[index].upstream) != candidates.end();
            if (isCandidate && (best == pool.size() || isBetter(pool[index], pool[best], hotFrom))) {
                best = index;
            }
        }
        if (best == pool.size()) {
            return view.any(candidates);
        }
        const UpstreamIndex chosen = pool[best].upstream;
        pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(best));
        return chosen;
    }

    void ended(const AttemptEnd &end)
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
        Ticks at = 0;
    };

    static constexpr std::size_t PoolSize = 16;
    static constexpr Ticks LongestAge = 1'000'000'000;
    static constexpr double HotQuantile = 0.84;
    static constexpr std::uint64_t ProbeBytes = 250; // A short HTTP request and answer.

    void probe(int instance, UpstreamIndex upstream)
    {
        ++m_fabric.costs.probes;
        m_fabric.costs.bytes += ProbeBytes;
        m_fabric.costs.measuring += Fabric::ProbeTime;
        m_fabric.loop.after(Fabric::ProbeTime, [this, instance, upstream] {
            std::vector<Entry> &pool = m_pools[static_cast<std::size_t>(instance)];
            if (pool.size() >= PoolSize) {
                pool.erase(pool.begin());
            }
            pool.push_back({.upstream = upstream,
                            .load = m_fabric.reportedLoad(upstream),
                            .latency = m_latency[upstream],
                            .at = m_fabric.loop.now()});
        });
    }

    static double hotLimit(const std::vector<Entry> &pool)
    {
        std::vector<int> loads;
        loads.reserve(pool.size());
        for (const Entry &entry : pool) {
            loads.push_back(entry.load);
        }
        std::sort(loads.begin(), loads.end());
        return loads.empty() ? 0 : loads[static_cast<std::size_t>(HotQuantile * static_cast<double>(loads.size() - 1))];
    }

    static bool isBetter(const Entry &left, const Entry &right, double hotFrom)
    {
        const bool isLeftHot = left.load > hotFrom;
        const bool isRightHot = right.load > hotFrom;
        if (isLeftHot != isRightHot) {
            return !isLeftHot;
        }
        return isLeftHot ? left.load < right.load : left.latency < right.latency;
    }

    Fabric &m_fabric;
    std::vector<std::vector<Entry>> m_pools;
    /** Upstreams report their recent latency with the load. */
    std::vector<double> m_latency;
};

/** Answers carry the upstream's load; the less loaded of two random upstreams by the last report is taken. */
class LoadOnAnswersRule
{
public:
    static constexpr const char *Name = "load_on_answers";

    LoadOnAnswersRule(Fabric &fabric, std::vector<LocalView> & /*views*/)
        : m_fabric(fabric)
        , m_load(EntryInstances, std::vector<int>(fabric.upstreams.size(), 0))
    {
    }

    void start() { }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const auto load = [&](UpstreamIndex index) {
            return m_load[static_cast<std::size_t>(instance)][index] + view.inFlight(index);
        };
        const UpstreamIndex first = view.any(candidates);
        const UpstreamIndex second = view.any(candidates);
        return load(second) < load(first) ? second : first;
    }

    void ended(const AttemptEnd &end)
    {
        constexpr std::uint64_t headerBytes = 30;
        m_fabric.costs.bytes += headerBytes;
        m_load[static_cast<std::size_t>(end.instance)][end.upstream] = m_fabric.reportedLoad(end.upstream);
    }

private:
    Fabric &m_fabric;
    std::vector<std::vector<int>> m_load;
};

/** Instances send each other their counts every 10 ms; the upstream with the smallest sum is taken. */
class SharedCountsRule
{
public:
    static constexpr const char *Name = "shared_counts";

    SharedCountsRule(Fabric &fabric, std::vector<LocalView> &views)
        : m_fabric(fabric)
        , m_views(views)
        , m_known(EntryInstances, std::vector<std::vector<int>>(EntryInstances, std::vector<int>(fabric.upstreams.size(), 0)))
    {
    }

    void start()
    {
        m_fabric.loop.after(Interval, [this] {
            exchange();
        });
    }

    UpstreamIndex choose(int instance, LocalView &view, const std::vector<UpstreamIndex> &candidates)
    {
        const auto load = [&](UpstreamIndex index) {
            int sum = view.inFlight(index);
            for (int other = 0; other < EntryInstances; ++other) {
                sum +=
                    other == instance ? 0 : m_known[static_cast<std::size_t>(instance)][static_cast<std::size_t>(other)][index];
            }
            return sum;
        };
        // The search starts anywhere, so that instances with the same counts do not all choose the same upstream.
        const UpstreamIndex start = view.any(candidates);
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

    void ended(const AttemptEnd & /*end*/) { }

private:
    static constexpr Ticks Interval = 10'000'000;
    static constexpr std::uint64_t BytesPerMessage = 40;
    static constexpr std::uint64_t BytesPerUpstream = 16;

    void exchange()
    {
        const auto bytes = BytesPerMessage + BytesPerUpstream * m_fabric.upstreams.size();
        for (int from = 0; from < EntryInstances; ++from) {
            std::vector<int> counts;
            for (UpstreamIndex index = 0; index < m_fabric.upstreams.size(); ++index) {
                counts.push_back(m_views[static_cast<std::size_t>(from)].inFlight(index));
            }
            for (int to = 0; to < EntryInstances; ++to) {
                if (to == from) {
                    continue;
                }
                m_fabric.costs.bytes += bytes;
                m_fabric.loop.after(m_fabric.toInstance(from, to), [this, from, to, counts] {
                    m_known[static_cast<std::size_t>(to)][static_cast<std::size_t>(from)] = counts;
                });
            }
        }
        start();
    }

    Fabric &m_fabric;
    std::vector<LocalView> &m_views;
    /** Counts by receiver, sender and upstream. */
    std::vector<std::vector<std::vector<int>>> m_known;
};

using RoundRobin = LocalPolicy<RoundRobinRule>;
using Random = LocalPolicy<RandomRule>;
using LocalTwoChoices = LocalPolicy<TwoChoicesRule>;
using LatencyAverage = LocalPolicy<LatencyAverageRule>;
using ProbePool = LocalPolicy<ProbePoolRule>;
using LoadOnAnswers = LocalPolicy<LoadOnAnswersRule>;
using SharedCounts = LocalPolicy<SharedCountsRule>;

} // namespace Filbertmount::PolicySim
