#pragma once

#include "faulttable.h"
#include "faultystore.h"
#include "simulation.h"

#include <filbertmount/claims/claimcoordinator.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace Filbertmount::Testing {

/** Bugs that a test injects to prove that the checks of the matrix can fail. */
enum class ClaimBug : std::uint8_t {
    None,
    /** The store ignores the condition of writes. */
    UnconditionalStore,
    /** A request is dispatched although its claim is not proved to be owned. */
    DispatchUnproved,
    /** A request is dispatched after the end of its dispatch window. */
    DispatchLate,
    /** A request whose response was lost is reported as not run. */
    HideLostResponse,
    /** The claim of a refused request is not released. */
    KeepClaim,
    /** A release ignores that the claim was forwarded to a writer that did not respond. */
    IgnoreForward,
    /** The claim of a request without a response is released as if the upstream had refused the request. */
    ReleaseWithoutResponse,
};

/** Result of one attempt as reported to the caller. */
enum class ReportedResult : std::uint8_t {
    Nothing,
    NotRun,
    MayHaveRun,
    Ran,
};

/**
 * Simulates entry instances with the real claim coordinator and a minimal proxy, a store, an upstream that records which
 * attempts it ran, and callers that resend. The seed determines the whole run.
 */
class ClaimSimulation
{
public:
    ClaimSimulation(std::uint64_t seed, const std::vector<FaultInjection> &injections, ClaimBug bug, bool tracing)
        : m_simulation(seed, tracing)
        , m_store(m_simulation)
        , m_bug(bug)
    {
        m_store.ignoresConditions = bug == ClaimBug::UnconditionalStore;
        for (const FaultInjection &injection : injections) {
            m_injections.push_back({.injection = injection, .countdown = 1 + m_simulation.randomIndex(4)});
        }
        for (std::size_t index = 0; index < Instances; ++index) {
            m_ids.emplace_back("entry-" + std::to_string(index));
        }
        for (std::size_t index = 0; index < Instances; ++index) {
            m_simulation.addProcess(m_ids[index].value());
            ClaimOptions options;
            options.seed = m_simulation.randomNumber();
            m_nodes.push_back(std::make_unique<Node>(m_ids[index], options));
            m_nodes.back()->coordinator.setMembers(m_ids);
        }
    }

    CellResult run()
    {
        for (int key = 0; key < Keys; ++key) {
            m_simulation.after(std::chrono::milliseconds(15 * key), [this, key] {
                sendFirst(key);
            });
        }
        // Checked before the claims expire too: the end of its retention would hide a claim that was never released.
        m_simulation.runUntil(Instant(FirstCheck));
        checkKeysAreFree();
        m_simulation.runUntil(Instant(FaultsEnd));
        clearFaults();
        m_simulation.runUntil(Instant(SecondCheck));
        checkKeysAreFree();
        m_simulation.runUntil(Instant(End));
        checkReportedResults();
        const bool covered = std::all_of(m_injections.begin(), m_injections.end(), [](const PendingInjection &pending) {
            return pending.injection.fault == Fault::None || pending.countdown == 0;
        });
        return {.covered = covered, .violation = m_violation, .trace = m_simulation.traceText()};
    }

private:
    static constexpr std::size_t Instances = 4;
    static constexpr int Keys = 32;
    static constexpr int Attempts = 6;
    static constexpr Duration Retention = std::chrono::seconds(60);
    // Longer than the lifetime of a claim: its retention, and up to a minute by which its time is rounded up.
    static constexpr Duration LongFreeze = std::chrono::seconds(200);
    static constexpr Duration LateResend = std::chrono::seconds(170);
    // By then, all faults but the long freeze have ended and the callers have given up.
    static constexpr Duration FirstCheck = std::chrono::seconds(30);
    static constexpr Duration FaultsEnd = std::chrono::seconds(240);
    static constexpr Duration SecondCheck = std::chrono::seconds(260);
    static constexpr Duration End = std::chrono::seconds(270);
    static constexpr Duration ResponseTimeout = std::chrono::milliseconds(300);
    static constexpr Duration CallerTimeout = std::chrono::milliseconds(1500);

