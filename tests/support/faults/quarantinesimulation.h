#pragma once

#include "faulttable.h"
#include "simulation.h"

#include <filbertmount/quarantine/crashquarantine.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

namespace Filbertmount::Testing {

/** Faults that are injected at an instance when it reaches a step of a crashing request. */
enum class QuarantineFault : std::uint8_t {
    None,
    Kill,
    Freeze,
    CutOut,
    CutIn,
    CutBoth,
    SlowPeers,
    Duplicate,
    Reorder,
    ClockStep,
    /** The instance reports strikes for harmless requests. */
    ConfusedPeer,
};
inline constexpr std::array<const char *, 11> QuarantineFaultNames = {"none",
                                                                      "kill",
                                                                      "freeze",
                                                                      "cut-out",
                                                                      "cut-in",
                                                                      "cut-both",
                                                                      "slow-peers",
                                                                      "duplicate",
                                                                      "reorder",
                                                                      "clock-step",
                                                                      "confused-peer"};

/** Steps of a crashing request, at the instance that reaches them. */
enum class QuarantineStep : std::uint8_t {
    Admitted,
    Broken,
    StrikeSent,
    StrikeReceived,
};
inline constexpr std::array<const char *, 4> QuarantineStepNames = {"admitted", "broken", "strike-sent", "strike-received"};

/** A fault to inject when an instance reaches a step. */
struct QuarantineFaultInjection {
    QuarantineFault fault = QuarantineFault::None;
    QuarantineStep step = QuarantineStep::Admitted;
};

/** Bugs that a test injects to prove that the checks can fail. */
enum class QuarantineBug : std::uint8_t {
    None,
    /** Quarantined requests are run. */
    RunQuarantined,
    /** Strikes received from peers are dropped. */
    IgnorePeers,
    /** Successes are not reported to the quarantine. */
    HideSuccess,
};

/** Simulates instances that receive one crashing request again and again, among popular harmless requests. */
class QuarantineSimulation
{
public:
    QuarantineSimulation(std::uint64_t seed,
                         const std::vector<QuarantineFaultInjection> &injections,
                         QuarantineBug bug,
                         bool tracing)
        : m_simulation(seed, tracing)
        , m_bug(bug)
    {
        for (const QuarantineFaultInjection &injection : injections) {
            m_injections.push_back({.injection = injection, .countdown = 1 + m_simulation.randomIndex(2)});
        }
        for (std::size_t index = 0; index < Instances; ++index) {
            const InstanceId id("entry-" + std::to_string(index));
            m_simulation.addProcess(id.value());
            m_nodes.push_back(std::make_unique<Node>(id));
        }
    }

    CellResult run()
    {
        for (int request = 0; request < HarmlessRequests * 200; ++request) {
            m_simulation.after(std::chrono::milliseconds(10 * request / HarmlessRequests), [this, request] {
                send("/popular-" + std::to_string(request % HarmlessRequests));
            });
        }
        m_simulation.after(std::chrono::milliseconds(300), [this] {
            sendCrashing(0);
        });
        m_simulation.runUntil(Instant(End));
        check();
        const bool covered = std::all_of(m_injections.begin(), m_injections.end(), [](const PendingInjection &pending) {
            return pending.injection.fault == QuarantineFault::None || pending.countdown == 0;
        });
        return {.covered = covered, .violation = m_violation, .trace = m_simulation.traceText()};
    }

private:
    static constexpr std::size_t Instances = 6;
    static constexpr std::size_t Upstreams = 12;
    static constexpr int HarmlessRequests = 3;
    static constexpr int Resends = 40;
    static constexpr std::size_t CrashLimit = 2;
    static constexpr Duration RunTime = std::chrono::milliseconds(4);
    static constexpr Duration End = std::chrono::seconds(20);
    static constexpr const char *Crashing = "/crash";

