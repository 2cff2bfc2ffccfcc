#pragma once

#include "platform/platformserver.h"
#include "support/results.h"

namespace Filbertmount {

/** The platform stand-in, started on a free port. */
class RunningPlatform
{
public:
    RunningPlatform()
    {
        requireSuccess([this]() {
            return m_server.start();
        });
    }

    StandIn::PlatformServer *operator->()
    {
        return &m_server;
    }

private:
    StandIn::PlatformServer m_server;
};

} // namespace Filbertmount