    struct Node {
        Node(const InstanceId &id, const ClaimOptions &options)
            : coordinator(id, options)
        {
        }
        ClaimCoordinator coordinator;
        Duration clockOffset{0};
        bool cutIn = false;
        bool cutOut = false;
        bool duplicate = false;
        Duration jitter{0};
        Duration peerDelay{0};
        Instant wakeScheduled = Instant::max();
        std::set<std::uint64_t> writes;
    };
    struct Attempt {
        int key = 0;
        std::size_t instance = 0;
        ReportedResult reported = ReportedResult::Nothing;
        ClaimId id;
        bool dispatched = false;
        bool refused = false;
        bool ended = false;
        /** Made by checkKeysAreFree(): only the decision is checked, and nothing is dispatched. */
        bool check = false;
        Instant dispatchBefore;
        Instant claimedAt;
        Instant ranAt;
    };
    /** A fault to inject when its step is reached for the countdown-th time; 0 once it was injected. */
    struct PendingInjection {
        FaultInjection injection;
        std::size_t countdown = 1;
    };

    /** Returns a key of one of two shards, so that claims share writes and writers compete. */
    static const std::string &keyName(int key)
    {
        static const std::vector<std::string> names = [] {
            std::vector<std::string> result;
            for (int number = 0; result.size() <= Keys; ++number) {
                const std::string name = "order-" + std::to_string(number);
                if (claimShardNumber(claimKey(name)) < 2) {
                    result.push_back(name);
                }
            }
            return result;
        }();
        return names.at(static_cast<std::size_t>(key));
    }
    Instant localNow(std::size_t instance) const
    {
        return m_simulation.now() + m_nodes[instance]->clockOffset;
    }
    void fail(const std::string &text)
    {
        m_simulation.trace("VIOLATION: " + text);
        if (m_violation.empty()) {
            m_violation = text;
        }
    }

    // Callers.

    void sendFirst(int key)
    {
        send(key, 1);
        // A caller that resends early, or two clients that use the same key.
        if (m_simulation.chance(0.25)) {
            m_simulation.after(m_simulation.randomDuration(Duration(0), std::chrono::milliseconds(12)), [this, key] {
                send(key, Attempts);
            });
        }
        // A caller that resends late, when the claim may just have expired.
        m_simulation.after(LateResend, [this, key] {
            send(key, Attempts);
        });
    }
    std::optional<std::size_t> liveInstance(bool onlyRunning)
    {
        std::vector<std::size_t> live;
        for (std::size_t index = 0; index < Instances; ++index) {
            if (m_simulation.alive(index) && !(onlyRunning && m_simulation.frozen(index))) {
                live.push_back(index);
            }
        }
        if (live.empty()) {
            return std::nullopt;
        }
        return live[m_simulation.randomIndex(live.size())];
    }
    void send(int key, int attemptNumber)
    {
        const std::optional<std::size_t> instance = liveInstance(false);
        if (!instance) {
            return;
        }
        const std::size_t number = start(key, *instance, false);
        m_simulation.after(CallerTimeout, [this, number, key, attemptNumber] {
            const ReportedResult reported = m_attempts[number].reported;
            if (reported != ReportedResult::Ran && attemptNumber < Attempts) {
                m_simulation.after(m_simulation.randomDuration(Duration(0), std::chrono::milliseconds(800)),
                                   [this, key, attemptNumber] {
                                       send(key, attemptNumber + 1);
                                   });
            }
        });
    }
    std::size_t start(int key, std::size_t instance, bool check)
    {
        const std::size_t number = m_attempts.size();
        m_attempts.push_back({.key = key, .instance = instance, .check = check});
        m_simulation.deliver(instance, std::chrono::microseconds(300), [this, number] {
            claim(number);
        });
        return number;
    }
    void report(std::size_t number, ReportedResult reported)
    {
        Attempt &attempt = m_attempts[number];
        attempt.ended = true;
        static constexpr std::array<const char *, 4> names = {"nothing", "not run", "may have run", "ran"};
        attempt.reported = reported;
        if (m_simulation.tracing()) {
            trace(number, std::string("result for the caller: ") + names.at(static_cast<std::size_t>(reported)));
        }
    }
    void trace(std::size_t number, const std::string &text)
    {
        if (m_simulation.tracing()) {
            const Attempt &attempt = m_attempts[number];
            m_simulation.trace(attempt.instance, keyName(attempt.key) + " attempt " + std::to_string(number) + ": " + text);
        }
    }

