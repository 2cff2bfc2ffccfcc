#pragma once

#include "edge/instanceregistration.h"
#include "edge/singlelisting.h"
#include "edge/statefollower.h"
#include "edge/statespread.h"

#include <string>

namespace Filbertmount {

/**
 * Keeps the mirror up to date: reads the store when it falls to this instance, and tells the others. Lives on the IoLoop.
 */
template<StoreProtocol Protocol>
class StateService
{
public:
    using ChangeHandler = std::function<void(const MirrorChanges &)>;

    struct Options {
        StoreCallOptions calls;
        /** Name of this instance's entry; the same after a restart, so that entries do not pile up. */
        std::string instanceName;
        InstanceRecord instance;
    };

    StateService(IoLoop &loop,
                 Protocol protocol,
                 Options options,
                 StateMirror &mirror,
                 StateSpread &spread,
                 Metrics &metrics,
                 const ChangeHandler &onChange)
        : m_spread(spread)
        , m_onChange(onChange)
        , m_routes(loop, protocol, StateKind::Routes, options.calls, mirror, metrics, answerHandler())
        , m_upstreams(loop, protocol, StateKind::Upstreams, options.calls, mirror, metrics, answerHandler())
        , m_ownRoutes(loop, protocol, StateKind::Routes, options.calls, mirror, metrics, onChange)
        , m_ownUpstreams(loop, protocol, StateKind::Upstreams, options.calls, mirror, metrics, onChange)
        , m_instances(loop, protocol, options.instanceName, options.instance, options.calls, mirror, metrics, onChange)
        , m_ticker(loop, DecisionInterval, [this] {
            tick();
        })
    {
    }

    void start()
    {
        m_spread.setStoreReader([this](StateKind kind) {
            (kind == StateKind::Routes ? m_ownRoutes : m_ownUpstreams).read(false);
        });
        m_ownRoutes.read(true);
        m_ownUpstreams.read(true);
        m_instances.start();
    }

    /** The process stood still: what it knows may be old, and the age of what it hears is not known. */
    void readAgain()
    {
        m_spread.forgetConfirmations();
        m_routes.start();
        m_upstreams.start();
    }

private:
    static constexpr Duration DecisionInterval = std::chrono::milliseconds(40);

    typename StateFollower<Protocol>::AnswerHandler answerHandler()
    {
        return [this](StateKind kind, std::optional<Revision> before, const MirrorChanges &changes) {
            m_onChange(changes);
            m_spread.noteStoreAnswer(kind, before, changes, ProcessClock::now());
        };
    }

    void tick()
    {
        const Instant now = ProcessClock::now();
        m_spread.tick(now);
        follow(m_routes, m_spread.shouldRead(StateKind::Routes, now), StateKind::Routes);
        follow(m_upstreams, m_spread.shouldRead(StateKind::Upstreams, now), StateKind::Upstreams);
    }

    void follow(StateFollower<Protocol> &follower, bool shouldRead, StateKind kind)
    {
        if (follower.isRunning() == shouldRead) {
            return;
        }
        logLine(LogLevel::Info,
                shouldRead ? "this instance reads the store" : "another instance reads the store",
                {{.name = "kind", .value = std::string(stateKindName(kind))}});
        if (shouldRead) {
            follower.start();
        } else {
            follower.stop();
        }
    }

    StateSpread &m_spread;
    ChangeHandler m_onChange;
    StateFollower<Protocol> m_routes;
    StateFollower<Protocol> m_upstreams;
    SingleListing<Protocol> m_ownRoutes;
    SingleListing<Protocol> m_ownUpstreams;
    InstanceRegistration<Protocol> m_instances;
    PeriodicTask m_ticker;
};

} // namespace Filbertmount
