#pragma once

#include "fakenetwork.h"

#include <filbertmount/accounts/quotaengine.h>
#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace Filbertmount::Testing {

/** How the requests of one account arrive. */
struct QuotaLoad {
    std::string account = "a";
    QuotaLimit limit;
    /** Requests per second over all instances. */
    double perSecond = 0;
    std::uint64_t version = 1;
};

/** What happened to the requests of one account. */
struct QuotaTally {
    std::vector<Instant> granted;
    std::vector<Instant> refused;
    std::vector<Instant> unavailable;
    /** Arrivals that a single bucket over all instances, full at the start, would refuse. */
    std::vector<Instant> refusedByIdeal;
    double idealTokens = -1;
    Instant idealAt;

    [[nodiscard]] std::size_t answered() const
    {
        return granted.size() + refused.size() + unavailable.size();
    }
};

/** Number of @p times in [@p from, @p until). */
inline std::size_t countBetween(const std::vector<Instant> &times, Instant from, Instant until)
{
    return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](Instant time) {
        return time >= from && time < until;
    }));
}

/** Largest number of @p times, which are ascending, in any window of the given length. */
inline std::size_t largestWindow(const std::vector<Instant> &times, Duration window)
{
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

/** Instances with a QuotaEngine on a FakeNetwork. Views of the members follow failures after DetectionTime. */
class QuotaFleet
{
public:
    static constexpr Duration DetectionTime = std::chrono::milliseconds(2800);
    static constexpr Duration TickInterval = std::chrono::milliseconds(5);

    QuotaFleet(std::size_t size, const FakeNetworkOptions &network, const QuotaOptions &quotas = {})
        : net(network)
        , options(quotas)
        , m_random(network.seed * 7919 + 1)
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_nodes.push_back(std::make_unique<Node>());
            m_weights.push_back(1.0 / static_cast<double>(1 + index % 7));
            start(index);
        }
    }

    /** Distributes the requests of @p load over the instances, unevenly, from now on. */
    void addLoad(const QuotaLoad &load)
    {
        m_loads.push_back(load);
        m_tallies.emplace_back();
        scheduleArrival(m_loads.size() - 1);
    }
    void setLimit(std::size_t load, const QuotaLimit &limit)
    {
        m_loads[load].limit = limit;
        ++m_loads[load].version;
        for (const auto &node : m_nodes) {
            node->engine->setVersion(m_loads[load].version);
        }
    }
    void setRate(std::size_t load, double perSecond)
    {
        m_loads[load].perSecond = perSecond;
    }

    /** Moves the callers of each instance to the next one. */
    void rotateWeights()
    {
        std::rotate(m_weights.begin(), m_weights.begin() + 1, m_weights.end());
    }

    /** Ends the process of an instance; the others notice it after DetectionTime. */
    void kill(std::size_t index)
    {
        net.detach(m_nodes[index]->id);
        m_nodes[index]->runs = false;
        net.at(net.now() + DetectionTime, [this] {
            updateViews();
        });
    }
    void restart(std::size_t index)
    {
        start(index);
    }
    /** Stops the instance without ending it, as a suspended process. */
    void freeze(std::size_t index, Duration time)
    {
        m_nodes[index]->isFrozen = true;
        net.freeze(m_nodes[index]->id);
        net.at(net.now() + time, [this, index] {
            m_nodes[index]->isFrozen = false;
            net.thaw(m_nodes[index]->id);
        });
    }
    /** Cuts the first @p count instances off from the others; the views follow after DetectionTime. */
    void partition(std::size_t count)
    {
        for (std::size_t left = 0; left < count; ++left) {
            for (std::size_t right = count; right < m_nodes.size(); ++right) {
                net.cut(m_nodes[left]->id, m_nodes[right]->id);
                net.cut(m_nodes[right]->id, m_nodes[left]->id);
            }
        }
        net.at(net.now() + DetectionTime, [this, count] {
            m_partition = count;
            updateViews();
        });
    }
    void heal()
    {
        net.healAll();
        m_partition = 0;
        updateViews();
    }
    /** Sets until when listings of the store allow a majority to act as one while others are missing. */
    void setConfirmedUntil(Instant confirmedUntil)
    {
        m_confirmedUntil = confirmedUntil;
        updateViews();
    }
    void cut(std::size_t from, std::size_t to)
    {
        net.cut(m_nodes[from]->id, m_nodes[to]->id);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }
    [[nodiscard]] QuotaEngine &engine(std::size_t index)
    {
        return *m_nodes[index]->engine;
    }
    /** Index of the instance that owns @p account according to the first running one. */
    [[nodiscard]] std::size_t ownerOf(const std::string &account) const
    {
        for (const auto &node : m_nodes) {
            const InstanceId *owner = node->runs ? node->engine->election().owners().ownerOf(stableHash(account)) : nullptr;
            for (std::size_t index = 0; owner != nullptr && index < m_nodes.size(); ++index) {
                if (m_nodes[index]->id == *owner) {
                    return index;
                }
            }
        }
        return 0;
    }
    /** Instances that may grant the full limit of an account now, suspended ones included. */
    [[nodiscard]] std::size_t countGranting(const std::string &account) const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
            const QuotaElection &election = node->engine->election();
            return node->runs && !election.marginShare() && election.responsibleSince(stableHash(account), net.now()).has_value();
        }));
    }
    [[nodiscard]] std::size_t leader() const
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index]->runs && m_nodes[index]->engine->election().isLeading()) {
                return index;
            }
        }
        return 0;
    }
    [[nodiscard]] const QuotaTally &tally(std::size_t load = 0) const
    {
        return m_tallies[load];
    }
    /** Requests that an account may execute in any window. */
    [[nodiscard]] double bound(const QuotaLimit &limit) const
    {
        const double seconds = std::chrono::duration<double>(options.window).count();
        return (limit.ratePerSecond * seconds + limit.burst) * (1 + options.overshoot) + options.slack;
    }
    [[nodiscard]] FakeNetwork::Traffic traffic() const
    {
        FakeNetwork::Traffic sum;
        for (const auto &node : m_nodes) {
            sum.messages += net.traffic(node->id).messages;
            sum.bytes += net.traffic(node->id).bytes;
        }
        return sum;
    }
    /** A random instance that runs. */
    std::size_t randomNode()
    {
        return std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
    }

    FakeNetwork net;
    QuotaOptions options;