    // The proxy of one instance.

    void claim(std::size_t number)
    {
        Attempt &attempt = m_attempts[number];
        attempt.claimedAt = m_simulation.now();
        ClaimNonce nonce{};
        for (std::uint8_t &byte : nonce) {
            byte = static_cast<std::uint8_t>(m_simulation.randomNumber());
        }
        attempt.id = {.service = ServiceName("shop"), .key = claimKey(keyName(attempt.key)), .nonce = nonce};
        trace(number, "claims " + claimShardObject(attempt.id.service, attempt.id.key));
        m_nodes[attempt.instance]->coordinator.claim(RequestId(number), attempt.id, Retention, localNow(attempt.instance));
        flush(attempt.instance);
        reachStep(ClaimStep::Queued, attempt.instance);
    }
    void decided(std::size_t number, ClaimResult result)
    {
        Attempt &attempt = m_attempts[number];
        static constexpr std::array<const char *, 5> names = {"owned", "already run", "outcome unknown", "unavailable", "full"};
        trace(number, std::string("claim is ") + names.at(static_cast<std::size_t>(result.decision)));
        if (m_bug == ClaimBug::DispatchUnproved && result.decision == ClaimDecision::Unavailable) {
            result.decision = ClaimDecision::Owned;
        }
        if (attempt.check) {
            checkDecision(number, result);
            return;
        }
        switch (result.decision) {
        case ClaimDecision::Owned:
            attempt.id = result.id;
            attempt.dispatchBefore = result.dispatchBefore;
            reachStep(ClaimStep::Owned, attempt.instance);
            m_simulation.deliver(attempt.instance, std::chrono::microseconds(50), [this, number] {
                dispatch(number);
            });
            return;
        case ClaimDecision::AlreadyRun:
            if (m_runs[keyName(attempt.key)].empty()) {
                fail(keyName(attempt.key) + " is reported as already run, but was never run");
            }
            report(number, ReportedResult::Ran);
            return;
        case ClaimDecision::OutcomeUnknown:
            report(number, ReportedResult::MayHaveRun);
            return;
        case ClaimDecision::Unavailable:
        case ClaimDecision::Full:
            report(number, ReportedResult::NotRun);
            return;
        }
    }
    void dispatch(std::size_t number)
    {
        Attempt &attempt = m_attempts[number];
        if (localNow(attempt.instance) >= attempt.dispatchBefore && m_bug != ClaimBug::DispatchLate) {
            trace(number, "is too late to dispatch");
            releaseClaim(number);
            return;
        }
        attempt.dispatched = true;
        trace(number, "is dispatched");
        m_simulation.after(m_simulation.randomDuration(std::chrono::microseconds(500), std::chrono::milliseconds(10)),
                           [this, number] {
                               arriveAtUpstream(number);
                           });
        m_simulation.deliver(attempt.instance, ResponseTimeout, [this, number] {
            responseMissing(number);
        });
        reachStep(ClaimStep::Dispatched, attempt.instance);
    }
    void responseMissing(std::size_t number)
    {
        if (m_attempts[number].ended) {
            return;
        }
        if (m_bug == ClaimBug::ReleaseWithoutResponse) {
            releaseClaim(number);
            return;
        }
        report(number, m_bug == ClaimBug::HideLostResponse ? ReportedResult::NotRun : ReportedResult::MayHaveRun);
    }
    void releaseClaim(std::size_t number)
    {
        Attempt &attempt = m_attempts[number];
        attempt.refused = true;
        report(number, ReportedResult::NotRun);
        if (m_bug == ClaimBug::KeepClaim) {
            return;
        }
        if (m_bug == ClaimBug::IgnoreForward) {
            attempt.id.forwardedUntil = {};
        }
        m_nodes[attempt.instance]->coordinator.release(attempt.id, localNow(attempt.instance));
        flush(attempt.instance);
        reachStep(ClaimStep::Released, attempt.instance);
    }

