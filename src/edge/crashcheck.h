#pragma once

#include "edge/ioloop.h"

#include <functional>

namespace Filbertmount {

/**
 * Distinguishes a crashed upstream from a lost response by connecting to the upstream: after a crash, its address refuses
 * connections. Runs on the IoLoop.
 */
class CrashCheck
{
public:
    using ResultHandler = std::function<void(bool hasCrashed)>;

    explicit CrashCheck(IoLoop &loop);

    /** Connects to @p server and calls @p handler once; with too many checks running, immediately with false. */
    void check(const Tcp::endpoint &server, ResultHandler handler);

    /** Number of checks in progress. */
    [[nodiscard]] int runningChecks() const;

private:
    IoLoop &m_loop;
    int m_running = 0;
};

} // namespace Filbertmount