    struct Node {
        explicit Node(const InstanceId &self)
            : id(self)
            , quarantine(self, {})
        {
        }
        InstanceId id;
        CrashQuarantine quarantine;
        Duration clockOffset{0};
        bool cutIn = false;
        bool cutOut = false;
        bool duplicate = false;
        bool sendsFalseStrikes = false;
        Duration jitter{0};
        Duration delay{0};
        /** Strikes of the crashing request that this instance received, including its own. */
        std::size_t receivedStrikes = 0;
    };
    struct Attempt {
        std::string target;
        std::size_t instance = 0;
        std::size_t upstream = 0;
        CrashTicket ticket;
        bool ended = false;
        /** The instance had not received all strikes when the run started. */
        bool missesStrikes = false;
    };
    /** A fault to inject when its step is reached for the countdown-th time; 0 once it was injected. */
    struct PendingInjection {
        QuarantineFaultInjection injection;
        std::size_t countdown = 1;
    };

    Instant localNow(const Node &node) const
    {
        return m_simulation.now() + node.clockOffset;
    }
    void fail(const std::string &text)
    {
        m_simulation.trace("VIOLATION: " + text);
        m_violation = m_violation.empty() ? text : m_violation;
    }
    void sendCrashing(int resend)
    {
        if (resend < Resends) {
            send(Crashing);
            m_simulation.after(m_simulation.randomDuration(std::chrono::milliseconds(10), std::chrono::milliseconds(300)),
                               [this, resend] {
                                   sendCrashing(resend + 1);
                               });
        }
    }
    void send(const std::string &target)
    {
        const std::size_t number = m_attempts.size();
        const std::size_t instance = m_simulation.randomIndex(Instances);
        m_attempts.push_back({.target = target, .instance = instance, .upstream = m_simulation.randomIndex(Upstreams)});
        m_simulation.deliver(instance, std::chrono::microseconds(200), [this, number] {
            admit(number);
        });
    }
    void admit(std::size_t number)
    {
        const Attempt &attempt = m_attempts[number];
        Node &node = *m_nodes[attempt.instance];
        const CrashFingerprint fingerprint = crashFingerprint("shop", "GET", attempt.target, "");
        decided(number, node.quarantine.admit(RequestId(number), ServiceName("shop"), fingerprint, localNow(node)));
    }
    void decided(std::size_t number, const CrashDecision &decision)
    {
        Attempt &attempt = m_attempts[number];
        if (decision.admission == CrashAdmission::Wait) {
            return;
        }
        if (decision.admission != CrashAdmission::Run) {
            m_simulation.trace(attempt.instance, attempt.target + " is refused");
            refused(attempt);
            if (m_bug != QuarantineBug::RunQuarantined) {
                return;
            }
        }
        attempt.ticket = decision.ticket;
        attempt.missesStrikes = m_nodes[attempt.instance]->receivedStrikes < m_crashed.size();
        if (attempt.target == Crashing) {
            m_simulation.trace(attempt.instance,
                               "runs the crashing request"
                                   + std::string(attempt.missesStrikes ? ", without having received all strikes" : ""));
            reachStep(QuarantineStep::Admitted, attempt.instance);
        }
        m_simulation.after(m_simulation.randomDuration(RunTime / 2, RunTime * 2), [this, number] {
            finishRun(number);
        });
    }
    void refused(const Attempt &attempt)
    {
        if (attempt.target != Crashing && m_crashedRuns[attempt.target] < 2) {
            fail(attempt.target + " was refused, although it has not crashed twice");
        }
    }
    void finishRun(std::size_t number)
    {
        Attempt &attempt = m_attempts[number];
        if (attempt.ended) {
            return;
        }
        if (attempt.target != Crashing) {
            attempt.ended = true;
            m_simulation.deliver(attempt.instance, std::chrono::microseconds(200), [this, number] {
                succeeded(number);
            });
            return;
        }
        m_crashed.push_back(attempt.upstream);
        if (!attempt.missesStrikes) {
            m_upstreamsCrashedKnowingly.insert(attempt.upstream);
        }
        m_simulation.trace("upstream " + std::to_string(attempt.upstream) + " CRASHES");
        // All requests that run on the upstream crash with it.
        for (std::size_t other = 0; other < m_attempts.size(); ++other) {
            Attempt &concurrent = m_attempts[other];
            const bool isRunning =
                concurrent.upstream == attempt.upstream && !concurrent.ended && !concurrent.ticket.service.empty();
            if (isRunning) {
                concurrent.ended = true;
                m_crashedRuns[concurrent.target] += 1;
                m_simulation.deliver(concurrent.instance, std::chrono::microseconds(200), [this, other] {
                    crashed(other);
                });
            }
        }
    }
    void succeeded(std::size_t number)
    {
        const Attempt &attempt = m_attempts[number];
        Node &node = *m_nodes[attempt.instance];
        if (m_bug == QuarantineBug::HideSuccess) {
            node.quarantine.ended(attempt.ticket, localNow(node));
        } else {
            node.quarantine.succeeded(attempt.ticket, localNow(node));
        }
        flush(attempt.instance);
    }
    void crashed(std::size_t number)
    {
        const Attempt attempt = m_attempts[number];
        Node &node = *m_nodes[attempt.instance];
        node.receivedStrikes += attempt.target == Crashing ? 1 : 0;
        node.quarantine.crashed(attempt.ticket, UpstreamId("u" + std::to_string(attempt.upstream)), localNow(node));
        if (attempt.target == Crashing) {
            reachStep(QuarantineStep::Broken, attempt.instance);
        }
        flush(attempt.instance);
    }