    // The upstream.

    void arriveAtUpstream(std::size_t number)
    {
        Attempt &attempt = m_attempts[number];
        const bool refuses = m_simulation.chance(0.3);
        const bool responseLost = m_simulation.chance(0.08);
        if (!refuses) {
            run(number);
        }
        if (responseLost) {
            trace(number, "response from the upstream is lost");
            return;
        }
        m_simulation.deliver(attempt.instance, std::chrono::milliseconds(1), [this, number, refuses] {
            responded(number, refuses);
        });
    }
    void run(std::size_t number)
    {
        std::vector<std::size_t> &runs = m_runs[keyName(m_attempts[number].key)];
        m_attempts[number].ranAt = m_simulation.now();
        trace(number, "RUNS at the upstream");
        for (const std::size_t earlier : runs) {
            // A key may run again only for an attempt that began after the retention of the run before.
            if (m_attempts[number].claimedAt < m_attempts[earlier].ranAt + Retention) {
                fail(keyName(m_attempts[number].key) + " ran twice: attempts " + std::to_string(earlier) + " and "
                     + std::to_string(number));
            }
        }
        runs.push_back(number);
    }
    void responded(std::size_t number, bool refused)
    {
        Attempt &attempt = m_attempts[number];
        if (attempt.ended) {
            return;
        }
        reachStep(ClaimStep::Answered, attempt.instance);
        if (refused) {
            releaseClaim(number);
            return;
        }
        report(number, ReportedResult::Ran);
        m_nodes[attempt.instance]->coordinator.complete(attempt.id, 200, localNow(attempt.instance));
        flush(attempt.instance);
        reachStep(ClaimStep::Completed, attempt.instance);
    }

    // Store calls, messages and decisions of the coordinator.