private:
    struct Node {
        InstanceId id;
        std::unique_ptr<QuotaEngine> engine;
        std::map<std::uint64_t, std::size_t> loadOfWaiter;
        Instant lastTick;
        int runCount = 0;
        bool runs = false;
        bool isFrozen = false;
    };

    void start(std::size_t index)
    {
        Node &node = *m_nodes[index];
        ++node.runCount;
        node.id = InstanceId("n" + std::to_string(index) + "/" + std::to_string(node.runCount));
        node.engine = std::make_unique<QuotaEngine>(node.id, options, m_random(), net.now());
        node.loadOfWaiter.clear();
        node.lastTick = net.now();
        node.runs = true;
        updateViews();
        net.attach(node.id, node.id.value(), [this, &node](std::string_view bytes) {
            Wire::Envelope envelope;
            static_cast<void>(envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
            QuotaOutput output;
            for (const Wire::Body &body : envelope.bodies()) {
                node.engine->handle(InstanceId(envelope.from()), body, net.now(), output);
            }
            apply(node, output);
        });
        net.every(node.id, TickInterval, [this, &node] {
            QuotaOutput output;
            if (net.now() - node.lastTick > std::chrono::milliseconds(700)) {
                node.engine->onResume(net.now());
            }
            node.lastTick = net.now();
            node.engine->tick(net.now(), output);
            apply(node, output);
        });
    }

    /** Gives each instance its view of the members: those that run on its side of a partition. */
    void updateViews()
    {
        for (std::size_t viewer = 0; viewer < m_nodes.size(); ++viewer) {
            if (!m_nodes[viewer]->runs) {
                continue;
            }
            QuotaMembers view{.known = m_nodes.size(), .confirmedUntil = m_confirmedUntil};
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                const bool isReachable = m_partition == 0 || (viewer < m_partition) == (index < m_partition);
                if (m_nodes[index]->runs && isReachable) {
                    view.members.push_back(m_nodes[index]->id);
                    if (index % 3 == 0) {
                        view.coordinators.push_back(m_nodes[index]->id);
                    }
                }
            }
            if (view.coordinators.empty()) {
                view.coordinators = view.members;
            }
            m_nodes[viewer]->engine->setMembers(std::move(view));
        }
    }

    void apply(Node &node, QuotaOutput &output)
    {
        net.send(node.id, std::move(output.messages));
        for (const QuotaDecision &decision : output.decisions) {
            const auto load = node.loadOfWaiter.find(decision.waiter);
            if (load == node.loadOfWaiter.end()) {
                std::abort(); // A request was decided twice.
            }
            record(load->second, decision.outcome);
            node.loadOfWaiter.erase(load);
        }
    }

    void record(std::size_t load, QuotaOutcome outcome)
    {
        QuotaTally &tally = m_tallies[load];
        (outcome == QuotaOutcome::Granted         ? tally.granted
             : outcome == QuotaOutcome::OverQuota ? tally.refused
                                                  : tally.unavailable)
            .push_back(net.now());
    }

    void scheduleArrival(std::size_t load)
    {
        constexpr double idleInterval = 0.1;
        const double rate = m_loads[load].perSecond;
        const double seconds = rate > 0 ? std::exponential_distribution<double>(rate)(m_random) : idleInterval;
        net.at(net.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), [this, load, rate] {
            if (rate > 0) {
                arrive(load);
            }
            scheduleArrival(load);
        });
    }

    void recordIdeal(std::size_t load)
    {
        QuotaTally &tally = m_tallies[load];
        const QuotaLimit &limit = m_loads[load].limit;
        const double elapsed = std::chrono::duration<double>(net.now() - tally.idealAt).count();
        const double filled = tally.idealTokens < 0 ? limit.burst : tally.idealTokens + elapsed * limit.ratePerSecond;
        tally.idealTokens = std::min(limit.burst, filled);
        tally.idealAt = net.now();
        if (tally.idealTokens >= 1) {
            tally.idealTokens -= 1;
        } else {
            tally.refusedByIdeal.push_back(net.now());
        }
    }

    void arrive(std::size_t load)
    {
        recordIdeal(load);
        const QuotaLoad &info = m_loads[load];
        std::discrete_distribution<std::size_t> choice(m_weights.begin(), m_weights.end());
        // Callers reconnect when their instance has ended or does not respond.
        std::size_t index = choice(m_random);
        for (int tries = 0; tries < 20 && (!m_nodes[index]->runs || m_nodes[index]->isFrozen); ++tries) {
            index = choice(m_random);
        }
        Node &node = *m_nodes[index];
        if (!node.runs || node.isFrozen) {
            return;
        }
        const QuotaDecision decision = node.engine->client().acquire({.account = info.account,
                                                                      .limit = info.limit,
                                                                      .version = info.version,
                                                                      .deadline = net.now() + std::chrono::seconds(3)},
                                                                     net.now());
        if (decision.outcome == QuotaOutcome::Waiting) {
            node.loadOfWaiter[decision.waiter] = load;
        } else {
            record(load, decision.outcome);
        }
        QuotaOutput output;
        node.engine->flush(net.now(), output);
        apply(node, output);
    }

    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<double> m_weights;
    std::vector<QuotaLoad> m_loads;
    std::vector<QuotaTally> m_tallies;
    std::size_t m_partition = 0;
    Instant m_confirmedUntil = Instant::max();
};

} // namespace Filbertmount::Testing