    void flush(std::size_t instance)
    {
        Node &node = *m_nodes[instance];
        for (const CrashDecision &decision : node.quarantine.takeDecisions()) {
            decided(decision.request.value(), decision);
        }
        for (const Wire::CrashStrike &message : node.quarantine.takeMessages()) {
            broadcast(instance, message);
        }
    }
    void broadcast(std::size_t from, const Wire::CrashStrike &message)
    {
        const Node &sender = *m_nodes[from];
        for (std::size_t to = 0; to < Instances; ++to) {
            if (to == from || sender.cutOut || m_nodes[to]->cutIn || !m_simulation.alive(from)) {
                continue;
            }
            for (int copy = 0; copy < (sender.duplicate ? 2 : 1); ++copy) {
                Duration delay =
                    std::chrono::microseconds(500) + sender.delay + m_simulation.randomDuration(Duration(0), sender.jitter);
                delay += copy * std::chrono::seconds(1);
                m_simulation.deliver(to, delay, [this, from, to, copy, message] {
                    arrive(from, to, message, copy > 0);
                });
            }
        }
        if (isCrashing(message)) {
            reachStep(QuarantineStep::StrikeSent, from);
        }
    }
    static bool isCrashing(const Wire::CrashStrike &message)
    {
        const CrashFingerprint crashing = crashFingerprint("shop", "GET", Crashing, "");
        return !message.cleared()
            && std::equal(crashing.begin(), crashing.end(), message.fingerprint().begin(), [](auto left, auto right) {
                   return left == static_cast<std::uint8_t>(right);
               });
    }
    void arrive(std::size_t from, std::size_t to, const Wire::CrashStrike &message, bool isDuplicate)
    {
        Node &node = *m_nodes[to];
        if (isCrashing(message)) {
            // The sequence numbers of a peer that sends false strikes are wrong too, so its later strikes may be dropped.
            node.receivedStrikes += isDuplicate || m_nodes[from]->sendsFalseStrikes ? 0 : 1;
            reachStep(QuarantineStep::StrikeReceived, to);
        }
        if (m_bug != QuarantineBug::IgnorePeers) {
            node.quarantine.receive(m_nodes[from]->id, message, localNow(node));
        }
        flush(to);
    }

