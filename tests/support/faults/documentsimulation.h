#pragma once

#include "../documentfleet.h"
#include "faulttable.h"

#include <array>
#include <map>
#include <random>

namespace Filbertmount::Testing {

enum class DocumentFault : std::uint8_t {
    None,
    Kill,
    Freeze,
    CutOut,
    CutIn,
    CutBoth,
    Loss,
    /** An instance receives an older revision after a newer one. */
    StaleRead,
};
inline constexpr std::array<const char *, 8> DocumentFaultNames =
    {"none", "kill", "freeze", "cut-out", "cut-in", "cut-both", "loss", "stale-read"};

/** Points in the replication of a change at which a fault is injected. */
enum class DocumentStep : std::uint8_t {
    BeforeChange,
    Pushed,
    Digests,
};
inline constexpr std::array<const char *, 3> DocumentStepNames = {"before-change", "pushed", "digests"};

/** Bugs that a test injects to prove that the checks can fail. */
enum class DocumentBug : std::uint8_t {
    None,
    /** Cuts are never healed. */
    KeepCuts,
    /** An instance loses its documents and continues under the same id. */
    LoseDocuments,
};

/** Simulates instances that replicate changes of one document with the real document table and gossip. */
class DocumentSimulation
{
public:
    DocumentSimulation(std::uint64_t seed, DocumentFault fault, DocumentStep step, DocumentBug bug)
        : m_random(seed)
        , m_fault(fault)
        , m_step(step)
        , m_bug(bug)
        , m_fleet(Size, {.seed = seed, .duplicate = 0.05})
    {
    }

    CellResult run()
    {
        m_fleet.network.runFor(std::chrono::seconds(1));
        for (m_revision = 1; m_revision <= Changes; ++m_revision) {
            injectAt(DocumentStep::BeforeChange, Duration(0));
            m_origin = randomIndex(Size);
            if (!m_dead.count(m_origin)) {
                m_fleet.change(m_origin, m_service, m_revision, "revision " + std::to_string(m_revision));
                m_last = m_revision;
            }
            injectAt(DocumentStep::Pushed, std::chrono::milliseconds(1));
            injectAt(DocumentStep::Digests, std::chrono::milliseconds(200));
            watch(std::chrono::milliseconds(700));
        }
        if (m_bug != DocumentBug::KeepCuts) {
            m_fleet.network.healAll();
        }
        m_fleet.network.setLoss(0);
        thawAll();
        if (m_bug == DocumentBug::LoseDocuments) {
            m_fleet.add(InstanceId("entry-0"));
        }
        // The instance that lost its documents is checked before another one can send them again.
        watch(m_bug == DocumentBug::LoseDocuments ? Duration(1) : Convergence);
        checkConverged();
        return {.covered = m_injected || m_fault == DocumentFault::None, .violation = m_violation, .trace = m_trace};
    }

private:
    static constexpr std::size_t Size = 8;
    static constexpr std::uint64_t Changes = 5;
    static constexpr std::uint64_t FaultedChange = 3;
    static constexpr Duration Convergence = std::chrono::seconds(3);

    std::size_t randomIndex(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }
    void trace(const std::string &text)
    {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(m_fleet.network.now().time_since_epoch());
        m_trace.append(std::to_string(time.count())).append(" ms  ").append(text).append("\n");
    }
    void fail(const std::string &text)
    {
        trace("VIOLATION: " + text);
        m_violation = m_violation.empty() ? text : m_violation;
    }
    void injectAt(DocumentStep step, Duration wait)
    {
        watch(wait);
        if (step != m_step || m_revision != FaultedChange || m_fault == DocumentFault::None) {
            return;
        }
        m_injected = true;
        // In half of the runs, the fault hits the instance that received the change first.
        inject(randomIndex(2) == 0 ? m_origin : randomIndex(Size));
    }
    void inject(std::size_t target)
    {
        const InstanceId &id = m_fleet.nodes.at(target)->id;
        trace("FAULT " + std::string(DocumentFaultNames.at(static_cast<std::size_t>(m_fault))) + " at " + id.value());
        switch (m_fault) {
        case DocumentFault::None:
            return;
        case DocumentFault::Kill:
            m_fleet.network.detach(id);
            m_dead.insert(target);
            return;
        case DocumentFault::Freeze:
            m_fleet.network.freeze(id);
            m_frozen.insert(target);
            return;
        case DocumentFault::Loss:
            m_fleet.network.setLoss(0.4);
            return;
        case DocumentFault::StaleRead:
            m_fleet.change(target, m_service, 1, "revision 1");
            return;
        case DocumentFault::CutOut:
        case DocumentFault::CutIn:
        case DocumentFault::CutBoth:
            cut(id);
            return;
        }
    }
    void cut(const InstanceId &id)
    {
        for (const auto &other : m_fleet.nodes) {
            if (m_fault != DocumentFault::CutIn) {
                m_fleet.network.cut(id, other->id);
            }
            if (m_fault != DocumentFault::CutOut) {
                m_fleet.network.cut(other->id, id);
            }
        }
    }
    void thawAll()
    {
        for (const std::size_t node : m_frozen) {
            m_fleet.network.thaw(m_fleet.nodes.at(node)->id);
        }
        m_frozen.clear();
    }
    /** Runs for @p time and checks that no instance goes back to an older revision. */
    void watch(Duration time)
    {
        const Instant end = m_fleet.network.now() + time;
        while (m_fleet.network.now() < end) {
            m_fleet.network.runUntil(std::min(end, m_fleet.network.now() + std::chrono::milliseconds(20)));
            for (const auto &node : m_fleet.nodes) {
                const Revision revision = node->table.revision(m_service);
                Revision &highest = m_seen[node->id];
                if (revision < highest) {
                    fail(node->id.value() + " went back from revision " + std::to_string(highest.value()));
                }
                highest = std::max(highest, revision);
            }
        }
    }
    void checkConverged()
    {
        for (std::size_t index = 0; index < Size; ++index) {
            const DocumentNode &node = *m_fleet.nodes.at(index);
            if (!m_dead.count(index) && node.table.revision(m_service) != Revision(m_last)) {
                fail(node.id.value() + " does not hold revision " + std::to_string(m_last) + " 3 s after the fault ended");
            }
        }
    }

    std::mt19937_64 m_random;
    DocumentFault m_fault;
    DocumentStep m_step;
    DocumentBug m_bug;
    DocumentFleet m_fleet;
    const ServiceName m_service{"shop"};
    std::uint64_t m_revision = 0;
    std::uint64_t m_last = 0;
    std::size_t m_origin = 0;
    bool m_injected = false;
    std::set<std::size_t> m_dead;
    std::set<std::size_t> m_frozen;
    std::map<InstanceId, Revision> m_seen;
    std::string m_trace;
    std::string m_violation;
};

inline CellResult runDocumentCell(std::uint64_t seed, DocumentFault fault, DocumentStep step, DocumentBug bug = DocumentBug::None)
{
    return DocumentSimulation(seed, fault, step, bug).run();
}

} // namespace Filbertmount::Testing
