#pragma once

#include "timedtask.h"

#include <filbertmount/peer/peermessage.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Filbertmount::Testing {

/** Faults and delays of a FakeNetwork; probabilities are in [0, 1]. */
struct FakeNetworkOptions {
    std::uint64_t seed = 1;
    double loss = 0;
    double duplicate = 0;
    Duration minDelay = std::chrono::microseconds(200);
    Duration maxDelay = std::chrono::milliseconds(2);
};

/**
 * In-memory network with a virtual clock. The seed determines the whole run. Messages overtake each other when the delay
 * varies. Messages to a frozen instance are delivered when it is thawed, as for a stopped process; its ticks are skipped.
 */
class FakeNetwork
{
public:
    using Receiver = std::function<void(std::string_view bytes)>;
    using Task = std::function<void()>;

    struct Traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    explicit FakeNetwork(FakeNetworkOptions options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    [[nodiscard]] Instant now() const
    {
        return m_now;
    }

    void attach(const InstanceId &id, const std::string &address, Receiver receiver)
    {
        m_receivers[id] = std::move(receiver);
        m_addresses[address] = id;
    }
    /** Ends the process of @p id: it receives nothing more and its ticks stop. */
    void detach(const InstanceId &id)
    {
        m_receivers.erase(id);
        m_held.erase(id);
    }

    /** Runs @p task now and at every @p interval while @p id is attached; skipped while it is frozen. */
    void every(const InstanceId &id, Duration interval, const Task &task)
    {
        repeat(id, interval, m_now, task);
    }
    void at(Instant when, Task task)
    {
        schedule(when, std::move(task));
    }

    void send(const InstanceId &from, PeerMessage message)
    {
        message.envelope.set_cluster("test");
        message.envelope.set_from(from.value());
        message.envelope.set_sequence(++m_sequence);
        const std::string bytes = message.envelope.SerializeAsString();
        Traffic &traffic = m_traffic[from];
        ++traffic.messages;
        traffic.bytes += bytes.size();
        const auto address = m_addresses.find(message.address);
        const InstanceId to = message.address.empty() || address == m_addresses.end() ? message.to : address->second;
        const int copies = chance(m_options.duplicate) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            transmit(from, to, bytes);
        }
    }
    void send(const InstanceId &from, PeerOutbox outbox)
    {
        for (PeerMessage &message : outbox) {
            send(from, std::move(message));
        }
    }

    void setLoss(double loss)
    {
        m_options.loss = loss;
    }
    /** Drops all messages from @p from to @p to, in this direction only. */
    void cut(const InstanceId &from, const InstanceId &to)
    {
        m_cuts.insert({from, to});
    }
    void healAll()
    {
        m_cuts.clear();
    }
    void freeze(const InstanceId &id)
    {
        m_frozen.insert(id);
    }
    /** Resumes @p id and delivers the messages that arrived while it was frozen, before its next tick. */
    void thaw(const InstanceId &id)
    {
        m_frozen.erase(id);
        std::vector<std::string> held = std::move(m_held[id]);
        m_held.erase(id);
        for (const std::string &bytes : held) {
            deliver(id, bytes);
        }
    }

    /** Advances the virtual clock to @p end and runs all tasks that are due by then. */
    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            TimedTask event = m_events.top();
            m_events.pop();
            m_now = event.when;
            event.task();
        }
        m_now = end;
    }
    void runFor(Duration time)
    {
        runUntil(m_now + time);
    }

    /** Messages that @p id has sent so far and the size of their encoded envelopes, without transport headers. */
    [[nodiscard]] Traffic traffic(const InstanceId &id) const
    {
        const auto found = m_traffic.find(id);
        return found == m_traffic.end() ? Traffic{} : found->second;
    }

private:
    void schedule(Instant when, Task task)
    {
        m_events.push(TimedTask{.when = when, .order = ++m_order, .task = std::move(task)});
    }
    void repeat(const InstanceId &id, Duration interval, Instant next, const Task &task)
    {
        schedule(next, [this, id, interval, next, task] {
            if (m_receivers.count(id) == 0) {
                return;
            }
            if (m_frozen.count(id) == 0) {
                task();
            }
            repeat(id, interval, next + interval, task);
        });
    }
    bool chance(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    void transmit(const InstanceId &from, const InstanceId &to, const std::string &bytes)
    {
        if (m_cuts.count({from, to}) > 0 || chance(m_options.loss)) {
            return;
        }
        std::uniform_int_distribution<Duration::rep> delay(m_options.minDelay.count(), m_options.maxDelay.count());
        schedule(m_now + Duration(delay(m_random)), [this, to, bytes] {
            if (m_frozen.count(to) > 0) {
                m_held[to].push_back(bytes);
                return;
            }
            deliver(to, bytes);
        });
    }
    void deliver(const InstanceId &to, const std::string &bytes)
    {
        const auto receiver = m_receivers.find(to);
        if (receiver == m_receivers.end()) {
            return;
        }
        const Receiver handler = receiver->second;
        handler(bytes);
    }

    FakeNetworkOptions m_options;
    std::mt19937_64 m_random;
    Instant m_now{};
    std::uint64_t m_order = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<TimedTask> m_events;
    std::map<InstanceId, Receiver> m_receivers;
    std::map<std::string, InstanceId> m_addresses;
    std::set<std::pair<InstanceId, InstanceId>> m_cuts;
    std::set<InstanceId> m_frozen;
    std::map<InstanceId, std::vector<std::string>> m_held;
    std::map<InstanceId, Traffic> m_traffic;
};

} // namespace Filbertmount::Testing