    void reachStep(QuarantineStep step, std::size_t instance)
    {
        for (PendingInjection &pending : m_injections) {
            if (pending.countdown > 0 && pending.injection.step == step && --pending.countdown == 0) {
                inject(pending.injection.fault, instance);
            }
        }
    }
    void inject(QuarantineFault fault, std::size_t instance)
    {
        m_simulation.trace(instance, std::string("FAULT ") + QuarantineFaultNames.at(static_cast<std::size_t>(fault)));
        Node &node = *m_nodes[instance];
        switch (fault) {
        case QuarantineFault::None:
            return;
        case QuarantineFault::Kill:
            m_simulation.kill(instance);
            return;
        case QuarantineFault::Freeze:
            m_simulation.freeze(instance, m_simulation.randomDuration(std::chrono::milliseconds(20), std::chrono::seconds(3)));
            return;
        case QuarantineFault::CutOut:
            node.cutOut = true;
            break;
        case QuarantineFault::CutIn:
            node.cutIn = true;
            break;
        case QuarantineFault::CutBoth:
            node.cutOut = node.cutIn = true;
            break;
        case QuarantineFault::SlowPeers:
            node.delay = std::chrono::milliseconds(700);
            break;
        case QuarantineFault::Duplicate:
            node.duplicate = true;
            break;
        case QuarantineFault::Reorder:
            node.jitter = std::chrono::milliseconds(200);
            break;
        case QuarantineFault::ClockStep:
            node.clockOffset += std::chrono::seconds(5);
            return;
        case QuarantineFault::ConfusedPeer:
            sendFalseStrikes(instance);
            return;
        }
        m_simulation.after(m_simulation.randomDuration(std::chrono::milliseconds(100), std::chrono::seconds(3)),
                           [this, instance] {
                               Node &recovered = *m_nodes[instance];
                               recovered.cutIn = recovered.cutOut = recovered.duplicate = false;
                               recovered.delay = recovered.jitter = Duration(0);
                           });
    }
    void sendFalseStrikes(std::size_t instance)
    {
        m_nodes[instance]->sendsFalseStrikes = true;
        for (std::uint64_t number = 0; number < 20; ++number) {
            const CrashFingerprint popular =
                crashFingerprint("shop", "GET", "/popular-" + std::to_string(number % HarmlessRequests), "");
            Wire::CrashStrike message;
            message.set_service("shop");
            message.set_fingerprint(popular.data(), popular.size());
            message.set_upstream("u" + std::to_string(number));
            message.set_origin(m_nodes[instance]->id.value());
            message.set_sequence(1000 + number);
            message.set_under_suspicion(true);
            broadcast(instance, message);
        }
    }
    void check()
    {
        if (m_upstreamsCrashedKnowingly.size() > CrashLimit) {
            fail(std::to_string(m_upstreamsCrashedKnowingly.size())
                 + " upstreams were crashed by instances that knew of every crash");
        }
        const bool faulty = std::any_of(m_injections.begin(), m_injections.end(), [](const PendingInjection &pending) {
            return pending.injection.fault != QuarantineFault::None;
        });
        const std::set<std::size_t> crashed(m_crashed.begin(), m_crashed.end());
        // Without faults, only one run that is in progress while the first strike is sent may crash another upstream.
        const std::size_t limit = faulty ? CrashLimit * Instances : CrashLimit + 1;
        if (crashed.size() > limit) {
            fail(std::to_string(crashed.size()) + " upstreams crashed");
        }
    }

    Simulation m_simulation;
    QuarantineBug m_bug;
    std::vector<PendingInjection> m_injections;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Attempt> m_attempts;
    std::vector<std::size_t> m_crashed;
    std::map<std::string, int> m_crashedRuns;
    /** Upstreams crashed by runs of instances that had received the strikes of all earlier crashes. */
    std::set<std::size_t> m_upstreamsCrashedKnowingly;
    std::string m_violation;
};

inline CellResult runQuarantineCell(std::uint64_t seed,
                                    const std::vector<QuarantineFaultInjection> &injections,
                                    QuarantineBug bug = QuarantineBug::None)
{
    const CellResult result = QuarantineSimulation(seed, injections, bug, false).run();
    return result.violation.empty() ? result : QuarantineSimulation(seed, injections, bug, true).run();
}

} // namespace Filbertmount::Testing
