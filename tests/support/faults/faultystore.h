#pragma once

#include "simulation.h"

#include <filbertmount/claims/shardwriter.h>

#include <map>
#include <set>

namespace Filbertmount::Testing {

/** A simulated object store of the platform that can inject faults into the calls of single processes. */
class FaultyStore
{
public:
    using Handler = std::function<void(StoreReply)>;

    /** Faults that apply to the calls of one process. */
    struct Faults {
        bool requestsLost = false;
        bool responsesLost = false;
        /** Reads return an older version. */
        bool staleReads = false;
        Duration extraDelay{0};
        /** Number of next writes that take effect but whose responses are lost. */
        int responsesToLose = 0;
        /** Number of next writes that take effect only after their caller has timed out. */
        int writesToDelay = 0;
    };

    explicit FaultyStore(Simulation &simulation)
        : m_simulation(simulation)
    {
    }

    void call(std::size_t process, const std::string &object, const ShardCall &call, Handler handler)
    {
        Faults &faults = m_faults[process];
        const bool write = std::holds_alternative<ShardWrite>(call);
        ++(write ? m_writes : m_reads);
        const auto open = std::make_shared<bool>(true);
        const Handler once = [open, handler = std::move(handler)](const StoreReply &reply) {
            if (std::exchange(*open, false)) {
                handler(reply);
            }
        };
        m_simulation.deliver(process, Timeout, [once] {
            once({.outcome = StoreOutcome::Unknown, .object = {}, .time = {}, .reason = "no response"});
        });
        if (down || faults.requestsLost) {
            return;
        }
        Duration delay = latency() + faults.extraDelay;
        if (write && faults.writesToDelay > 0) {
            --faults.writesToDelay;
            delay = Timeout + m_simulation.randomDuration(std::chrono::milliseconds(1), std::chrono::seconds(3));
        }
        bool lost = faults.responsesLost;
        if (write && faults.responsesToLose > 0) {
            --faults.responsesToLose;
            lost = true;
        }
        m_simulation.after(delay, [this, process, object, call, once, lost] {
            const StoreReply reply = perform(process, object, call);
            if (!lost) {
                m_simulation.deliver(process, latency(), [once, reply] {
                    once(reply);
                });
            }
        });
    }

    Faults &faults(std::size_t process)
    {
        return m_faults[process];
    }
    [[nodiscard]] std::uint64_t writes() const
    {
        return m_writes;
    }
    [[nodiscard]] std::uint64_t reads() const
    {
        return m_reads;
    }

    bool down = false;
    /** Violates the store's contract, to prove that the checks detect it: writes ignore their condition. */
    bool ignoresConditions = false;
    /** Violates the store's contract: this offset is added to its clock. */
    std::int64_t clockErrorSeconds = 0;
    Duration oneWayLatency = std::chrono::microseconds(2500);

private:
    static constexpr Duration Timeout = std::chrono::milliseconds(250);
    static constexpr std::int64_t StartSeconds = 1'800'000'000;
    static constexpr std::size_t KeptVersions = 4;

    Duration latency()
    {
        return m_simulation.randomDuration(oneWayLatency * 4 / 5, oneWayLatency * 6 / 5);
    }
    StoreTime time() const
    {
        const auto passed = std::chrono::duration_cast<std::chrono::seconds>(m_simulation.now().time_since_epoch());
        return {.seconds = StartSeconds + passed.count() + clockErrorSeconds};
    }
    StoreReply perform(std::size_t process, const std::string &object, const ShardCall &call)
    {
        std::vector<StoreObject> &versions = m_objects[object];
        if (const auto *write = std::get_if<ShardWrite>(&call)) {
            const Revision current = versions.empty() ? AbsentRevision : versions.back().revision;
            if (current != write->base && !ignoresConditions) {
                m_simulation.trace("store: conflict on " + object);
                return {.outcome = StoreOutcome::Conflict, .object = {}, .time = time(), .reason = {}};
            }
            versions.push_back({.key = object, .value = write->value, .revision = Revision(++m_revision)});
            if (versions.size() > KeptVersions) {
                versions.erase(versions.begin());
            }
            m_simulation.trace("store: " + object + " now has revision " + std::to_string(m_revision));
            return {.outcome = StoreOutcome::Done, .object = versions.back(), .time = time(), .reason = {}};
        }
        if (versions.empty()) {
            return {.outcome = StoreOutcome::Absent, .object = {}, .time = time(), .reason = {}};
        }
        const std::size_t index = m_faults[process].staleReads ? m_simulation.randomIndex(versions.size()) : versions.size() - 1;
        return {.outcome = StoreOutcome::Done, .object = versions[index], .time = time(), .reason = {}};
    }

    Simulation &m_simulation;
    std::map<std::size_t, Faults> m_faults;
    std::map<std::string, std::vector<StoreObject>> m_objects;
    std::uint64_t m_revision = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
};

} // namespace Filbertmount::Testing