    void flush(std::size_t instance)
    {
        Node &node = *m_nodes[instance];
        for (ClaimCommand &command : node.coordinator.takeCommands()) {
            if (auto *call = std::get_if<ClaimStoreCall>(&command)) {
                makeCall(instance, *call);
            } else if (auto *message = std::get_if<ClaimMessage>(&command)) {
                transmit(instance, *message);
            } else {
                const auto &decision = std::get<ClaimDecided>(command);
                decided(decision.request.value(), decision.result);
            }
        }
        const Instant wake = node.coordinator.wakeAt();
        if (wake == Instant::max()) {
            return;
        }
        const Instant due = std::max(wake - node.clockOffset, m_simulation.now() + std::chrono::microseconds(100));
        if (due >= node.wakeScheduled && node.wakeScheduled > m_simulation.now()) {
            return;
        }
        node.wakeScheduled = due;
        m_simulation.deliver(instance, due - m_simulation.now(), [this, instance] {
            m_nodes[instance]->wakeScheduled = Instant::max();
            m_nodes[instance]->coordinator.tick(localNow(instance));
            flush(instance);
        });
    }
    void makeCall(std::size_t instance, const ClaimStoreCall &call)
    {
        const bool write = std::holds_alternative<ShardWrite>(call.call);
        if (m_simulation.tracing()) {
            const std::string base = write ? " on revision " + std::to_string(std::get<ShardWrite>(call.call).base.value()) : "";
            m_simulation.trace(instance, (write ? "writes " : "reads ") + call.object + base);
        }
        m_store.call(instance, call.object, call.call, [this, instance, number = call.number, write](const StoreReply &reply) {
            m_nodes[instance]->coordinator.finishStoreCall(number, reply, localNow(instance));
            flush(instance);
            if (write && reply.outcome == StoreOutcome::Done) {
                reachStep(ClaimStep::WriteAcknowledged, instance);
            }
        });
        if (write) {
            reachStep(ClaimStep::WriteSent, instance);
        }
    }
    void transmit(std::size_t from, const ClaimMessage &message)
    {
        const auto to = static_cast<std::size_t>(std::find(m_ids.begin(), m_ids.end(), message.to) - m_ids.begin());
        Node &sender = *m_nodes[from];
        const bool request = message.body.has_claim_request();
        if (m_simulation.tracing()) {
            m_simulation.trace(from, std::string(request ? "forwards to " : "replies to ") + message.to.value());
        }
        const int copies = sender.duplicate ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            Duration delay =
                std::chrono::microseconds(500) + sender.peerDelay + m_simulation.randomDuration(Duration(0), sender.jitter);
            if (copy > 0) {
                delay += m_simulation.randomDuration(Duration(0), std::chrono::seconds(4));
            }
            // A message that was sent before the cut still arrives.
            if (!sender.cutOut && !m_nodes[to]->cutIn) {
                m_simulation.deliver(to, delay, [this, from, to, body = message.body] {
                    arrive(from, to, body);
                });
            }
        }
        if (request && message.body.claim_request().kind() == Wire::ClaimRequest::CLAIM) {
            reachStep(ClaimStep::Forwarded, from);
        }
    }
    void arrive(std::size_t from, std::size_t to, const Wire::Body &body)
    {
        ClaimCoordinator &coordinator = m_nodes[to]->coordinator;
        if (body.has_claim_request()) {
            coordinator.receive(m_ids[from], body.claim_request(), localNow(to));
        } else {
            coordinator.receive(m_ids[from], body.claim_reply(), localNow(to));
        }
        flush(to);
    }

    // Faults.

    void reachStep(ClaimStep step, std::size_t instance)
    {
        for (PendingInjection &pending : m_injections) {
            if (pending.countdown == 0 || pending.injection.step != step || --pending.countdown > 0) {
                continue;
            }
            inject(pending.injection.fault, instance);
        }
    }
    void inject(Fault fault, std::size_t instance)
    {
        m_simulation.trace(instance, std::string("FAULT ") + FaultNames.at(static_cast<std::size_t>(fault)));
        Node &node = *m_nodes[instance];
        FaultyStore::Faults &store = m_store.faults(instance);
        switch (fault) {
        case Fault::None:
            return;
        case Fault::Kill:
            m_simulation.kill(instance);
            return;
        case Fault::Freeze:
            m_simulation.freeze(instance, m_simulation.randomDuration(std::chrono::milliseconds(20), std::chrono::seconds(6)));
            return;
        case Fault::FreezeLong:
            m_simulation.freeze(instance, LongFreeze);
            return;
        case Fault::CutOut:
            node.cutOut = true;
            break;
        case Fault::CutIn:
            node.cutIn = true;
            break;
        case Fault::CutBoth:
            node.cutOut = true;
            node.cutIn = true;
            break;
        case Fault::CutStoreOut:
            store.requestsLost = true;
            break;
        case Fault::CutStoreIn:
            store.responsesLost = true;
            break;
        case Fault::StoreDown:
            m_store.down = true;
            break;
        case Fault::SlowStore:
            store.extraDelay = m_simulation.randomDuration(std::chrono::milliseconds(20), std::chrono::milliseconds(400));
            break;
        case Fault::SlowPeers:
            node.peerDelay = m_simulation.randomDuration(std::chrono::milliseconds(20), std::chrono::milliseconds(900));
            break;
        case Fault::AnswerLost:
            store.responsesToLose = 3;
            return;
        case Fault::LateWrite:
            store.writesToDelay = 2;
            return;
        case Fault::StaleRead:
            store.staleReads = true;
            break;
        case Fault::Duplicate:
            node.duplicate = true;
            break;
        case Fault::Reorder:
            node.jitter = std::chrono::milliseconds(200);
            break;
        case Fault::ClockStep:
            node.clockOffset += m_simulation.randomDuration(std::chrono::milliseconds(100), std::chrono::seconds(4));
            return;
        }
        m_simulation.after(m_simulation.randomDuration(std::chrono::milliseconds(100), std::chrono::seconds(4)), [this] {
            clearFaults();
        });
    }
    void clearFaults()
    {
        m_simulation.trace("faults end");
        m_store.down = false;
        for (std::size_t index = 0; index < Instances; ++index) {
            Node &node = *m_nodes[index];
            node.cutIn = node.cutOut = node.duplicate = false;
            node.jitter = node.peerDelay = Duration(0);
            m_store.faults(index) = {};
        }
    }

    // Checks of the invariants.

    bool mayStayClaimed(const Attempt &attempt) const
    {
        // The request was sent and not refused, or the instance was killed or is still frozen.
        return (attempt.dispatched && !attempt.refused) || !m_simulation.alive(attempt.instance)
            || m_simulation.frozen(attempt.instance);
    }
    void checkKeysAreFree()
    {
        const std::optional<std::size_t> instance = liveInstance(true);
        if (!instance) {
            return;
        }
        std::set<int> locked;
        for (const Attempt &attempt : m_attempts) {
            if (mayStayClaimed(attempt)) {
                locked.insert(attempt.key);
            }
        }
        for (int key = 0; key <= Keys; ++key) {
            if (locked.count(key) == 0) {
                start(key, *instance, true);
            }
        }
    }
    void checkDecision(std::size_t number, const ClaimResult &result)
    {
        Attempt &attempt = m_attempts[number];
        attempt.ended = true;
        if (result.decision != ClaimDecision::Owned) {
            fail(keyName(attempt.key) + " is not free, although every attempt was refused as not run");
        }
    }
    void checkReportedResults()
    {
        for (std::size_t number = 0; number < m_attempts.size(); ++number) {
            const Attempt &attempt = m_attempts[number];
            const std::vector<std::size_t> &runs = m_runs[keyName(attempt.key)];
            if (attempt.reported == ReportedResult::NotRun && std::find(runs.begin(), runs.end(), number) != runs.end()) {
                fail(keyName(attempt.key) + " attempt " + std::to_string(number) + " was reported as not run, but ran");
            }
            if (!attempt.ended && m_simulation.alive(attempt.instance)) {
                fail(keyName(attempt.key) + " attempt " + std::to_string(number) + " never got a response");
            }
        }
    }

    Simulation m_simulation;
    FaultyStore m_store;
    ClaimBug m_bug;
    std::vector<PendingInjection> m_injections;
    std::vector<InstanceId> m_ids;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Attempt> m_attempts;
    /** Attempts that the upstream ran, by key. */
    std::map<std::string, std::vector<std::size_t>> m_runs;
    std::string m_violation;
};

/** Runs one cell and, when an invariant was violated, repeats the run with a trace. */
inline CellResult runClaimCell(std::uint64_t seed, const std::vector<FaultInjection> &injections, ClaimBug bug = ClaimBug::None)
{
    const CellResult result = ClaimSimulation(seed, injections, bug, false).run();
    return result.violation.empty() ? result : ClaimSimulation(seed, injections, bug, true).run();
}

} // namespace Filbertmount::Testing
