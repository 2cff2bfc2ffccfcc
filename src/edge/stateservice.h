#pragma once

#include "edge/instanceregistration.h"
#include "edge/storefollower.h"

#include <string>

namespace Filbertmount {

/**
 * Follows all that the store keeps for this instance and enters the instance into the list of instances. Lives on the
 * IoLoop.
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
                 Metrics &metrics,
                 const ChangeHandler &onChange)
        : m_routes(loop, protocol, StateKind::Routes, options.calls, mirror, metrics, onChange)
        , m_upstreams(loop, protocol, StateKind::Upstreams, options.calls, mirror, metrics, onChange)
        , m_instances(loop, protocol, options.instanceName, options.instance, options.calls, mirror, metrics, onChange)
    {
    }

    void start()
    {
        m_routes.start();
        m_upstreams.start();
        m_instances.start();
    }

    /** Reads routes and upstreams again. */
    void readAgain()
    {
        m_routes.start();
        m_upstreams.start();
    }

private:
    StoreFollower<Protocol> m_routes;
    StoreFollower<Protocol> m_upstreams;
    InstanceRegistration<Protocol> m_instances;
};

} // namespace Filbertmount
